"""Interfaces to the outer platform's HTTP API, which each platform implements."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from aiohttp import web

from ..base import Message
from ..exchange import RawHeaders, ResponseDialect
from ..forwarding import AttemptOutcome, RefusalReason, Refuse, TargetAnswer
from ..registry import TargetEntry
from ..throttling import LimitStatement, PauseStatement


@dataclass(frozen=True, slots=True)
class CallerFields:
    """Fields that a caller sets in the headers of its request.

    ``request_id`` is empty if the request has none. ``remaining_seconds`` is the time until the
    caller's deadline, or None if the request states no deadline. ``key_digest`` is the digest of
    the key of its client account, or empty if the request has no key.
    """

    request_id: bytes
    remaining_seconds: float | None
    key_digest: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestProblem:
    """Status and reason with which the entry itself rejects a request."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class RequestContent:
    """Parts of a caller's request that each attempt sends to a target or to another entry."""

    method: bytes
    path: bytes
    host: str
    headers: RawHeaders
    body: bytes
    request_id: bytes
    has_body: bool


class HttpDialect(ResponseDialect):
    """Headers and status codes that entries exchange with callers and targets."""

    @abstractmethod
    def read_caller_fields(self, headers: RawHeaders) -> CallerFields:
        """Return the fields that a caller set in the headers of its request."""

    @abstractmethod
    def find_request_problem(self, method: str, headers: RawHeaders) -> RequestProblem | None:
        """Return why no target can run a request and respond to it, or None if one can."""

    @abstractmethod
    def filter_request_headers(self, headers: RawHeaders) -> RawHeaders:
        """Return the headers of a caller's request that are forwarded to a target.

        Those that concern only the caller's connection are left out, and so are those that
        ``write_headers`` adds.
        """

    @abstractmethod
    def replace_credentials(self, headers: RawHeaders, account: str) -> RawHeaders:
        """Return headers without the caller's credentials, and with the name of its account.

        ``account`` is empty for a request that belongs to no account.
        """

    @abstractmethod
    def write_headers(
        self, headers: RawHeaders, target: TargetEntry, remaining_seconds: float, size: int | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request to a target, which has ``remaining_seconds`` to respond.

        ``headers`` are those that ``filter_request_headers`` returned.
        ``size`` is the length of the body in bytes, or None for a request without a body.
        """

    @abstractmethod
    def classify(self, response: TargetAnswer) -> AttemptOutcome:
        """Return the outcome of the attempt that got this response.

        Any outcome but ``ANSWERED`` needs proof that the target did not run the request.
        """

    @abstractmethod
    def read_limit(self, response: TargetAnswer) -> LimitStatement | None:
        """Return what a response says about its target's limit, or None if it says nothing.

        Raises
        ------
        ValueError
            If the limit is malformed.
        """

    @abstractmethod
    def read_departure(self, response: TargetAnswer, identity: str) -> bool:
        """Return whether a response says that the target ``identity`` leaves.

        Raises
        ------
        ValueError
            If the statement is malformed or made by another target.
        """

    @abstractmethod
    def read_pause(self, response: TargetAnswer) -> PauseStatement | None:
        """Return the pause that a response requests, or None if it requests none.

        Raises
        ------
        ValueError
            If the request is malformed.
        """

    @abstractmethod
    def filter_response_headers(self, headers: RawHeaders) -> list[tuple[bytes, bytes]]:
        """Return the headers of a target's response that are forwarded to the caller."""

    @abstractmethod
    def create_refusal(self, refuse: Refuse, request_id: bytes) -> web.Response:
        """Return the entry's own response to a request that it refuses."""

    @abstractmethod
    def create_error(self, status: int, reason: RefusalReason | str) -> web.Response:
        """Return the entry's own response to a request that it cannot forward."""


class EdgeQueries(ABC):
    """State of an entry that the platform can query."""

    @property
    @abstractmethod
    def is_ready(self) -> bool:
        """Whether the entry serves callers."""

    @abstractmethod
    def list_addresses(self, data_centre: str, region: str) -> tuple[str, ...]:
        """Return the addresses of the entries nearest to a caller."""


class HubCommands(ABC):
    """Commands that a hub accepts from targets and operators."""

    @abstractmethod
    async def submit(self, message: Message) -> Message | None:
        """Return the leader's reply to a command, or None if the time-out expired first."""

    @abstractmethod
    async def announce(self, target: TargetEntry) -> Message | None:
        """Return the reply to a target's announcement, or None if it was refused or timed out."""


class DiscoveryHandler(ABC):
    """Handles the platform's HTTP requests for readiness and entry addresses."""

    @abstractmethod
    def handle(self, request: web.BaseRequest, entry: EdgeQueries) -> web.Response:
        """Return the response to one request."""


class HubRequestHandler(ABC):
    """Handles HTTP requests of targets and operators to a hub."""

    @abstractmethod
    async def handle(self, request: web.BaseRequest, hub: HubCommands) -> web.Response:
        """Return the response to one request."""
