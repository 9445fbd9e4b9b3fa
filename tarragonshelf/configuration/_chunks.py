"""Content-addressed parts of a document.

A change of one account or service transfers one small chunk instead of the whole document.
"""

import json
from typing import Any
from zlib import crc32

from ..utils import compute_digest
from ._document import Finding, check_document
from ._messages import Chunk

ACCOUNTS_PER_CHUNK = 64
ROUTES_PER_CHUNK = 64
CHUNKED_LISTS = ("services", "routes", "accounts")


def split_document(content: dict[str, Any]) -> tuple[Chunk, ...]:
    """Split a document into chunks, from which ``assemble_document`` restores it.

    Each service gets its own chunk. Routes and accounts are distributed over chunks by a hash of
    their identity, so that adding one does not change the other chunks.
    """
    rest = {key: value for key, value in content.items() if key not in CHUNKED_LISTS}
    parts = [{"rest": rest}]
    parts += [{"services": [service]} for service in content.get("services", [])]
    routes = content.get("routes", [])
    accounts = content.get("accounts", [])
    parts += _distribute("routes", routes, _get_route_identity, ROUTES_PER_CHUNK)
    parts += _distribute("accounts", accounts, lambda item: str(item["name"]), ACCOUNTS_PER_CHUNK)
    return tuple(_create_chunk(part) for part in parts)


def assemble_document(contents: list[bytes]) -> dict[str, Any]:
    """Return the document from the contents of its chunks in order."""
    document: dict[str, Any] = {}
    for content in contents:
        part = json.loads(content)
        document.update(part.get("rest", {}))
        for name in CHUNKED_LISTS:
            if name in part:
                document.setdefault(name, []).extend(part[name])
    return document


def find_validation_errors(contents: list[bytes]) -> list[Finding]:
    """Validate a document, given as the contents of its chunks in order; return all findings."""
    try:
        document = assemble_document(contents)
    except (ValueError, AttributeError, TypeError) as error:
        return [Finding("chunks", f"are no parts of a document: {error}")]
    checked = check_document(document)
    return checked.error if checked.is_error() else []


def _distribute(name: str, items: list, get_identity, per_chunk: int) -> list[dict[str, list]]:
    # The number of buckets doubles, so that growth seldom redistributes all items.
    bucket_count = 1
    while bucket_count * per_chunk < len(items):
        bucket_count *= 2
    buckets: list[list] = [[] for _ in range(bucket_count)]
    for item in items:
        buckets[crc32(get_identity(item).encode()) % bucket_count].append(item)
    return [{name: bucket} for bucket in buckets if bucket]


def _get_route_identity(route: dict[str, Any]) -> str:
    return f"{route['path']} {','.join(route.get('methods', []))}"


def _create_chunk(part: dict[str, Any]) -> Chunk:
    content = json.dumps(part, sort_keys=True, separators=(",", ":")).encode()
    return Chunk(compute_digest(content), content)


class ChunkStore:
    """Stores verified chunks by digest until those of a manifest are complete."""

    def __init__(self):
        self._contents: dict[str, bytes] = {}

    def find_missing(self, manifest: tuple[str, ...]) -> tuple[str, ...]:
        """Return the digests of a manifest whose chunks are missing."""
        return tuple(digest for digest in manifest if digest not in self._contents)

    def list_chunks(self, digests: tuple[str, ...]) -> tuple[Chunk, ...]:
        """Return the stored chunks among those requested."""
        stored = (digest for digest in digests if digest in self._contents)
        return tuple(Chunk(digest, self._contents[digest]) for digest in stored)

    def read(self, manifest: tuple[str, ...]) -> list[bytes]:
        """Return the contents of a manifest's chunks; raises ``KeyError`` if one is missing."""
        return [self._contents[digest] for digest in manifest]

    def add(self, chunk: Chunk) -> bool:
        """Store a chunk, or return False if its content does not match its digest."""
        if compute_digest(chunk.content) != chunk.digest:
            return False
        self._contents[chunk.digest] = chunk.content
        return True

    def retain(self, manifest: tuple[str, ...]) -> None:
        """Remove every chunk that a manifest does not name."""
        wanted = set(manifest)
        self._contents = {key: item for key, item in self._contents.items() if key in wanted}
