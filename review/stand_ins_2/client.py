"""A client that sends one request on a new connection, or several on a kept one."""

import asyncio
import itertools
import time
from dataclasses import dataclass

from .site import HOST, Record, read_answer

_numbers = itertools.count(1)


@dataclass
class Answer:
    """What a client got; status 0 means that there was no complete answer."""

    request: str
    status: int
    headers: dict[str, str]
    body: bytes
    sent_at: float
    ended_at: float


class Connection:
    """One connection of a client to an entry."""

    def __init__(self, record: Record, address: str):
        self.record = record
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect to the entry."""
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()

    async def send(
        self,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        deadline_ms: int = 3000,
        margin: float = 2.0,
    ) -> Answer:
        """Send a request and wait for its answer until its time limit and a margin are over."""
        identity = f"q{next(_numbers):07x}"
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {identity}"]
        lines += [f"Deadline-Ms: {deadline_ms}", *(f"{name}: {value}" for name, value in headers)]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        sent_at = time.monotonic()
        self.record.add("sent", request=identity, entry=self.address, method=method, path=path)
        status, answered, content, problem = 0, {}, b"", ""
        try:
            async with asyncio.timeout(deadline_ms / 1000 + margin):
                if self.writer is None:
                    await self.open()
                self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                status, fields, content = await read_answer(self.reader)
                answered = dict(fields)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            problem = repr(error)
            self.close()
            self.writer = None
        if answered.get("connection", "").lower() == "close":
            self.close()
            self.writer = None
        self.record.add(
            "answered",
            request=identity,
            status=status,
            stamp=answered.get("response-stamp", ""),
            problem=problem,
            seconds=round(time.monotonic() - sent_at, 3),
        )
        return Answer(identity, status, answered, content, sent_at, time.monotonic())


async def send_once(record: Record, address: str, path: str, **options) -> Answer:
    """Send one request on a connection of its own."""
    connection = Connection(record, address)
    try:
        return await connection.send(path, **options)
    finally:
        connection.close()
