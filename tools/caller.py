"""Simulated callers of entries, and a load generator that runs several of them."""

import asyncio
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field

from aiohttp import ClientError, ClientSession, ClientTimeout

REQUEST_TIMEOUT_SECONDS = 15.0


@dataclass(frozen=True)
class CallerResponse:
    """Response to one request as received by its caller.

    ``outcome`` is the value of the ``Tarragonshelf-Outcome`` header. ``error`` describes the
    failure if no complete response was received, ``status`` is 0 then.
    """

    status: int
    outcome: str
    body: bytes
    seconds: float
    error: str = ""


class Caller:
    """Fetches entry addresses, caches them for their lifetime and connects to them directly."""

    def __init__(self, session: ClientSession, name: str, data_centre: str, entry: str):
        self.session = session
        self.name = name
        self.data_centre = data_centre
        self.entry = entry
        self._addresses: list[str] = []
        self._expires_at = 0.0
        self._next_index = 0

    async def find_address(self) -> str:
        """Return the next address in turn, after refreshing expired addresses."""
        if time.monotonic() >= self._expires_at:
            await self._refresh_addresses()
        self._next_index += 1
        return self._addresses[self._next_index % len(self._addresses)]

    async def request(
        self, method: str, path: str, *, key: str = "", address: str = ""
    ) -> CallerResponse:
        """Send one request and return the response; ``address`` overrides the choice of entry."""
        address = address or await self.find_address()
        headers = {"Tarragonshelf-Account": self.name}
        if key:
            headers["Idempotency-Key"] = key
        started = time.monotonic()
        body = f'{{"path": "{path}"}}'.encode() if method == "POST" else None
        try:
            async with self.session.request(
                method, f"http://{address}{path}", headers=headers, data=body
            ) as raw_response:
                content = await raw_response.read()
                outcome = raw_response.headers.get("Tarragonshelf-Outcome", "")
                seconds = time.monotonic() - started
                return CallerResponse(raw_response.status, outcome, content, seconds)
        except (ClientError, OSError, TimeoutError) as error:
            return CallerResponse(0, "", b"", time.monotonic() - started, f"{address}: {error!r}")

    async def _refresh_addresses(self) -> None:
        query = {"caller": self.name, "data_centre": self.data_centre}
        for entry in [*self._addresses, self.entry]:
            try:
                async with self.session.get(
                    f"http://{entry}/entries", params=query
                ) as raw_response:
                    answer = await raw_response.json()
            except (ClientError, OSError, TimeoutError):
                continue
            self._addresses = answer["addresses"]
            self._expires_at = time.monotonic() + answer["ttl"]
            return
        raise RuntimeError(f"caller {self.name!r} found no reachable entry")


@dataclass
class LoadGenerator:
    """Generates a steady load of lookups and orders until it is stopped.

    Each caller sends one request after another with a ``pause`` in seconds between them; every
    fifth request is an order.
    """

    callers: list[Caller]
    path: str
    pause: float = 0.02
    responses: list[CallerResponse] = field(default_factory=list)
    orders: dict[str, CallerResponse] = field(default_factory=dict)
    lookups: list[tuple[str, CallerResponse]] = field(default_factory=list)
    _is_running: bool = True

    async def run(self) -> None:
        """Send requests until ``stop`` is called."""
        await asyncio.gather(*(self._run_caller(caller) for caller in self.callers))

    def stop(self) -> None:
        """Stop sending; ``run`` returns when the requests in progress are complete."""
        self._is_running = False

    def count(self) -> Counter:
        """Return the number of responses by status and outcome."""
        return Counter((item.status, item.outcome) for item in self.responses)

    def list_errors(self) -> list[str]:
        """Return the errors of requests without a complete response."""
        return [item.error for item in self.responses if item.error]

    async def _run_caller(self, caller: Caller) -> None:
        number = 0
        while self._is_running:
            number += 1
            if number % 5:
                path = f"{self.path}/{caller.name}/{number}"
                response = await caller.request("GET", path)
                self.lookups.append((path, response))
            else:
                key = uuid.uuid4().hex
                response = await caller.request("POST", self.path, key=key)
                self.orders[key] = response
            self.responses.append(response)
            await asyncio.sleep(self.pause)


def create_session() -> ClientSession:
    """Return an HTTP session for callers; the caller has to close it."""
    return ClientSession(timeout=ClientTimeout(total=REQUEST_TIMEOUT_SECONDS))
