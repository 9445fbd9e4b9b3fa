"""Content-addressed parts of a document.

A change of one account or service moves one small chunk instead of the whole document.
"""

import json
from typing import Any
from zlib import crc32

from ..utils import compute_digest
from ._document import Finding, check_document
from ._messages import Chunk

ACCOUNTS_PER_CHUNK = 64
ROUTES_PER_CHUNK = 64
LISTS = ("services", "routes", "accounts")


def split_document(content: dict[str, Any]) -> tuple[Chunk, ...]:
    """Cut a document into chunks whose concatenation gives it back.

    Services get a chunk each. Routes and accounts are dealt to chunks by a hash of their
    identity, so that one more of them leaves the other chunks as they are.
    """
    rest = {key: value for key, value in content.items() if key not in LISTS}
    parts = [{"rest": rest}]
    parts += [{"services": [service]} for service in content.get("services", [])]
    routes = content.get("routes", [])
    accounts = content.get("accounts", [])
    parts += _deal("routes", routes, _identify_route, ROUTES_PER_CHUNK)
    parts += _deal("accounts", accounts, lambda item: str(item["name"]), ACCOUNTS_PER_CHUNK)
    return tuple(_create_chunk(part) for part in parts)


def assemble_document(contents: list[bytes]) -> dict[str, Any]:
    """Return the document that ``split_document`` cut, from chunk contents in order."""
    document: dict[str, Any] = {}
    for content in contents:
        part = json.loads(content)
        document.update(part.get("rest", {}))
        for name in LISTS:
            if name in part:
                document.setdefault(name, []).extend(part[name])
    return document


def find_validation_errors(contents: list[bytes]) -> list[Finding]:
    """Return all findings of a document that is given by chunk contents in order."""
    try:
        document = assemble_document(contents)
    except (ValueError, AttributeError, TypeError) as error:
        return [Finding("chunks", f"are no parts of a document: {error}")]
    checked = check_document(document)
    return checked.error if checked.is_error() else []


def _deal(name: str, items: list, identify, per_chunk: int) -> list[dict[str, list]]:
    # The count of buckets doubles, so that growth seldom deals all items anew.
    buckets = 1
    while buckets * per_chunk < len(items):
        buckets *= 2
    dealt: list[list] = [[] for _ in range(buckets)]
    for item in items:
        dealt[crc32(identify(item).encode()) % buckets].append(item)
    return [{name: bucket} for bucket in dealt if bucket]


def _identify_route(route: dict[str, Any]) -> str:
    return f"{route['path']} {','.join(route.get('methods', []))}"


def _create_chunk(part: dict[str, Any]) -> Chunk:
    content = json.dumps(part, sort_keys=True, separators=(",", ":")).encode()
    return Chunk(compute_digest(content), content)


class ChunkStore:
    """Collects the chunks of a manifest until all are there and intact."""

    def __init__(self):
        self._contents: dict[str, bytes] = {}

    def find_missing(self, manifest: tuple[str, ...]) -> tuple[str, ...]:
        """Return the digests of a manifest that are not held."""
        return tuple(digest for digest in manifest if digest not in self._contents)

    def list_chunks(self, digests: tuple[str, ...]) -> tuple[Chunk, ...]:
        """Return those of some chunks that are held."""
        held = (digest for digest in digests if digest in self._contents)
        return tuple(Chunk(digest, self._contents[digest]) for digest in held)

    def read(self, manifest: tuple[str, ...]) -> list[bytes]:
        """Return the contents of a whole manifest; raises ``KeyError`` if one is missing."""
        return [self._contents[digest] for digest in manifest]

    def add(self, chunk: Chunk) -> bool:
        """Keep a chunk, or return False if its content does not match its digest."""
        if compute_digest(chunk.content) != chunk.digest:
            return False
        self._contents[chunk.digest] = chunk.content
        return True

    def retain(self, manifest: tuple[str, ...]) -> None:
        """Drop every chunk that a manifest does not name."""
        wanted = set(manifest)
        self._contents = {key: item for key, item in self._contents.items() if key in wanted}
