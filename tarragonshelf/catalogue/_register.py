"""Replicated register of the catalogue; the highest version is in force."""

from ..base import Message
from ._messages import CatalogueCopy, CatalogueState, CatalogueStored, PutCatalogue


class UnknownCommandError(Exception):
    """A log entry holds a message that is no command of this build."""


class CatalogueRegister:
    """State machine that applies log entries in order.

    Notes
    -----
    A document whose version does not exceed the one in force changes nothing, but is still
    acknowledged: it was sent again, or another operator was faster.

    All replicas must apply the same commands. So a command of a new kind is applied by one release
    and proposed only by a later one, and an unknown command is an error.
    """

    COMMANDS = (PutCatalogue,)

    def __init__(self):
        self.state = CatalogueState()

    @property
    def copy(self) -> CatalogueCopy:
        """The document in force."""
        return CatalogueCopy(self.state.version, self.state.content)

    def apply(self, index: int, command: Message | None) -> CatalogueStored:
        """Apply the log entry at an index; an entry without a command only advances the index.

        Raises
        ------
        UnknownCommandError
            If the message is no command of this build.
        """
        if command is not None:
            self.check(index, command)
        state = self.state
        version, content = state.version, state.content
        if isinstance(command, PutCatalogue) and command.version > self.copy.latest_version:
            version, content = command.version, command.content
        self.state = CatalogueState(index, version, content)
        return CatalogueStored(version)

    def check(self, index: int, command: Message) -> None:
        """Raise ``UnknownCommandError`` if a message is no command of this build."""
        if not isinstance(command, self.COMMANDS):
            raise UnknownCommandError(
                f"log entry {index} holds {type(command).__name__}, which is no command"
            )

    def restore(self, state: CatalogueState) -> None:
        """Replace the state by that of a snapshot."""
        self.state = state
