"""Durable state of one replica: term, vote, log entries, snapshot and incarnation."""

from dataclasses import dataclass

from ..base import Codec, FrameError, Message
from ..consensus import (
    HardState,
    LogEntry,
    Record,
    SaveEntries,
    SaveHardState,
    SaveSnapshot,
    Snapshot,
)
from ._files import FileSystem
from ._journal import CorruptionError, Journal, TornTail, UnreadableError, encode_frame

INCARNATION_FILE = "incarnation"
SNAPSHOT_FILE = "snapshot"
JOURNAL_PREFIX = "journal-"
SEQUENCE_DIGITS = 12


@dataclass(frozen=True, slots=True)
class RestoredState:
    """The state of a replica as read from its data folder."""

    incarnation: str
    hard_state: HardState
    snapshot: Snapshot | None
    entries: tuple[LogEntry, ...]
    torn: TornTail | None


class ReplicaStore:
    """Persists the state that a replica must not lose in a crash.

    Parameters
    ----------
    files : FileSystem
        The data folder.
    codec : Codec
        Encodes and decodes records and snapshots.
    """

    def __init__(self, files: FileSystem, codec: Codec):
        self.files = files
        self.codec = codec
        self._sequence = 0
        self._hard_state = HardState()
        self._is_folder_synced = False

    def restore(self, create_incarnation) -> RestoredState:
        """Return the state in the folder; in an empty folder save a new incarnation first.

        Parameters
        ----------
        create_incarnation : callable
            Returns the incarnation for an empty folder.

        Raises
        ------
        CorruptionError
            If synced data is damaged, or a journal or snapshot exists without an incarnation.
        UnreadableError
            If a record or the snapshot contains what this build does not know.
        OSError
            If the disk refuses; nothing may be sent before a later call has succeeded.
        """
        names = self.files.list_names()
        incarnation = self._restore_incarnation(names, create_incarnation)
        snapshot = self._restore_snapshot(names)
        entries, torn = self._restore_journals(names, snapshot)
        self._sync_restored(names)
        return RestoredState(incarnation, self._hard_state, snapshot, entries, torn)

    def save(self, effects) -> None:
        """Write the storage effects of one batch; they are durable when this returns.

        A batch without a snapshot needs one sync.
        """
        records = []
        for effect in effects:
            if isinstance(effect, SaveSnapshot):
                self._save_records(records)
                records = []
                self._save_snapshot(effect)
            elif isinstance(effect, SaveEntries):
                records.append(Record(entries=effect.entries, first_index=effect.first_index))
            elif isinstance(effect, SaveHardState):
                self._hard_state = effect.hard_state
                records.append(Record(hard_state=effect.hard_state))
        self._save_records(records)

    def _save_records(self, records: list[Record]) -> None:
        if not records:
            return
        name = _name_journal(self._sequence)
        contents = [self.codec.encode(record) for record in records]
        frame = b"".join(len(part).to_bytes(4, "big") + part for part in contents)
        Journal(self.files, name).append(frame)
        if not self._is_folder_synced:
            self.files.sync_folder()
            self._is_folder_synced = True

    def _save_snapshot(self, effect: SaveSnapshot) -> None:
        """Replace the snapshot and start a journal with only the entries that follow it.

        The old journals are removed last, so that after a crash at any point either the old or
        the new state is complete.
        """
        content = encode_frame(self.codec.encode(effect.snapshot))
        self.files.replace(SNAPSHOT_FILE, content)
        old = [name for name in self.files.list_names() if _is_journal(name)]
        self._sequence = max([_parse_sequence(name) for name in old], default=0) + 1
        first_index = effect.snapshot.index + 1
        tail = Record(entries=effect.entries, first_index=first_index)
        records = [Record(hard_state=self._hard_state), tail]
        contents = [self.codec.encode(record) for record in records]
        frame = b"".join(len(part).to_bytes(4, "big") + part for part in contents)
        self.files.replace(_name_journal(self._sequence), encode_frame(frame))
        for name in old:
            self.files.remove(name)
        self.files.sync_folder()

    def _restore_incarnation(self, names: list[str], create_incarnation) -> str:
        if INCARNATION_FILE in names:
            return self.files.read(INCARNATION_FILE).decode()
        if SNAPSHOT_FILE in names or any(_is_journal(name) for name in names):
            raise CorruptionError(
                INCARNATION_FILE, 0, "the file is missing although a journal or snapshot exists"
            )
        incarnation = create_incarnation()
        self.files.replace(INCARNATION_FILE, incarnation.encode())
        return incarnation

    def _restore_snapshot(self, names: list[str]) -> Snapshot | None:
        if SNAPSHOT_FILE not in names:
            return None
        recovery = Journal(self.files, SNAPSHOT_FILE).recover()
        if recovery.torn is not None or len(recovery.frames) != 1:
            raise CorruptionError(SNAPSHOT_FILE, 0, "the snapshot is not one intact frame")
        return self._decode(SNAPSHOT_FILE, recovery.frames[0])

    def _restore_journals(self, names: list[str], snapshot: Snapshot | None):
        journals = [name for name in names if _is_journal(name)]
        entries: dict[int, LogEntry] = {}
        torn = None
        for position, name in enumerate(journals):
            recovery = Journal(self.files, name).recover()
            if recovery.torn is not None and position < len(journals) - 1:
                raise CorruptionError(name, recovery.torn.offset, "an earlier journal is torn")
            torn = recovery.torn
            for frame in recovery.frames:
                self._replay(name, frame, entries)
            self._sequence = _parse_sequence(name)
        base = snapshot.index if snapshot is not None else 0
        kept = sorted(index for index in entries if index > base)
        if kept and kept != list(range(base + 1, base + 1 + len(kept))):
            raise CorruptionError(journals[-1], 0, f"log entries after index {base} are missing")
        return tuple(entries[index] for index in kept), torn

    def _decode(self, name: str, content: bytes) -> Message:
        try:
            return self.codec.decode(content)
        except FrameError as error:
            raise UnreadableError(f"file {name!r}", str(error)) from error

    def _sync_restored(self, names: list[str]) -> None:
        """Sync what was read.

        After a sync that the disk refused, the last frame may be in the cache of the operating
        system only, while the replica counts it as stored from now on.
        """
        for name in names:
            if name == SNAPSHOT_FILE or _is_journal(name):
                self.files.sync(name)
        self.files.sync_folder()

    def _replay(self, name: str, frame: bytes, entries: dict[int, LogEntry]) -> None:
        for content in _split_frame(frame):
            record = self._decode(name, content)
            if record.hard_state is not None:
                self._hard_state = record.hard_state
            if record.first_index:
                index = record.first_index
                while entries.pop(index, None) is not None:
                    index += 1
                for entry in record.entries:
                    entries[entry.index] = entry


def _split_frame(frame: bytes):
    offset = 0
    while offset < len(frame):
        length = int.from_bytes(frame[offset : offset + 4], "big")
        yield frame[offset + 4 : offset + 4 + length]
        offset += 4 + length


def _name_journal(sequence: int) -> str:
    return f"{JOURNAL_PREFIX}{sequence:0{SEQUENCE_DIGITS}d}"


def _is_journal(name: str) -> bool:
    return name.startswith(JOURNAL_PREFIX) and not name.endswith(".temporary")


def _parse_sequence(name: str) -> int:
    return int(name.removeprefix(JOURNAL_PREFIX))
