"""Recovery of the data folder after crashes, torn writes and damage."""

import errno

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...consensus import (
    HardState,
    LogEntry,
    Membership,
    Record,
    SaveEntries,
    SaveHardState,
    SaveSnapshot,
    Snapshot,
)
from ...transport import create_codec
from .. import (
    CorruptionError,
    Journal,
    MessageFile,
    ReplicaStore,
    UnreadableError,
    create_local_file_system,
    encode_frame,
)
from .fakes import CrashError, FakeFileSystem

CODEC = create_codec()


def create_entries(first: int, last: int, term: int = 1) -> tuple[LogEntry, ...]:
    return tuple(LogEntry(n, term, payload=f"{term}.{n}".encode()) for n in range(first, last + 1))


SESSION = (
    [SaveHardState(HardState(1, "a/1")), SaveEntries(1, create_entries(1, 3))],
    [SaveEntries(4, create_entries(4, 6))],
    [SaveHardState(HardState(2, "")), SaveEntries(5, create_entries(5, 7, term=2))],
    [SaveSnapshot(Snapshot(5, 2, Membership(), b"five"), create_entries(6, 7, term=2))],
    [SaveEntries(8, create_entries(8, 9, term=2)), SaveHardState(HardState(3, "b/1"))],
    [SaveSnapshot(Snapshot(9, 2, Membership(), b"nine"))],
    [SaveEntries(10, create_entries(10, 10, term=3))],
)


def describe(restored) -> tuple:
    """Return the parts that a restart must preserve: term, vote, snapshot and log entries."""
    snapshot = restored.snapshot
    base = (snapshot.index, snapshot.data) if snapshot else (0, b"")
    return (restored.hard_state, base, restored.entries)


def restore(files) -> tuple:
    return describe(ReplicaStore(files, CODEC).restore(lambda: "1"))


def list_states() -> list[tuple]:
    """Return the state after each batch of the session, without a crash."""
    files = FakeFileSystem()
    store = ReplicaStore(files, CODEC)
    store.restore(lambda: "1")
    states = [restore(files)]
    for batch in SESSION:
        store.save(batch)
        states.append(restore(files))
    return states


class UnsyncedFileSystem(FakeFileSystem):
    """A file system that never syncs files, so that the crash test has to fail."""

    def sync(self, name):
        self._count_call()


class TestCrashPoints:
    @pytest.mark.parametrize("torn_share", [0.0, 0.3, 0.9])
    def test_a_crash_at_any_call_leaves_the_state_before_or_after_the_batch(self, torn_share):
        points = self._check_all_crash_points(FakeFileSystem, torn_share)
        assert points > 20

    def test_the_check_of_crash_points_detects_a_missing_sync(self):
        with pytest.raises((AssertionError, CorruptionError)):
            self._check_all_crash_points(UnsyncedFileSystem, 0.0)

    def _check_all_crash_points(self, create_files, torn_share) -> int:
        states = list_states()
        point = 0
        while True:
            files = create_files(torn_share=torn_share)
            store = ReplicaStore(files, CODEC)
            store.restore(lambda: "1")
            files.calls_until_crash = point
            done = self._run_session(store)
            if done == len(SESSION):
                return point
            files.crash()
            allowed = states[done : done + 2]
            intermediate = self._list_intermediate_states(states, done)
            assert restore(files) in [*allowed, *intermediate]
            point += 1

    def _run_session(self, store) -> int:
        for number, batch in enumerate(SESSION):
            try:
                store.save(batch)
            except CrashError:
                return number
        return len(SESSION)

    def _list_intermediate_states(self, states, done) -> list:
        """Return the states that a crash between replacing snapshot and journal can leave."""
        before, after = states[done], states[min(done + 1, len(states) - 1)]
        kept = tuple(entry for entry in before[2] if entry.index > after[1][0])
        return [(before[0], after[1], kept), (after[0], after[1], kept)]


class TestDamage:
    def test_a_torn_tail_is_removed_and_reported(self):
        files = FakeFileSystem()
        store = ReplicaStore(files, CODEC)
        store.restore(lambda: "1")
        store.save(SESSION[0])
        size = len(files.read("journal-000000000000"))
        files.append("journal-000000000000", b"\x00\x00\x01")
        restored = ReplicaStore(files, CODEC).restore(lambda: "2")
        assert restored.torn.offset == size
        assert restored.torn.dropped_bytes == 3
        assert len(restored.entries) == 3
        assert restored.incarnation == "1"

    @given(st.data())
    def test_damage_before_the_last_frame_raises_an_error_with_its_offset(self, data):
        files = FakeFileSystem()
        store = ReplicaStore(files, CODEC)
        store.restore(lambda: "1")
        store.save(SESSION[0])
        synced = len(files.read("journal-000000000000"))
        store.save(SESSION[1])
        files.damage("journal-000000000000", data.draw(st.integers(0, synced - 1)))
        with pytest.raises(CorruptionError) as caught:
            ReplicaStore(files, CODEC).restore(lambda: "1")
        assert caught.value.name == "journal-000000000000"
        assert 0 <= caught.value.offset < synced

    @given(st.data())
    def test_a_last_frame_with_any_part_missing_is_removed(self, data):
        """In a power loss, blocks of the last write reach the disk in any order or not at all."""
        files = FakeFileSystem()
        store = ReplicaStore(files, CODEC)
        store.restore(lambda: "1")
        store.save(SESSION[0])
        name = "journal-000000000000"
        synced = files.read(name)
        store.save(SESSION[1])
        frame = bytearray(files.read(name)[len(synced) :])
        first = data.draw(st.integers(0, len(frame) - 1))
        last = data.draw(st.integers(first + 1, len(frame)))
        frame[first:last] = bytes(last - first)
        if bytes(frame) == files.read(name)[len(synced) :]:
            return
        files.truncate(name, len(synced))
        files.append(name, bytes(frame))
        restored = ReplicaStore(files, CODEC).restore(lambda: "2")
        assert restored.torn.offset == len(synced)
        assert files.read(name) == synced

    def test_a_journal_without_incarnation_raises_an_error(self):
        files = FakeFileSystem()
        store = ReplicaStore(files, CODEC)
        store.restore(lambda: "1")
        store.save(SESSION[0])
        files.remove("incarnation")
        with pytest.raises(CorruptionError):
            ReplicaStore(files, CODEC).restore(lambda: "2")


# A message of a kind that no build has, and fields that no build has, in the compact protocol.
NEW_KIND = b"\x0c\x88\x0e\x00\x00"
NEW_FIELDS = b"\x08\xa0\x01\x03new"


class TestContentOfAnotherBuild:
    """It is neither skipped nor taken for a torn write: the process must not start."""

    def create_files(self) -> FakeFileSystem:
        files = FakeFileSystem()
        store = ReplicaStore(files, CODEC)
        store.restore(lambda: "1")
        store.save([SaveEntries(1, create_entries(1, 2))])
        return files

    def append_record(self, files: FakeFileSystem, content: bytes) -> None:
        frame = len(content).to_bytes(4, "big") + content
        Journal(files, "journal-000000000000").append(frame)

    @pytest.mark.parametrize("is_followed", [True, False])
    def test_unknown_kind_of_log_entry(self, is_followed):
        files = self.create_files()
        content = CODEC.encode(Record(first_index=3, entries=create_entries(3, 3)))
        self.append_record(files, content.replace(b"command", b"renamed"))
        if is_followed:
            self.append_record(files, CODEC.encode(Record(hard_state=HardState(2))))
        before = files.read("journal-000000000000")
        with pytest.raises(UnreadableError, match=r"journal-000000000000.*renamed"):
            restore(files)
        assert files.read("journal-000000000000") == before

    def test_unknown_kind_of_record(self):
        files = self.create_files()
        self.append_record(files, NEW_KIND)
        with pytest.raises(UnreadableError, match="kind 900"):
            restore(files)

    def test_snapshot_of_an_unknown_kind(self):
        files = self.create_files()
        files.replace("snapshot", encode_frame(NEW_KIND))
        with pytest.raises(UnreadableError, match=r"snapshot.*kind 900"):
            restore(files)

    def test_unknown_fields_of_a_record_are_ignored(self):
        files = self.create_files()
        content = CODEC.encode(Record(first_index=3, entries=create_entries(3, 3)))
        # Both structs, the record and the body, end here.
        assert content.endswith(b"\x00\x00")
        self.append_record(files, content[:-2] + NEW_FIELDS + b"\x00\x00")
        assert restore(files)[2] == create_entries(1, 3)

    def test_saved_message_is_left_out_with_its_problem(self):
        files = FakeFileSystem()
        files.replace("targets", encode_frame(NEW_KIND))
        message, problem = MessageFile(files, CODEC, "targets").load()
        assert message is None
        assert "kind 900" in problem


class TestLocalFileSystem:
    def test_the_state_survives_a_restart(self, tmp_path):
        files = create_local_file_system(str(tmp_path / "data"))
        store = ReplicaStore(files, CODEC)
        store.restore(lambda: "1")
        for batch in SESSION:
            store.save(batch)
        files.close()
        again = create_local_file_system(str(tmp_path / "data"))
        assert restore(again) == list_states()[-1]
        again.close()

    def test_appended_frames_are_recovered(self, tmp_path):
        files = create_local_file_system(str(tmp_path))
        journal = Journal(files, "journal")
        journal.append(b"one")
        journal.append(b"two")
        assert journal.recover().frames == (b"one", b"two")
        files.close()


class RefusingFileSystem(FakeFileSystem):
    """A disk that refuses to sync while ``is_refusing`` is set; what was written stays cached."""

    is_refusing = False

    def sync(self, name):
        if self.is_refusing:
            raise OSError(errno.ENOSPC, "no space", name)
        super().sync(name)


class TestRefusedSync:
    # Guards against an entry that counts as stored because it could be read back, although only
    # the cache of the operating system held it.
    def test_content_that_is_restored_after_a_refused_sync_outlasts_a_crash(self):
        files = RefusingFileSystem(torn_share=0.0)
        store = ReplicaStore(files, CODEC)
        store.restore(lambda: "1")
        store.save([SaveEntries(1, create_entries(1, 1))])
        files.is_refusing = True
        with pytest.raises(OSError):
            store.save([SaveEntries(2, create_entries(2, 2))])
        files.is_refusing = False
        restored = restore(files)
        files.crash()
        assert restore(files) == restored

    def test_nothing_is_restored_while_syncs_are_refused(self):
        files = RefusingFileSystem(torn_share=0.0)
        store = ReplicaStore(files, CODEC)
        store.restore(lambda: "1")
        store.save([SaveEntries(1, create_entries(1, 1))])
        files.is_refusing = True
        with pytest.raises(OSError):
            restore(files)
