"""A client that asks where to connect and sends requests."""

import asyncio
import json
import secrets
import time
from dataclasses import dataclass, field
from random import Random

from .http import read_message, write_message

CONNECT_SECONDS = 1.0
RESOLVE_SECONDS = 1.0
# A client that gets no answer gives up this long after its time limit.
GIVE_UP_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class Answer:
    """How one client attempt ended; ``status`` is 0 if there was no complete answer."""

    request_id: str
    address: str
    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    sent_at: float = 0.0
    seconds: float = 0.0
    problem: str = ""


async def send_request(
    address: str,
    method: str,
    path: str,
    *,
    host: str,
    body: bytes = b"",
    deadline_ms: int = 2000,
    request_id: str = "",
    give_up_seconds: float | None = None,
) -> Answer:
    """Send one request on a new connection that could be kept, and return how it ended."""
    request_id = request_id or secrets.token_hex(8)
    sent_at = time.monotonic()
    limit = deadline_ms / 1000 + GIVE_UP_SECONDS if give_up_seconds is None else give_up_seconds
    status, headers, received, problem, writer = 0, {}, b"", "", None
    try:
        name, _, port = address.rpartition(":")
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(name, int(port), limit=1 << 20), CONNECT_SECONDS
        )
        sent_at = time.monotonic()
        fields = {"Host": host, "Request-Id": request_id, "Deadline-Ms": str(deadline_ms)}
        async with asyncio.timeout(limit):
            writer.write(write_message(f"{method} {path} HTTP/1.1", fields, body))
            await writer.drain()
            message = await read_message(reader)
        if message is None:
            problem = "closed without an answer"
        else:
            status, headers = int(message.start.split()[1]), message.headers
            received = message.body
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError) as error:
        problem = repr(error)
    finally:
        if writer is not None:
            writer.close()
    seconds = time.monotonic() - sent_at
    return Answer(request_id, address, status, headers, received, sent_at, seconds, problem[:120])


class Client:
    """Asks the directory for addresses, keeps them for their time, and sends requests there."""

    def __init__(self, directories: list[str], host: str, zone: str, region: str, random: Random):
        self.directories = directories
        self.host = host
        self.zone = zone
        self.region = region
        self.random = random
        self._addresses: list[str] = []
        self._kept: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}
        self._valid_until = 0.0

    async def resolve(self) -> list[str]:
        """Return the addresses of the system's nodes."""
        if time.monotonic() < self._valid_until and self._addresses:
            return self._addresses
        path = f"/v1/resolve?name={self.host}&region={self.region}&zone={self.zone}"
        for directory in self.random.sample(self.directories, min(3, len(self.directories))):
            answer = await send_request(
                directory, "GET", path, host=directory, give_up_seconds=RESOLVE_SECONDS
            )
            if answer.status == 200 and b"addresses" in answer.body:
                found = json.loads(answer.body)
                self._addresses = found["addresses"]
                self._valid_until = time.monotonic() + _read_seconds(found["ttl"])
                break
        return self._addresses

    async def send(self, method: str, path: str, **options) -> Answer:
        """Send one request to one of the addresses, or to another if none can be connected to."""
        addresses = await self.resolve()
        answer = Answer("", "", 0, sent_at=time.monotonic(), problem="no address")
        for address in self.random.sample(addresses, len(addresses)):
            answer = await send_request(address, method, path, host=self.host, **options)
            if "refused" not in answer.problem.lower():
                break
        return answer

    def close(self) -> None:
        """Close the connections that are kept."""
        for _, writer in self._kept.values():
            writer.transport.abort()
        self._kept.clear()

    async def send_kept(
        self, address: str, method: str, path: str, *, body: bytes = b"", deadline_ms: int = 2000
    ) -> Answer:
        """Send one request on a connection to a node that is kept for further ones."""
        request_id = secrets.token_hex(8)
        sent_at = time.monotonic()
        status, headers, received, problem = 0, {}, b"", ""
        try:
            if address not in self._kept:
                name, _, port = address.rpartition(":")
                self._kept[address] = await asyncio.wait_for(
                    asyncio.open_connection(name, int(port), limit=1 << 20), CONNECT_SECONDS
                )
            reader, writer = self._kept[address]
            sent_at = time.monotonic()
            fields = {"Host": self.host, "Request-Id": request_id, "Deadline-Ms": str(deadline_ms)}
            async with asyncio.timeout(deadline_ms / 1000 + GIVE_UP_SECONDS):
                writer.write(write_message(f"{method} {path} HTTP/1.1", fields, body))
                await writer.drain()
                message = await read_message(reader)
            if message is None:
                problem = "closed without an answer"
            else:
                status, headers = int(message.start.split()[1]), message.headers
                received = message.body
        except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError) as error:
            problem = repr(error)
        if (problem or headers.get("connection", "") == "close") and address in self._kept:
            self._kept.pop(address)[1].close()
        seconds = time.monotonic() - sent_at
        return Answer(
            request_id, address, status, headers, received, sent_at, seconds, problem[:120]
        )


def _read_seconds(text: str) -> float:
    return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])
