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
    """A target's answer, stored to answer a resent request.

    With ``is_truncated`` the body was too large to store, and ``body`` is its digest.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    is_truncated: bool = False


@dataclass(frozen=True, slots=True)
class OrderKey(Message):
    """Identity of an order: requests with equal keys are the same order."""

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

    ``patience`` is the time in which the entry must report an outcome, and ``window`` the
    retention of the key after it settled; both in seconds of log time.
    """

    claim: ClaimId
    key: OrderKey
    digest: str
    service: str
    patience: float
    window: float


@dataclass(frozen=True, slots=True)
class SettleKey(Message):
    """Command: store the answer of the run."""

    claim: ClaimId
    key: OrderKey
    answer: Answer
    digest: str
    service: str
    window: float


@dataclass(frozen=True, slots=True)
class AbandonKey(Message):
    """Command: release a key whose order was provably not run."""

    claim: ClaimId
    key: OrderKey


@dataclass(frozen=True, slots=True)
class SuspendKey(Message):
    """Command: mark a key as unresolved, because the outcome of its run is unknown."""

    claim: ClaimId
    key: OrderKey
    reason: str
    target: str = ""


@dataclass(frozen=True, slots=True)
class ResolveKey(Message):
    """Operator command: record whether an unresolved order ran."""

    key: OrderKey
    ran: bool
    operator: str = ""


class ClaimState(StrEnum):
    """Outcome of a command on a key."""

    GRANTED = "granted"
    PENDING = "pending"
    SETTLED = "settled"
    UNRESOLVED = "unresolved"
    CONFLICT = "conflict"
    ABANDONED = "abandoned"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ClaimResult(Message):
    """Result of a command on a key, with the stored answer of the target if there is one."""

    state: ClaimState
    answer: Answer | None = None


class KeyState(StrEnum):
    """State of an order in the ledger."""

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
    """An abandoned claim, not to be granted until ``expires``, in seconds of log time."""

    claim: ClaimId
    expires: float


@dataclass(frozen=True, slots=True)
class LedgerState(Message):
    """The whole state of the ledger, for a snapshot."""

    records: tuple[KeyRecord, ...] = ()
    tombstones: tuple[Tombstone, ...] = ()
