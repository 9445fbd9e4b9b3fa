"""Events and effects of one request's state machine."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from ..base import Effect, Message
from ..configuration import Route, Service
from ..health import Outcome
from ..ledger import Answer, ClaimId, ClaimResult
from ..membership import TargetRecord
from ..routing import TargetChoice


class ExecutionOutcome(StrEnum):
    """What a caller is told about whether its request was run."""

    RAN = "ran"
    REPLAYED = "replayed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Request(Message):
    """A whole request of a caller; ``deadline`` is in seconds of the entry's clock."""

    number: int
    method: str
    path: str
    account: str
    key: str
    digest: str
    route: Route
    service: Service
    deadline: float


class RequestContext(ABC):
    """What a request's state machine asks the entry and tells it."""

    @abstractmethod
    def choose_target(
        self, now: float, service: str, tried: frozenset[str]
    ) -> TargetChoice | None:
        """Return a target that was not tried, or None."""

    @abstractmethod
    def spend_retry(self, cost: float) -> bool:
        """Take a retry of some cost from the budget, or return False."""

    @abstractmethod
    def compute_hang_timeout(self, service: Service) -> float:
        """Return after how many seconds an unanswered attempt counts as hung."""

    @abstractmethod
    def create_claim_id(self) -> ClaimId:
        """Return a claim that was never used before."""

    @abstractmethod
    def is_quarantined(self, now: float, digest: str) -> bool:
        """Tell whether a request crashed too many targets."""

    @abstractmethod
    def record_outcome(self, now: float, service: str, target: TargetRecord, outcome: Outcome):
        """Take an attempt's outcome in as evidence about the target."""

    @abstractmethod
    def record_response_time(self, service: str, seconds: float) -> None:
        """Take the time of a whole answer in."""

    @abstractmethod
    def record_crash(self, now: float, digest: str, target: TargetRecord) -> None:
        """Take in that a target's connection broke under a request."""


@dataclass(frozen=True, slots=True)
class Started(Message):
    """Event: the request was read whole."""


@dataclass(frozen=True, slots=True)
class ClaimAnswered(Message):
    """Event: the ledger answered, or with None no answer came that proves a claim."""

    result: ClaimResult | None


@dataclass(frozen=True, slots=True)
class SettleAnswered(Message):
    """Event: the ledger keeps the answer, or does not say so yet."""

    is_kept: bool


class AttemptResult(StrEnum):
    """How an attempt ended; the first two prove that the target did not run the request.

    ``UNUSABLE`` is an answer that is too large, or whose end a broken connection could fake.
    """

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    ANSWERED = "answered"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    UNUSABLE = "unusable"


@dataclass(frozen=True, slots=True)
class AttemptEnded(Message):
    """Event: an attempt ended."""

    number: int
    kind: AttemptResult
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class AttemptSlow(Message):
    """Event: an attempt has no answer by its hang bound."""

    number: int


@dataclass(frozen=True, slots=True)
class WaitEnded(Message):
    """Event: a pause is over."""


@dataclass(frozen=True, slots=True)
class SubmitClaim(Effect):
    """Claim a key; an answer later than ``timeout`` seconds must not be used."""

    command: Message
    timeout: float


@dataclass(frozen=True, slots=True)
class SubmitSettle(Effect):
    """Settle a claim; after ``timeout`` seconds it goes on in the background."""

    command: Message
    timeout: float


@dataclass(frozen=True, slots=True)
class Command(Effect):
    """Submit a command in the background until the ledger acknowledges it."""

    command: Message


@dataclass(frozen=True, slots=True)
class Attempt(Effect):
    """Send the request to a target; ``timeout`` and ``hang`` in seconds from now."""

    number: int
    target: TargetRecord
    timeout: float
    hang: float
    is_remote: bool = False


@dataclass(frozen=True, slots=True)
class Cancel(Effect):
    """End an attempt and close its connection; its answer must not be used any more."""

    number: int


@dataclass(frozen=True, slots=True)
class Wait(Effect):
    """Pause for some seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Respond(Effect):
    """Give the caller a target's answer."""

    answer: Answer
    outcome: ExecutionOutcome


@dataclass(frozen=True, slots=True)
class Reject(Effect):
    """Give the caller an answer that the system itself makes."""

    status: int
    outcome: ExecutionOutcome
    reason: str
    retry_after: float | None = None
