"""Replicated register of the catalogue; the highest version is in force."""

from ..base import Message
from ._messages import CatalogueCopy, CatalogueState, CatalogueStored, PutCatalogue


class CatalogueRegister:
    """State machine that applies log entries in order.

    Notes
    -----
    A document whose version does not exceed the one in force changes nothing, but is still
    acknowledged: it was sent again, or another operator was faster.
    """

    def __init__(self):
        self.state = CatalogueState()

    @property
    def copy(self) -> CatalogueCopy:
        """The document in force."""
        return CatalogueCopy(self.state.version, self.state.content)

    def apply(self, index: int, command: Message | None) -> CatalogueStored:
        """Apply the log entry at an index; an entry without a command only advances the index."""
        state = self.state
        version, content = state.version, state.content
        if isinstance(command, PutCatalogue) and command.version > version:
            version, content = command.version, command.content
        self.state = CatalogueState(index, version, content)
        return CatalogueStored(version)

    def restore(self, state: CatalogueState) -> None:
        """Replace the state by that of a snapshot."""
        self.state = state
