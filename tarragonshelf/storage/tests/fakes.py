"""A file system that keeps only what was synced, and can crash between any two calls."""

from ...storage import FileSystem


class CrashError(BaseException):
    """The machine stopped before a call."""


class _File:
    def __init__(self):
        self.content = b""
        self.synced = b""


class FakeFileSystem(FileSystem):
    """Files in memory; ``calls_left`` counts down to a crash.

    ``torn`` is the share of an unsynced append that a crash leaves behind.
    """

    def __init__(self, *, torn: float = 0.5):
        self.calls_left = float("inf")
        self.calls = 0
        self.torn = torn
        self._names: dict[str, _File] = {}
        self._durable_names: dict[str, _File] = {}

    def crash(self) -> None:
        """Forget what was not synced."""
        self._names = dict(self._durable_names)
        for file in self._names.values():
            file.content = self._tear(file)
            file.synced = file.content
        self.calls_left = float("inf")

    def list_names(self):
        return sorted(self._names)

    def read(self, name):
        if name not in self._names:
            raise FileNotFoundError(name)
        return self._names[name].content

    def append(self, name, content):
        self._count()
        self._names.setdefault(name, _File()).content += content

    def truncate(self, name, size):
        self._count()
        self._names[name].content = self._names[name].content[:size]

    def sync(self, name):
        self._count()
        self._names[name].synced = self._names[name].content

    def rename(self, source, destination):
        self._count()
        self._names[destination] = self._names.pop(source)

    def remove(self, name):
        self._count()
        del self._names[name]

    def sync_folder(self):
        self._count()
        self._durable_names = dict(self._names)

    def damage(self, name: str, offset: int) -> None:
        """Flip one byte that had been synced."""
        content = bytearray(self._names[name].content)
        content[offset] ^= 0xFF
        self._names[name].content = self._names[name].synced = bytes(content)

    def _tear(self, file: _File) -> bytes:
        if not file.content.startswith(file.synced):
            return file.synced
        unsynced = file.content[len(file.synced) :]
        return file.synced + unsynced[: int(len(unsynced) * self.torn)]

    def _count(self) -> None:
        self.calls += 1
        self.calls_left -= 1
        if self.calls_left < 0:
            raise CrashError
