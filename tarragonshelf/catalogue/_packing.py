"""Documents as they are kept and sent: packed, as links between data centres are dear."""

import zlib

from ._messages import UnreadableCatalogueError

# The bytes that a packed document may unpack to at most.
MAXIMUM_BYTES = 32 << 20


def compress_content(content: bytes) -> bytes:
    """Return a document's bytes packed."""
    return zlib.compress(content)


def decompress_content(packed: bytes) -> bytes:
    """Return a document's bytes; raises ``UnreadableCatalogueError``."""
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(packed, MAXIMUM_BYTES)
    except zlib.error as error:
        raise UnreadableCatalogueError(f"a packed document is damaged: {error}") from error
    if not unpacker.eof:
        raise UnreadableCatalogueError(f"a document exceeds {MAXIMUM_BYTES} bytes")
    return content
