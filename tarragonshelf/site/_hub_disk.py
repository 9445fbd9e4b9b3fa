"""Persistent state of a hub: the replica's log, and messages that speed up a restart."""

import secrets

from ..base import Codec, Effect, FrameError, Message
from ..catalogue import CatalogueRegister, UnknownCommandError
from ..consensus import EntryKind, LogEntry, SaveEntries, SaveHardState, SaveSnapshot
from ..hub import FIRST_INCARNATION, SAVED_MESSAGE_NAMES, SaveMessage
from ..storage import (
    MessageFile,
    ReplicaStore,
    RestoredState,
    UnreadableError,
    create_local_file_system,
)

INCARNATION_BYTES = 6
REPLICA_EFFECTS = (SaveEntries, SaveHardState, SaveSnapshot)


class HubDisk:
    """Saves and restores the state; both raise ``OSError`` while the disk fails.

    Parameters
    ----------
    folder : str
        The data folder.
    codec : Codec
        Encodes records and messages.
    is_first_start : bool
        Whether this hub belongs to the first voters, which start with empty data folders.
    """

    def __init__(self, folder: str, codec: Codec, *, is_first_start: bool):
        self.folder = folder
        self.codec = codec
        self.is_first_start = is_first_start
        self._store: ReplicaStore | None = None
        self._message_files: dict[str, MessageFile] = {}

    def restore(self) -> RestoredState:
        """Return the replica's state from disk.

        Raises
        ------
        CorruptionError
            If the state is damaged.
        UnreadableError
            If the log or the snapshot contains what this build does not know.
        """
        if self._store is not None:
            self._store.files.close()
        files = create_local_file_system(self.folder)
        self._store = ReplicaStore(files, self.codec)
        self._message_files = {
            name: MessageFile(files, self.codec, name) for name in SAVED_MESSAGE_NAMES
        }
        restored = self._store.restore(self._create_incarnation)
        for entry in restored.entries:
            if entry.kind == EntryKind.COMMAND:
                self._check_command(entry)
        if restored.snapshot is not None:
            self._check_snapshot(restored.snapshot.data)
        return restored

    def load_saved_messages(self) -> tuple[dict[str, Message], dict[str, str]]:
        """Return the saved messages by name, and the problem of each that could not be read."""
        messages, problems = {}, {}
        for name, file in self._message_files.items():
            message, problem = file.load()
            if problem:
                problems[name] = problem
            elif message is not None:
                messages[name] = message
        return messages, problems

    def save(self, effects: list[Effect]) -> None:
        """Write all state that a batch has to persist."""
        replica_effects = [effect for effect in effects if isinstance(effect, REPLICA_EFFECTS)]
        if replica_effects:
            self._store.save(replica_effects)
        for effect in effects:
            if isinstance(effect, SaveMessage):
                self._message_files[effect.name].save(effect.message)

    def _check_command(self, entry: LogEntry) -> None:
        """Raise ``UnreadableError`` if this build cannot apply a log entry."""
        try:
            CatalogueRegister().check(entry.index, self.codec.decode(entry.payload))
        except (FrameError, UnknownCommandError) as error:
            raise UnreadableError(f"log entry {entry.index}", str(error)) from error

    def _check_snapshot(self, data: bytes) -> None:
        """Raise ``UnreadableError`` if this build cannot read the state in a snapshot."""
        try:
            self.codec.decode(data)
        except FrameError as error:
            raise UnreadableError("the state in the snapshot", str(error)) from error

    def _create_incarnation(self) -> str:
        """Return the incarnation of a new data folder.

        The first voters all use ``FIRST_INCARNATION``, so that each can derive the identities of
        the others without communication.
        """
        return FIRST_INCARNATION if self.is_first_start else secrets.token_hex(INCARNATION_BYTES)
