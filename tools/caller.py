"""A caller as the brief describes it, and a bounded load of them."""

import asyncio
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field

from aiohttp import ClientError, ClientSession, ClientTimeout

TIMEOUT_SECONDS = 15.0


@dataclass(frozen=True)
class Seen:
    """What a caller got: ``outcome`` is the header's, ``broken`` if no whole answer came."""

    status: int
    outcome: str
    body: bytes
    seconds: float
    broken: str = ""


class Caller:
    """Asks for entry addresses, keeps them for their time, and connects there itself."""

    def __init__(self, session: ClientSession, name: str, data_centre: str, entry: str):
        self.session = session
        self.name = name
        self.data_centre = data_centre
        self.entry = entry
        self._addresses: list[str] = []
        self._until = 0.0
        self._turn = 0

    async def find_address(self) -> str:
        """Return the address to use now."""
        if time.monotonic() >= self._until:
            await self._ask()
        self._turn += 1
        return self._addresses[self._turn % len(self._addresses)]

    async def request(self, method: str, path: str, *, key: str = "", address: str = "") -> Seen:
        """Send one request and return what came back."""
        address = address or await self.find_address()
        headers = {"Tarragonshelf-Account": self.name}
        if key:
            headers["Idempotency-Key"] = key
        started = time.monotonic()
        body = f'{{"path": "{path}"}}'.encode() if method == "POST" else None
        try:
            async with self.session.request(
                method, f"http://{address}{path}", headers=headers, data=body
            ) as response:
                content = await response.read()
                outcome = response.headers.get("Tarragonshelf-Outcome", "")
                seconds = time.monotonic() - started
                return Seen(response.status, outcome, content, seconds)
        except (ClientError, OSError, TimeoutError) as error:
            return Seen(0, "", b"", time.monotonic() - started, f"{address}: {error!r}")

    async def _ask(self) -> None:
        query = {"caller": self.name, "data_centre": self.data_centre}
        for entry in [*self._addresses, self.entry]:
            try:
                async with self.session.get(f"http://{entry}/entries", params=query) as response:
                    answer = await response.json()
            except (ClientError, OSError, TimeoutError):
                continue
            self._addresses = answer["addresses"]
            self._until = time.monotonic() + answer["ttl"]
            return
        raise RuntimeError(f"caller {self.name!r} reaches no entry")


@dataclass
class Load:
    """A steady load of lookups and orders for as long as it runs."""

    callers: list[Caller]
    path: str
    pause: float = 0.02
    seen: list[Seen] = field(default_factory=list)
    orders: dict[str, Seen] = field(default_factory=dict)
    lookups: list[tuple[str, Seen]] = field(default_factory=list)
    _is_on: bool = True

    async def run(self) -> None:
        """Send requests until ``stop``."""
        await asyncio.gather(*(self._drive(caller) for caller in self.callers))

    def stop(self) -> None:
        """End the load after the requests that are under way."""
        self._is_on = False

    def count(self) -> Counter:
        """Return how many answers there were of each status and outcome."""
        return Counter((item.status, item.outcome) for item in self.seen)

    def list_broken(self) -> list[str]:
        """Return what callers saw of requests that got no whole answer."""
        return [item.broken for item in self.seen if item.broken]

    async def _drive(self, caller: Caller) -> None:
        number = 0
        while self._is_on:
            number += 1
            if number % 5:
                path = f"{self.path}/{caller.name}/{number}"
                seen = await caller.request("GET", path)
                self.lookups.append((path, seen))
            else:
                key = uuid.uuid4().hex
                seen = await caller.request("POST", self.path, key=key)
                self.orders[key] = seen
            self.seen.append(seen)
            await asyncio.sleep(self.pause)


def create_session() -> ClientSession:
    """Return a session for callers."""
    return ClientSession(timeout=ClientTimeout(total=TIMEOUT_SECONDS))
