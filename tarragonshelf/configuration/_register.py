"""Replicated register of configuration versions; it is deterministic."""

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

MAXIMUM_CHANGE_RECORDS = 10_000


class ConfigurationRegister:
    """State machine with the version in force, its chunks, and the results of recent changes.

    Notes
    -----
    A change names the version that it replaces (optimistic concurrency control): of two
    concurrent changes one is accepted, and the result of the other names the author of the
    accepted one. A change that is sent again with the same id gets its first result again.
    """

    def __init__(self, state: RegisterState = RegisterState()):
        self.current = state.current
        self.chunks = {chunk.digest: chunk.content for chunk in state.chunks}
        self._changes = {record.change_id: record for record in state.changes}

    def capture(self) -> RegisterState:
        """Return a snapshot of the state."""
        chunks = tuple(Chunk(digest, content) for digest, content in self.chunks.items())
        return RegisterState(self.current, chunks, tuple(self._changes.values()))

    def apply(self, index: int, command: ApplyConfiguration) -> ApplyResult:
        """Put a whole document in force, or return the reason for refusing it."""
        digest = compute_digest(*(part.encode() for part in command.manifest))
        earlier = self._changes.get(command.change_id)
        if earlier is not None and earlier.digest != digest:
            return ApplyResult(ApplyState.REUSED, earlier.result.version)
        if earlier is not None:
            return earlier.result
        if command.base_version != self.current.version:
            return self._record_change(
                command.change_id, digest, self._create_result(ApplyState.CONFLICT)
            )
        chunks = self.collect_chunks(command)
        if chunks is None:
            return self._create_result(ApplyState.INCOMPLETE)
        self.chunks = chunks
        self.current = ConfigurationVersion(
            version=self.current.version + 1,
            revision=index,
            author=command.author,
            change_id=command.change_id,
            manifest=command.manifest,
        )
        return self._record_change(
            command.change_id, digest, self._create_result(ApplyState.ACCEPTED)
        )

    def collect_chunks(self, command: ApplyConfiguration) -> dict[str, bytes] | None:
        """Return the chunks of a change's manifest by digest, or None if one is missing."""
        supplied = {compute_digest(chunk.content): chunk.content for chunk in command.chunks}
        available = self.chunks | supplied
        if any(digest not in available for digest in command.manifest):
            return None
        return {digest: available[digest] for digest in command.manifest}

    def _create_result(self, state: ApplyState) -> ApplyResult:
        current = self.current
        return ApplyResult(
            state, current.version, current.author, current.change_id, current.revision
        )

    def _record_change(self, change_id: str, digest: str, result: ApplyResult) -> ApplyResult:
        self._changes[change_id] = ChangeRecord(change_id, digest, result)
        if len(self._changes) > MAXIMUM_CHANGE_RECORDS:
            del self._changes[next(iter(self._changes))]
        return result
