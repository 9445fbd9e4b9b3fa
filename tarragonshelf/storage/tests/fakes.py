"""An in-memory file system that can crash before any call and then loses unsynced data."""

from ...storage import FileSystem


class CrashError(BaseException):
    """The simulated machine crashed."""


class _File:
    def __init__(self):
        self.content = b""
        self.synced = b""


class FakeFileSystem(FileSystem):
    """A file system in memory.

    Parameters
    ----------
    torn_share : float
        Share of the unsynced bytes at the end of a file that survives a crash.

    Attributes
    ----------
    calls_until_crash : float
        How many modifying calls succeed before one raises ``CrashError``.
    """

    def __init__(self, *, torn_share: float = 0.5):
        self.calls_until_crash = float("inf")
        self.calls = 0
        self.torn_share = torn_share
        self._names: dict[str, _File] = {}
        self._durable_names: dict[str, _File] = {}

    def crash(self) -> None:
        """Simulate a crash: discard unsynced data but the share ``torn_share`` of each file."""
        self._names = dict(self._durable_names)
        for file in self._names.values():
            file.content = self._compute_content_after_crash(file)
            file.synced = file.content
        self.calls_until_crash = float("inf")

    def list_names(self):
        return sorted(self._names)

    def read(self, name):
        if name not in self._names:
            raise FileNotFoundError(name)
        return self._names[name].content

    def append(self, name, content):
        self._count_call()
        self._names.setdefault(name, _File()).content += content

    def truncate(self, name, size):
        self._count_call()
        self._names[name].content = self._names[name].content[:size]

    def sync(self, name):
        self._count_call()
        self._names[name].synced = self._names[name].content

    def rename(self, source, destination):
        self._count_call()
        self._names[destination] = self._names.pop(source)

    def remove(self, name):
        self._count_call()
        del self._names[name]

    def sync_folder(self):
        self._count_call()
        self._durable_names = dict(self._names)

    def damage(self, name: str, offset: int) -> None:
        """Invert one byte of a file, as if the disk had damaged synced data."""
        content = bytearray(self._names[name].content)
        content[offset] ^= 0xFF
        self._names[name].content = self._names[name].synced = bytes(content)

    def _compute_content_after_crash(self, file: _File) -> bytes:
        if not file.content.startswith(file.synced):
            return file.synced
        unsynced = file.content[len(file.synced) :]
        return file.synced + unsynced[: int(len(unsynced) * self.torn_share)]

    def _count_call(self) -> None:
        self.calls += 1
        self.calls_until_crash -= 1
        if self.calls_until_crash < 0:
            raise CrashError
