"""Events and effects of the state machine of one request."""

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
    """Whether a request was run, as reported to the caller."""

    RAN = "ran"
    REPLAYED = "replayed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Request(Message):
    """A complete request of a caller; ``deadline`` is in seconds of the entry's clock.

    ``key`` is the idempotency key or empty. ``digest`` identifies the request by its content.
    """

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
    """The entry as seen by a request's state machine: queries and reports."""

    @abstractmethod
    def choose_target(
        self, now: float, service: str, tried: frozenset[str]
    ) -> TargetChoice | None:
        """Return a target that was not tried, or None."""

    @abstractmethod
    def spend_retry(self, cost: float) -> bool:
        """Take the cost of a retry from the budget, or return False if too little is left."""

    @abstractmethod
    def compute_hang_timeout(self, service: Service) -> float:
        """Return after how many seconds an unanswered attempt counts as hung."""

    @abstractmethod
    def create_claim_id(self) -> ClaimId:
        """Return a claim identifier that was never used before."""

    @abstractmethod
    def is_quarantined(self, now: float, digest: str) -> bool:
        """Return whether a request is suspected of crashing targets."""

    @abstractmethod
    def record_outcome(self, now: float, service: str, target: TargetRecord, outcome: Outcome):
        """Record the outcome of an attempt as evidence about its target."""

    @abstractmethod
    def record_response_time(self, service: str, seconds: float) -> None:
        """Record the response time of a complete answer."""

    @abstractmethod
    def record_crash(self, now: float, digest: str, target: TargetRecord) -> None:
        """Record that a target's connection broke while it ran a request."""


@dataclass(frozen=True, slots=True)
class Started(Message):
    """Event: the request was read completely."""


@dataclass(frozen=True, slots=True)
class ClaimAnswered(Message):
    """Event: the ledger's result of a claim, or None if no conclusive result arrived."""

    result: ClaimResult | None


@dataclass(frozen=True, slots=True)
class SettleAnswered(Message):
    """Event: ``is_kept`` if the ledger confirmed that it stores the answer; False if unknown."""

    is_kept: bool


class AttemptResult(StrEnum):
    """How an attempt ended; the first two prove that the target did not run the request.

    ``UNUSABLE`` is an answer that is too large, or one with neither a content length nor chunked
    encoding, whose end cannot be distinguished from a broken connection. ``ENDLESS`` is an answer
    that exceeded a limit before its end. ``GIVEN_UP`` is an attempt that this entry ended for a
    reason of its own, which says nothing about the target.
    """

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    ANSWERED = "answered"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    UNUSABLE = "unusable"
    ENDLESS = "endless"
    GIVEN_UP = "given-up"


@dataclass(frozen=True, slots=True)
class AttemptEnded(Message):
    """Event: an attempt ended."""

    number: int
    kind: AttemptResult
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class AttemptSlow(Message):
    """Event: an attempt has no answer after its hang time-out."""

    number: int


@dataclass(frozen=True, slots=True)
class WaitEnded(Message):
    """Event: a ``Wait`` is over."""


@dataclass(frozen=True, slots=True)
class SubmitClaim(Effect):
    """Claim a key; a result that arrives after ``timeout`` seconds must not be used."""

    command: Message
    timeout: float


@dataclass(frozen=True, slots=True)
class SubmitSettle(Effect):
    """Settle a claim; submission continues in the background after ``timeout`` seconds."""

    command: Message
    timeout: float


@dataclass(frozen=True, slots=True)
class Command(Effect):
    """Submit a command in the background, repeatedly until the ledger acknowledges it."""

    command: Message


@dataclass(frozen=True, slots=True)
class Attempt(Effect):
    """Send the request to a target.

    After ``hang`` seconds without an answer the attempt counts as hung, after ``timeout`` seconds
    it ends.
    """

    number: int
    target: TargetRecord
    timeout: float
    hang: float
    is_remote: bool = False


@dataclass(frozen=True, slots=True)
class Cancel(Effect):
    """End an attempt and close its connection; its answer must not be used."""

    number: int


@dataclass(frozen=True, slots=True)
class Wait(Effect):
    """Pause for some seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Respond(Effect):
    """Return a target's answer to the caller."""

    answer: Answer
    outcome: ExecutionOutcome


@dataclass(frozen=True, slots=True)
class Reject(Effect):
    """Return an error response of the entry itself to the caller."""

    status: int
    outcome: ExecutionOutcome
    reason: str
    retry_after: float | None = None
