"""How an entry speaks with callers, targets and the platform itself."""

from aiohttp import web

from ..forwarding import AttemptOutcome, RefusalReason, Refuse, TargetAnswer
from ..registry import TargetEntry
from ..site import CallerFields, EdgePort, EdgeQuestions, RawHeaders, TargetDialect
from ._values import write_seconds

IDENTITY = b"request-id"
PATIENCE = b"deadline-ms"
EXPECTED_TARGET = b"Expect-Instance"
# Stands on each answer of a target's own and proves that it is one.
STAMP = b"response-stamp"
PROOF_OF_NOT_RUN = b"not-executed"
MISDIRECTED_STATUS = 421
# Without the header that states it; targets close idle connections after some seconds.
DEFAULT_IDLE_SECONDS = 5.0
CONNECTION_HEADERS = frozenset(
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
REWRITTEN = CONNECTION_HEADERS | {PATIENCE, b"content-length", b"expect-instance"}


class EntryDialect(TargetDialect):
    """The platform's headers."""

    def read_caller_fields(self, headers: RawHeaders) -> CallerFields:
        """Return what the headers of a caller's request say."""
        patience = None
        text = _find(headers, PATIENCE)
        if text.isdigit():
            patience = int(text) / 1000
        return CallerFields(_find(headers, IDENTITY), patience)

    def write_headers(
        self, headers: RawHeaders, target: TargetEntry, patience: float, size: int | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers for a target, which may work for ``patience`` seconds."""
        dropped = REWRITTEN | _read_named(headers)
        written = [(name, value) for name, value in headers if name.lower() not in dropped]
        written.append((b"Deadline-Ms", b"%d" % max(1, int(patience * 1000))))
        written.append((EXPECTED_TARGET, target.identity.encode()))
        if size is not None:
            written.append((b"Content-Length", b"%d" % size))
        return written

    def belongs(self, headers: RawHeaders, status: int, identity: bytes) -> bool:
        """Tell whether an answer belongs to a request: targets repeat its name."""
        found = _find(headers, IDENTITY)
        return found == identity or (not found and status >= 300)

    def find_problem(self, status: int, headers: RawHeaders) -> str:
        """Return why an answer must not be passed on, or an empty text."""
        if _find(headers, b"content-encoding"):
            return "an encoding that nobody asked for"
        if 200 <= status < 300 and not _find(headers, STAMP):
            return "a success without the target's stamp"
        return ""

    def classify(self, answer: TargetAnswer) -> AttemptOutcome:
        """Tell an answer from a refusal that proves that the request did not run."""
        if answer.status == MISDIRECTED_STATUS:
            return AttemptOutcome.MISDIRECTED
        if _find(answer.headers, PROOF_OF_NOT_RUN):
            return AttemptOutcome.REFUSED
        return AttemptOutcome.ANSWERED

    def get_idle_seconds(self, headers: RawHeaders) -> float:
        """Return how long a connection may stay idle after an answer."""
        for part in _find(headers, b"keep-alive").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                return float(value)
        return DEFAULT_IDLE_SECONDS

    def filter_answer(self, headers: RawHeaders) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer that concern the caller."""
        dropped = CONNECTION_HEADERS | _read_named(headers) | {b"content-length"}
        return [(name, value) for name, value in headers if name.lower() not in dropped]

    def create_refusal(self, refuse: Refuse, identity: bytes) -> web.Response:
        """Return the answer of an entry's own: 503 only with proof that nothing ran."""
        headers = {"Request-Id": identity.decode("latin-1")} if identity else {}
        if refuse.has_run:
            status = 504 if refuse.reason == RefusalReason.DEADLINE else 502
        else:
            status = 503
            headers["Retry-After"] = f"{refuse.retry_after:.2f}"
        return web.Response(status=status, headers=headers, text=str(refuse.reason))

    def create_error(self, status: int, reason: RefusalReason | str) -> web.Response:
        """Return an answer that says why a request cannot be taken."""
        return web.Response(status=status, text=str(reason))


class EntryQuestions(EdgeQuestions):
    """Readiness, and where callers connect."""

    def __init__(self, address_lifetime_seconds: float):
        self.address_lifetime_seconds = address_lifetime_seconds

    def answer(self, request: web.BaseRequest, port: EdgePort) -> web.Response:
        """Return the answer to one question."""
        if request.path == "/v1/ready":
            return web.Response(status=200 if port.is_ready else 503)
        if request.path != "/v1/resolve":
            return web.Response(status=404)
        query = request.rel_url.query
        found = port.list_addresses(query.get("zone", ""), query.get("region", ""))
        if not found:
            return web.Response(status=503)
        ttl = write_seconds(self.address_lifetime_seconds)
        return web.json_response({"addresses": list(found), "ttl": ttl})


def _find(headers: RawHeaders, wanted: bytes) -> bytes:
    """Return the value of a header, or an empty one."""
    for name, value in headers:
        if name.lower() == wanted:
            return value
    return b""


def _read_named(headers: RawHeaders) -> frozenset[bytes]:
    """Return the headers that concern one connection only because it says so."""
    named = _find(headers, b"connection").lower().split(b",")
    return frozenset(name.strip() for name in named)
