"""Deterministic register of configuration versions."""

from ..utils import compute_digest
from ._messages import (
    ApplyConfiguration,
    ApplyResult,
    ApplyState,
    ChangeRecord,
    Chunk,
    ConfigurationVersion,
    RegisterState,
)

REMEMBERED_CHANGES = 10_000


class ConfigurationRegister:
    """The version in force, its chunks, and the answers that changes got.

    Notes
    -----
    A change names the version it replaces, so that of two racing operators one wins and the
    other learns who did. A resent change gets its first answer.
    """

    def __init__(self, state: RegisterState = RegisterState()):
        self.current = state.current
        self.chunks = {chunk.digest: chunk.content for chunk in state.chunks}
        self._changes = {record.change_id: record for record in state.changes}

    def capture(self) -> RegisterState:
        """Return everything held, for a snapshot."""
        chunks = tuple(Chunk(digest, content) for digest, content in self.chunks.items())
        return RegisterState(self.current, chunks, tuple(self._changes.values()))

    def apply(self, index: int, command: ApplyConfiguration) -> ApplyResult:
        """Put a document in force, whole, or tell why not."""
        digest = compute_digest(*(part.encode() for part in command.manifest))
        known = self._changes.get(command.change_id)
        if known is not None and known.digest != digest:
            return ApplyResult(ApplyState.REUSED, known.result.version)
        if known is not None:
            return known.result
        if command.base_version != self.current.version:
            return self._remember(command.change_id, digest, self._describe(ApplyState.CONFLICT))
        chunks = self.collect_chunks(command)
        if chunks is None:
            return self._describe(ApplyState.INCOMPLETE)
        self.chunks = chunks
        self.current = ConfigurationVersion(
            version=self.current.version + 1,
            revision=index,
            author=command.author,
            change_id=command.change_id,
            manifest=command.manifest,
        )
        return self._remember(command.change_id, digest, self._describe(ApplyState.ACCEPTED))

    def collect_chunks(self, command: ApplyConfiguration) -> dict[str, bytes] | None:
        """Return the contents that a change's manifest names, or None if one is missing."""
        brought = {compute_digest(chunk.content): chunk.content for chunk in command.chunks}
        available = self.chunks | brought
        if any(digest not in available for digest in command.manifest):
            return None
        return {digest: available[digest] for digest in command.manifest}

    def _describe(self, state: ApplyState) -> ApplyResult:
        current = self.current
        return ApplyResult(
            state, current.version, current.author, current.change_id, current.revision
        )

    def _remember(self, change_id: str, digest: str, result: ApplyResult) -> ApplyResult:
        self._changes[change_id] = ChangeRecord(change_id, digest, result)
        if len(self._changes) > REMEMBERED_CHANGES:
            del self._changes[next(iter(self._changes))]
        return result
