"""Follower of configuration versions that puts only complete documents into force."""

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
    """Tracks the version in force, and the newest known version until it is in force.

    Notes
    -----
    Versions are ordered by the log index at which they were accepted. A lower one never replaces
    a higher one, from whichever source, and a version comes into force only once all its chunks
    are stored and verified.
    """

    def __init__(self):
        self.cluster = ""
        self.in_force = ConfigurationVersion()
        self.document: Document | None = None
        self._pending_version: ConfigurationVersion | None = None
        self._chunks = ChunkStore()

    @property
    def version(self) -> int:
        """The number of the version in force, or 0 if there is none."""
        return self.in_force.version

    def list_chunks(self, digests: tuple[str, ...]) -> Chunks:
        """Return the stored chunks among those that another entry requested."""
        return Chunks(self._chunks.list_chunks(digests))

    def follow(self, source: str, followed: Followed) -> list[Effect]:
        """Handle a version that a control or another entry reported."""
        if self.cluster and followed.cluster and followed.cluster != self.cluster:
            return []
        newest = self._pending_version or self.in_force
        offered = followed.configuration
        if offered.revision < newest.revision or offered.revision <= self.in_force.revision:
            return []
        self.cluster = self.cluster or followed.cluster
        self._pending_version = offered
        return self._activate_if_complete(source)

    def receive(self, source: str, chunks: Chunks) -> list[Effect]:
        """Store chunks; damaged ones are dropped and requested again."""
        for chunk in chunks.items:
            self._chunks.add(chunk)
        return self._activate_if_complete("")

    def _activate_if_complete(self, source: str) -> list[Effect]:
        pending = self._pending_version
        if pending is None:
            return []
        missing = self._chunks.find_missing(pending.manifest)
        if missing:
            return [RequestChunks(source, missing)] if source else []
        content = assemble_document(self._chunks.read(pending.manifest))
        checked = check_document(content)
        self._pending_version = None
        if checked.is_error():
            return []
        self.in_force = pending
        self.document = checked.ok
        self._chunks.retain(pending.manifest)
        return [ConfigurationActivated(self.document, pending)]
