"""What a hub keeps on its disk: the replica's log and what helps a restart."""

import secrets

from ..base import Codec, Effect, Message
from ..consensus import SaveEntries, SaveHardState, SaveSnapshot
from ..hub import FIRST_INCARNATION, SAVED_MESSAGE_NAMES, SaveMessage
from ..storage import MessageFile, ReplicaStore, RestoredState, create_local_file_system

INCARNATION_BYTES = 6
SAVES = (SaveEntries, SaveHardState, SaveSnapshot)


class HubDisk:
    """Saves and restores; both raise ``OSError`` while the disk refuses.

    Parameters
    ----------
    folder : str
        The data folder.
    codec : Codec
        Encodes records and messages.
    is_first_start : bool
        Whether this hub is among those that form the system with an empty folder.
    """

    def __init__(self, folder: str, codec: Codec, *, is_first_start: bool):
        self.folder = folder
        self.codec = codec
        self.is_first_start = is_first_start
        self._store: ReplicaStore | None = None
        self._memories: dict[str, MessageFile] = {}

    def restore(self) -> RestoredState:
        """Read the replica's state anew; raises ``CorruptionError`` if it is damaged."""
        if self._store is not None:
            self._store.files.close()
        files = create_local_file_system(self.folder)
        self._store = ReplicaStore(files, self.codec)
        self._memories = {
            name: MessageFile(files, self.codec, name) for name in SAVED_MESSAGE_NAMES
        }
        return self._store.restore(self._mint_incarnation)

    def load_memories(self) -> tuple[dict[str, Message], dict[str, str]]:
        """Return what is remembered by name, and why some could not be read."""
        memories, problems = {}, {}
        for name, file in self._memories.items():
            message, problem = file.load()
            if problem:
                problems[name] = problem
            elif message is not None:
                memories[name] = message
        return memories, problems

    def save(self, effects: list[Effect]) -> None:
        """Make all that a batch has to save last."""
        saves = [effect for effect in effects if isinstance(effect, SAVES)]
        if saves:
            self._store.save(saves)
        for effect in effects:
            if isinstance(effect, SaveMessage):
                self._memories[effect.name].save(effect.message)

    def _mint_incarnation(self) -> str:
        """Return the name of a new data folder; the first ones are agreed upon without a word."""
        return FIRST_INCARNATION if self.is_first_start else secrets.token_hex(INCARNATION_BYTES)
