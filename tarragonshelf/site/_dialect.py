"""What differs between platforms in how callers, targets and operators speak HTTP."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from aiohttp import web

from ..base import Message
from ..forwarding import AttemptOutcome, RefusalReason, Refuse, TargetAnswer
from ..registry import TargetEntry

RawHeaders = Iterable[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class CallerFields:
    """What a caller says of its request; ``patience`` in seconds, None if it does not say."""

    identity: bytes
    patience: float | None


class TargetDialect(ABC):
    """How requests and answers travel between entries and targets."""

    @abstractmethod
    def read_caller_fields(self, headers: RawHeaders) -> CallerFields:
        """Return what the headers of a caller's request say."""

    @abstractmethod
    def write_headers(
        self, headers: RawHeaders, target: TargetEntry, patience: float, size: int | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers for a target, which may work for ``patience`` seconds.

        ``size`` is the length of the body, or None for a request without one.
        """

    @abstractmethod
    def belongs(self, headers: RawHeaders, status: int, identity: bytes) -> bool:
        """Tell whether an answer belongs to a request."""

    @abstractmethod
    def find_problem(self, status: int, headers: RawHeaders) -> str:
        """Return why an answer must not be passed on, or an empty text."""

    @abstractmethod
    def classify(self, answer: TargetAnswer) -> AttemptOutcome:
        """Tell an answer from a refusal that proves that the request did not run."""

    @abstractmethod
    def get_idle_seconds(self, headers: RawHeaders) -> float:
        """Return how long a connection may stay idle after an answer."""

    @abstractmethod
    def filter_answer(self, headers: RawHeaders) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer that concern the caller."""

    @abstractmethod
    def create_refusal(self, refuse: Refuse, identity: bytes) -> web.Response:
        """Return the answer of an entry's own."""

    @abstractmethod
    def create_error(self, status: int, reason: RefusalReason | str) -> web.Response:
        """Return an answer that says why a request cannot be taken."""


class EdgePort(ABC):
    """What the platform's own questions to an entry need to know."""

    @property
    @abstractmethod
    def is_ready(self) -> bool:
        """Whether callers are served."""

    @abstractmethod
    def list_addresses(self, data_centre: str, region: str) -> tuple[str, ...]:
        """Return the addresses of entries near a caller."""


class HubPort(ABC):
    """What calls of targets and operators ask of a hub."""

    @abstractmethod
    async def submit(self, message: Message) -> Message | None:
        """Return the leader's result, or None if there was none in time."""

    @abstractmethod
    async def announce(self, target: TargetEntry) -> Message | None:
        """Take a target's word in; None if it could not be made binding in time."""


class EdgeQuestions(ABC):
    """Answers the platform's own questions to an entry."""

    @abstractmethod
    def answer(self, request: web.BaseRequest, port: EdgePort) -> web.Response:
        """Return the answer to one question."""


class HubCalls(ABC):
    """Answers calls of targets and operators."""

    @abstractmethod
    async def answer(self, request: web.BaseRequest, port: HubPort) -> web.Response:
        """Return the answer to one call."""
