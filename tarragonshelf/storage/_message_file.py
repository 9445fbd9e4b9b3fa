"""Files that hold one message each, to speed up a restart; not part of the replicated log."""

from ..base import Codec, FrameError, Message
from ._files import FileSystem
from ._journal import CorruptionError, Journal, encode_frame


class MessageFile:
    """A file that holds one message and is replaced atomically.

    Parameters
    ----------
    files : FileSystem
        The data folder.
    codec : Codec
        Encodes and decodes the message.
    name : str
        The file's name.
    """

    def __init__(self, files: FileSystem, codec: Codec, name: str):
        self.files = files
        self.codec = codec
        self.name = name

    def save(self, message: Message) -> None:
        """Replace the message; the new one is durable when this returns."""
        self.files.replace(self.name, encode_frame(self.codec.encode(message)))

    def load(self) -> tuple[Message | None, str]:
        """Return the message and an empty text, or None and the reason why it is unreadable.

        If there is no file, the message is None and the text empty. A damaged file raises no
        error, as the process receives the same information again after its restart.
        """
        if self.name not in self.files.list_names():
            return None, ""
        try:
            recovery = Journal(self.files, self.name).recover()
            return self.codec.decode(recovery.frames[0]), ""
        except (CorruptionError, FrameError, IndexError, OSError) as error:
            return None, repr(error)
