"""Messages and records of the run ledger."""

from dataclasses import dataclass
from enum import StrEnum

from ..base import Message


@dataclass(frozen=True, slots=True)
class Header(Message):
    """One HTTP header."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Answer(Message):
    """A target's answer as it is kept for replay.

    ``is_truncated`` tells that the body was too large to keep and only its digest is.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    is_truncated: bool = False


@dataclass(frozen=True, slots=True)
class OrderKey(Message):
    """What makes two requests the same order."""

    account: str
    route: str
    key: str

    def __str__(self) -> str:
        return f"{self.account}|{self.route}|{self.key}"


@dataclass(frozen=True, slots=True)
class ClaimId(Message):
    """One attempt of one entry process to run an order."""

    vm: str
    incarnation: str
    number: int


@dataclass(frozen=True, slots=True)
class ClaimKey(Message):
    """Command: reserve a key for one run.

    ``patience`` is how many seconds of log time the entry has to report an outcome, and
    ``window`` how many the key is kept once it settled.
    """

    claim: ClaimId
    key: OrderKey
    digest: str
    service: str
    patience: float
    window: float


@dataclass(frozen=True, slots=True)
class SettleKey(Message):
    """Command: keep the answer of the run."""

    claim: ClaimId
    key: OrderKey
    answer: Answer
    digest: str
    service: str
    window: float


@dataclass(frozen=True, slots=True)
class AbandonKey(Message):
    """Command: free a key that was provably not run."""

    claim: ClaimId
    key: OrderKey


@dataclass(frozen=True, slots=True)
class SuspendKey(Message):
    """Command: mark a key whose run has no known outcome."""

    claim: ClaimId
    key: OrderKey
    reason: str
    target: str = ""


@dataclass(frozen=True, slots=True)
class ResolveKey(Message):
    """Command of an operator: an unresolved order ran, or did not."""

    key: OrderKey
    ran: bool
    operator: str = ""


class ClaimState(StrEnum):
    """The ledger's answer to a command on a key."""

    GRANTED = "granted"
    PENDING = "pending"
    SETTLED = "settled"
    UNRESOLVED = "unresolved"
    CONFLICT = "conflict"
    ABANDONED = "abandoned"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ClaimResult(Message):
    """The ledger's answer, with the stored answer where there is one."""

    state: ClaimState
    answer: Answer | None = None


class KeyState(StrEnum):
    """How far an order has come."""

    OPEN = "open"
    SETTLED = "settled"
    UNRESOLVED = "unresolved"


@dataclass(frozen=True, slots=True)
class KeyRecord(Message):
    """One key; ``since`` and ``expires`` are log time in seconds."""

    key: OrderKey
    claim: ClaimId
    digest: str
    service: str
    state: KeyState
    since: float
    expires: float
    window: float
    answer: Answer | None = None
    reason: str = ""
    target: str = ""


@dataclass(frozen=True, slots=True)
class Tombstone(Message):
    """A claim that must never be granted any more, until ``expires`` in log time."""

    claim: ClaimId
    expires: float


@dataclass(frozen=True, slots=True)
class LedgerState(Message):
    """Everything the ledger holds, for a snapshot."""

    records: tuple[KeyRecord, ...] = ()
    tombstones: tuple[Tombstone, ...] = ()
