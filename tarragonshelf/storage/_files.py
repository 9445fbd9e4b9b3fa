"""File operations on a data folder."""

import os
from abc import ABC, abstractmethod
from pathlib import Path


class FileSystem(ABC):
    """The files of one folder.

    Written content survives a crash only after ``sync`` on the file, and the creation, renaming or
    removal of a file only after ``sync_folder``.
    """

    @abstractmethod
    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""

    @abstractmethod
    def read(self, name: str) -> bytes:
        """Return the content of a file; raise ``FileNotFoundError`` if it does not exist."""

    @abstractmethod
    def append(self, name: str, content: bytes) -> None:
        """Append to a file, which is created if it does not exist."""

    @abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes."""

    @abstractmethod
    def sync(self, name: str) -> None:
        """Sync the content of a file to disk."""

    @abstractmethod
    def rename(self, source: str, destination: str) -> None:
        """Rename a file, replacing the destination."""

    @abstractmethod
    def remove(self, name: str) -> None:
        """Remove a file."""

    @abstractmethod
    def sync_folder(self) -> None:
        """Sync the names of all files to disk."""

    def replace(self, name: str, content: bytes) -> None:
        """Replace a file atomically: a crash leaves either the old or the new content."""
        temporary = f"{name}.temporary"
        if temporary in self.list_names():
            self.remove(temporary)
        self.append(temporary, content)
        self.sync(temporary)
        self.rename(temporary, name)
        self.sync_folder()


class LocalFileSystem(FileSystem):
    """A folder of the operating system's file system.

    Parameters
    ----------
    folder : Path
        An existing folder.
    """

    def __init__(self, folder: Path):
        self.folder = folder
        self._descriptors: dict[str, int] = {}

    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(path.name for path in self.folder.iterdir() if path.is_file())

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self.folder / name).read_bytes()

    def append(self, name: str, content: bytes) -> None:
        """Append to a file, which is created if it does not exist."""
        descriptor = self._open(name)
        view = memoryview(content)
        while view:
            written = os.write(descriptor, view)
            view = view[written:]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes."""
        os.ftruncate(self._open(name), size)

    def sync(self, name: str) -> None:
        """Sync the content of a file to disk."""
        os.fdatasync(self._open(name))

    def rename(self, source: str, destination: str) -> None:
        """Rename a file, replacing the destination."""
        self._close(source)
        self._close(destination)
        os.replace(self.folder / source, self.folder / destination)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close(name)
        os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        """Sync the names of all files to disk."""
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Close every open file."""
        for name in list(self._descriptors):
            self._close(name)

    def _open(self, name: str) -> int:
        if name not in self._descriptors:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._descriptors[name] = os.open(self.folder / name, flags, 0o600)
        return self._descriptors[name]

    def _close(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def create_local_file_system(folder: str) -> LocalFileSystem:
    """Return a file system over a folder, which is created if it does not exist."""
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    return LocalFileSystem(path)
