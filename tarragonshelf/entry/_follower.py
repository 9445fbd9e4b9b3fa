"""Follows configuration versions and puts each in force whole."""

from ..base import Effect
from ..configuration import (
    ChunkStore,
    ConfigurationVersion,
    Document,
    assemble_document,
    check_document,
)
from ..control import Chunks, Followed
from ._messages import ConfigurationActivated, RequestChunks


class ConfigurationFollower:
    """Keeps the newest version that is known and the one in force.

    Notes
    -----
    Versions are ordered by the log index that accepted them. A lower one never replaces a
    higher one, whoever tells of it, and a version counts only once every chunk of it is there
    and intact.
    """

    def __init__(self):
        self.cluster = ""
        self.in_force = ConfigurationVersion()
        self.document: Document | None = None
        self._wanted: ConfigurationVersion | None = None
        self._chunks = ChunkStore()

    @property
    def version(self) -> int:
        """The number of the version in force, 0 without one."""
        return self.in_force.version

    def list_chunks(self, digests: tuple[str, ...]) -> Chunks:
        """Return held chunks for another entry."""
        return Chunks(self._chunks.list_chunks(digests))

    def follow(self, source: str, followed: Followed) -> list[Effect]:
        """Take a version in that a control or another entry told of."""
        if self.cluster and followed.cluster and followed.cluster != self.cluster:
            return []
        newest = self._wanted or self.in_force
        offered = followed.configuration
        if offered.revision < newest.revision or offered.revision <= self.in_force.revision:
            return []
        self.cluster = self.cluster or followed.cluster
        self._wanted = offered
        return self._advance(source)

    def receive(self, source: str, chunks: Chunks) -> list[Effect]:
        """Take chunks in; damaged ones are dropped and asked for again."""
        for chunk in chunks.items:
            self._chunks.add(chunk)
        return self._advance("")

    def _advance(self, source: str) -> list[Effect]:
        wanted = self._wanted
        if wanted is None:
            return []
        missing = self._chunks.find_missing(wanted.manifest)
        if missing:
            return [RequestChunks(source, missing)] if source else []
        content = assemble_document(self._chunks.read(wanted.manifest))
        checked = check_document(content)
        self._wanted = None
        if checked.is_error():
            return []
        self.in_force = wanted
        self.document = checked.ok
        self._chunks.retain(wanted.manifest)
        return [ConfigurationActivated(self.document, wanted)]
