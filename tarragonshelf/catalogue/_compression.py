"""Compression of documents for storage and transfer, as cross-data-centre links are costly."""

import zlib

from ._messages import UnreadableCatalogueError

# Limit on the decompressed size of a document.
MAXIMUM_DOCUMENT_BYTES = 32 << 20


def compress_content(content: bytes) -> bytes:
    """Return the compressed bytes of a document."""
    return zlib.compress(content)


def decompress_content(compressed: bytes) -> bytes:
    """Return the decompressed bytes of a document; raises ``UnreadableCatalogueError``."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, MAXIMUM_DOCUMENT_BYTES)
    except zlib.error as error:
        raise UnreadableCatalogueError(f"a packed document is damaged: {error}") from error
    if not decompressor.eof:
        raise UnreadableCatalogueError(f"a document exceeds {MAXIMUM_DOCUMENT_BYTES} bytes")
    return content
