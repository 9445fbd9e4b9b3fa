"""One message in one file, for what helps a restart but is not part of the replicated log."""

from ..base import Codec, FrameError, Message
from ._files import FileSystem
from ._journal import CorruptionError, Journal, encode_frame


class MessageFile:
    """A file that is replaced as a whole.

    Parameters
    ----------
    files : FileSystem
        The data folder.
    codec : Codec
        Encodes the message.
    name : str
        The file's name.
    """

    def __init__(self, files: FileSystem, codec: Codec, name: str):
        self.files = files
        self.codec = codec
        self.name = name

    def save(self, message: Message) -> None:
        """Replace what is kept; it lasts when this returns."""
        self.files.replace(self.name, encode_frame(self.codec.encode(message)))

    def load(self) -> tuple[Message | None, str]:
        """Return what is kept if anything is, and why it could not be read or an empty text.

        A damaged file is no reason to stop, as what it holds comes again.
        """
        if self.name not in self.files.list_names():
            return None, ""
        try:
            recovery = Journal(self.files, self.name).recover()
            return self.codec.decode(recovery.frames[0]), ""
        except (CorruptionError, FrameError, IndexError, OSError) as error:
            return None, repr(error)
