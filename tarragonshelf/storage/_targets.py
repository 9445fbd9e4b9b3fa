"""The targets that a control knew, so that it knows them right after a restart."""

from ..base import Codec, FrameError
from ..registry import TargetNews
from ._files import FileSystem
from ._journal import CorruptionError, Journal, encode_frame

TARGETS = "targets"


class TargetStore:
    """Keeps one file with all targets, replaced as a whole.

    Parameters
    ----------
    files : FileSystem
        The data folder.
    codec : Codec
        Encodes the targets.
    """

    def __init__(self, files: FileSystem, codec: Codec):
        self.files = files
        self.codec = codec

    def save(self, news: TargetNews) -> None:
        """Replace what is kept; it lasts when this returns."""
        self.files.replace(TARGETS, encode_frame(self.codec.encode(news)))

    def load(self) -> tuple[TargetNews, str]:
        """Return what is kept, and why it could not be read or an empty text.

        Targets announce themselves again within seconds, so a damaged file is no reason to stop.
        """
        nothing = TargetNews(())
        if TARGETS not in self.files.list_names():
            return nothing, ""
        try:
            recovery = Journal(self.files, TARGETS).recover()
            news = self.codec.decode(recovery.frames[0])
        except (CorruptionError, FrameError, IndexError, OSError) as error:
            return nothing, repr(error)
        return news, ""
