"""HTTP headers between entries, callers and targets, and the platform's requests to an entry."""

from aiohttp import web

from ..forwarding import AttemptOutcome, RefusalReason, Refuse, TargetAnswer
from ..registry import TargetEntry
from ..site import (
    CallerFields,
    DiscoveryHandler,
    EdgeQueries,
    HttpDialect,
    RawHeaders,
    RequestProblem,
)
from ..throttling import LimitStatement, PauseStatement
from ._values import (
    MalformedError,
    compute_key_digest,
    format_seconds,
    read_decimal,
    read_delay,
)

REQUEST_ID_HEADER = b"request-id"
DEADLINE_HEADER = b"deadline-ms"
EXPECTED_TARGET_HEADER = b"Expect-Instance"
# Holds the key of a caller's tenant: the scheme, a space and the key.
AUTHORIZATION_HEADER = b"authorization"
KEY_SCHEME = b"token"
TENANT_HEADER = b"Tenant"
CREDENTIAL_HEADERS = frozenset({AUTHORIZATION_HEADER, TENANT_HEADER.lower()})
# Set by a target on each response that it created itself, as proof of origin.
STAMP_HEADER = b"response-stamp"
NOT_EXECUTED_HEADER = b"not-executed"
# Requests per second that the target accepts from all entries together, in each of its responses
# while the limit is in force.
LIMIT_HEADER = b"server-limit"
# Set to 1 by a target that leaves, in each of its responses.
LEAVING_HEADER = b"server-leaving"
INSTANCE_HEADER = b"instance-id"
# Seconds for which a target that turns a request away wants nothing from this VM.
PAUSE_HEADER = b"retry-after"
PAUSE_STATUS = 503
MISDIRECTED_STATUS = 421
# Statuses below 500 of a target that may run the request later: a time-out and its own limit.
BUSY_STATUSES = frozenset({408, 429})
# Used if no Keep-Alive header states a time-out. Targets close idle connections after some
# seconds.
DEFAULT_IDLE_SECONDS = 5.0
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
# Headers that the entry replaces by its own.
REPLACED_HEADERS = frozenset({DEADLINE_HEADER, b"content-length", b"expect-instance"})
# Headers that concern the target whatever the caller's Connection header says of them.
END_TO_END_HEADERS = frozenset({b"host", REQUEST_ID_HEADER, TENANT_HEADER.lower()})


class PlatformDialect(HttpDialect):
    """Reads and writes the platform's headers."""

    def read_caller_fields(self, headers: RawHeaders) -> CallerFields:
        """Return the fields that a caller set in the headers of its request."""
        remaining_seconds = None
        text = _get_header(headers, DEADLINE_HEADER)
        if text.isdigit():
            remaining_seconds = float(text) / 1000
        request_id = _get_header(headers, REQUEST_ID_HEADER)
        return CallerFields(request_id, remaining_seconds, _read_key_digest(headers))

    def find_request_problem(self, method: str, headers: RawHeaders) -> RequestProblem | None:
        """Return why no target can run a request and respond to it, or None if one can.

        A target refuses a request without an id, and copies only one of several to its response.
        The response to CONNECT would end HTTP on the connection to the target.
        """
        if method == "CONNECT":
            return RequestProblem(501, "no-tunnels")
        count = sum(1 for name, _ in headers if name.lower() == REQUEST_ID_HEADER)
        if count != 1 or not _get_header(headers, REQUEST_ID_HEADER):
            return RequestProblem(400, "no-id" if count < 2 else "several-ids")
        return None

    def filter_request_headers(self, headers: RawHeaders) -> RawHeaders:
        """Return the headers of a caller's request that are forwarded to a target.

        A Connection header removes only what the caller itself sent, and nothing that a request
        to a target needs. A body with an encoding cannot be told from a broken one, so a target is
        asked for none even if the caller accepts some.
        """
        options = _read_connection_options(headers) - END_TO_END_HEADERS
        dropped = HOP_BY_HOP_HEADERS | REPLACED_HEADERS | options
        return tuple(
            (name, b"identity" if name.lower() == b"accept-encoding" else value)
            for name, value in headers
            if name.lower() not in dropped
        )

    def replace_credentials(self, headers: RawHeaders, account: str) -> RawHeaders:
        """Return headers without the caller's credentials, and with the name of its account."""
        kept = [(name, value) for name, value in headers if name.lower() not in CREDENTIAL_HEADERS]
        if account:
            kept.append((TENANT_HEADER, account.encode()))
        return tuple(kept)

    def write_headers(
        self, headers: RawHeaders, target: TargetEntry, remaining_seconds: float, size: int | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request that a target has ``remaining_seconds`` to answer."""
        written = list(headers)
        written.append((b"Deadline-Ms", b"%d" % max(1, int(remaining_seconds * 1000))))
        written.append((EXPECTED_TARGET_HEADER, target.identity.encode()))
        if size is not None:
            written.append((b"Content-Length", b"%d" % size))
        return written

    def is_response_to(self, headers: RawHeaders, status: int, request_id: bytes) -> bool:
        """Return whether a response belongs to the request with this id.

        Targets copy the id to their responses; without one only a status of at least 300 counts.
        """
        response_id = _get_header(headers, REQUEST_ID_HEADER)
        return response_id == request_id or (not response_id and status >= 300)

    def names_request(self, headers: RawHeaders, request_id: bytes) -> bool:
        """Return whether a response names the request with this id."""
        return bool(request_id) and _get_header(headers, REQUEST_ID_HEADER) == request_id

    def find_problem(self, status: int, headers: RawHeaders) -> str:
        """Return why a response must not be forwarded to the caller, or an empty string."""
        if _get_header(headers, b"content-encoding"):
            return "the response has a Content-Encoding, which was not requested"
        if 200 <= status < 300 and not _get_header(headers, STAMP_HEADER):
            return "the response is a success without a Response-Stamp"
        return ""

    def classify(self, response: TargetAnswer) -> AttemptOutcome:
        """Return ``ANSWERED`` unless the response proves that the request was not run.

        Then it is ``REJECTED`` if the request itself is at fault, so that the target is not taken
        for a busy one.
        """
        if response.status == MISDIRECTED_STATUS:
            return AttemptOutcome.MISDIRECTED
        if _get_header(response.headers, NOT_EXECUTED_HEADER):
            is_at_fault = 400 <= response.status < 500 and response.status not in BUSY_STATUSES
            return AttemptOutcome.REJECTED if is_at_fault else AttemptOutcome.REFUSED
        return AttemptOutcome.ANSWERED

    def read_limit(self, response: TargetAnswer) -> LimitStatement | None:
        """Return what a response says about its target's limit.

        A response without a limit says that there is none only if the target ran the request
        without an error: refusals and errors need not repeat the limit, and a misdirected request
        was answered by another target.
        """
        outcome = self.classify(response)
        if outcome == AttemptOutcome.MISDIRECTED:
            return None
        text = _get_header(response.headers, LIMIT_HEADER).strip()
        if text:
            return LimitStatement(read_decimal(text, "Server-Limit"))
        if outcome == AttemptOutcome.ANSWERED and not response.is_error:
            return LimitStatement(None)
        return None

    def read_departure(self, response: TargetAnswer, identity: str) -> bool:
        """Return whether a response says that the target ``identity`` leaves.

        A misdirected request was answered by another target, whose departure does not count.
        """
        values = [
            value.strip() for name, value in response.headers if name.lower() == LEAVING_HEADER
        ]
        if not values:
            return False
        if values != [b"1"]:
            raise MalformedError(f"Server-Leaving is {values[:3]} and not 1")
        named = _get_header(response.headers, INSTANCE_HEADER).decode("latin-1").strip()
        if self.classify(response) == AttemptOutcome.MISDIRECTED or named not in ("", identity):
            raise MalformedError(
                f"Server-Leaving comes from {named or 'another target'} and not {identity}"
            )
        return True

    def read_pause(self, response: TargetAnswer) -> PauseStatement | None:
        """Return the pause that a target requests with a 503 response, or None.

        Another target at the address responds with 421 and requests none.
        """
        text = _get_header(response.headers, PAUSE_HEADER).strip()
        if response.status != PAUSE_STATUS or not text:
            return None
        return PauseStatement(read_delay(text, "Retry-After"))

    def get_idle_seconds(self, headers: RawHeaders) -> float:
        """Return for how many seconds a connection may stay idle after a response."""
        for part in _get_header(headers, b"keep-alive").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                return float(value)
        return DEFAULT_IDLE_SECONDS

    def filter_response_headers(self, headers: RawHeaders) -> list[tuple[bytes, bytes]]:
        """Return the headers of a target's response that are forwarded to the caller."""
        dropped = HOP_BY_HOP_HEADERS | _read_connection_options(headers) | {b"content-length"}
        return [(name, value) for name, value in headers if name.lower() not in dropped]

    def create_refusal(self, refuse: Refuse, request_id: bytes) -> web.Response:
        """Return the entry's own response to a request that it refuses.

        503 promises that no target ran the request, and so does 429, which is for requests beyond
        the allowance of their tenant; otherwise the status is 502 or 504.
        """
        headers = {"Request-Id": request_id.decode("latin-1")} if request_id else {}
        if refuse.has_run:
            status = 504 if refuse.reason == RefusalReason.DEADLINE else 502
        else:
            status = 429 if refuse.reason == RefusalReason.OVER_ALLOWANCE else 503
            headers["Retry-After"] = f"{refuse.retry_after:.2f}"
        return web.Response(status=status, headers=headers, text=str(refuse.reason))

    def create_error(self, status: int, reason: RefusalReason | str) -> web.Response:
        """Return the entry's own response to a request that it cannot forward."""
        return web.Response(status=status, text=str(reason))


class PlatformDiscoveryHandler(DiscoveryHandler):
    """Handles readiness checks and look-ups of entry addresses."""

    def __init__(self, address_lifetime_seconds: float):
        self.address_lifetime_seconds = address_lifetime_seconds

    def handle(self, request: web.BaseRequest, entry: EdgeQueries) -> web.Response:
        """Return the response to one request."""
        if request.path == "/v1/ready":
            return web.Response(status=200 if entry.is_ready else 503)
        if request.path != "/v1/resolve":
            return web.Response(status=404)
        query = request.rel_url.query
        addresses = entry.list_addresses(query.get("zone", ""), query.get("region", ""))
        if not addresses:
            return web.Response(status=503)
        ttl = format_seconds(self.address_lifetime_seconds)
        return web.json_response({"addresses": list(addresses), "ttl": ttl})


def _get_header(headers: RawHeaders, searched_name: bytes) -> bytes:
    """Return the value of a header, or empty bytes if it is missing."""
    for name, value in headers:
        if name.lower() == searched_name:
            return value
    return b""


def _read_key_digest(headers: RawHeaders) -> bytes:
    """Return the digest of the key in a request, or empty bytes if it does not name one key."""
    values = [value for name, value in headers if name.lower() == AUTHORIZATION_HEADER]
    if len(values) != 1:
        return b""
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    return compute_key_digest(key) if scheme.lower() == KEY_SCHEME and key else b""


def _read_connection_options(headers: RawHeaders) -> frozenset[bytes]:
    """Return the header names that the Connection headers declare as hop-by-hop."""
    return frozenset(
        option.strip()
        for name, value in headers
        if name.lower() == b"connection"
        for option in value.lower().split(b",")
    )
