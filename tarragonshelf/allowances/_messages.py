"""Messages by which entries ask for the allowances of client accounts."""

from dataclasses import dataclass

from ..base import Message


@dataclass(frozen=True, slots=True)
class AllowanceRequest(Message):
    """Asks for leave to run ``count`` requests of a client account."""

    number: int
    account: str
    count: int


@dataclass(frozen=True, slots=True)
class AllowanceReply(Message):
    """Reply to the ``AllowanceRequest`` with the same number; times in seconds.

    ``granted`` requests may be run. The caller of the first of the others should return after
    ``retry_after``, each further one ``interval`` later. Without ``is_decided`` no leader was
    asked, and the entry has to decide itself.
    """

    number: int
    granted: int = 0
    retry_after: float = 0.0
    interval: float = 0.0
    is_decided: bool = False


@dataclass(frozen=True, slots=True)
class RelayedAllowanceRequest(Message):
    """The combined request of all entries of a control, sent to the leader.

    ``address`` is the peer address of that control.
    """

    address: str
    request: AllowanceRequest


@dataclass(frozen=True, slots=True)
class RelayedAllowanceReply(Message):
    """The leader's reply to a ``RelayedAllowanceRequest``."""

    reply: AllowanceReply
