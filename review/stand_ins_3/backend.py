"""A backend of the users' platform: announces itself, and answers as the pages say."""

import asyncio
import json
import secrets
import time

from .http import call_json

HEARTBEAT_SECONDS = 1.5


class Arrival:
    """A request as a backend received it."""

    def __init__(self, backend, method, path, headers, at):
        self.backend, self.method, self.path, self.headers = backend, method, path, headers
        self.at = at
        self.body = b""
        self.has_run = False

    @property
    def request_id(self):
        """The id that the client gave."""
        return self.headers.get("request-id", "")


class Backend:
    """One lifetime of a backend.

    ``behave`` is an async function of (backend, arrival, reader, writer) that answers a request
    whose head was read; it returns whether the connection is kept.
    """

    def __init__(self, service, zone, *, journal, behave=None, slots=3, identity="", born=None):
        self.identity = identity or f"i-{secrets.token_hex(4)}"
        self.service, self.zone, self.slots = service, zone, slots
        self.journal = journal
        self.behave = behave or answer_ok
        self.born = born or int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.address = None
        self.server = None
        self.task = None
        self.call_addresses = []
        self.work_seconds = 0.05
        self.writers = set()
        # Addresses of machines that are partitioned from this backend.
        self.cut_off = set()

    async def start(self, host, port, call_addresses):
        """Listen and begin to announce."""
        self.server = await asyncio.start_server(self._serve, host, port)
        self.address = self.server.sockets[0].getsockname()
        self.call_addresses = list(call_addresses)
        self.task = asyncio.create_task(self._announce_forever())

    async def announce(self):
        """Announce the present state at the first control that accepts it."""
        self.sequence += 1
        body = {
            "address": f"{self.address[0]}:{self.address[1]}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "seq": self.sequence, "warmup_left": "0ms"},
        }
        for address in self.call_addresses:
            path = f"/v1/instances/{self.identity}/heartbeat"
            answer = await call_json(address, path, body)
            if answer.status == 200:
                named = json.loads(answer.body).get("beat_addr")
                if named:
                    host, _, port = named.rpartition(":")
                    first = (host, int(port))
                    rest = [item for item in self.call_addresses if item != first]
                    self.call_addresses = [first, *rest]
                return True
        return False

    async def _announce_forever(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def stop(self):
        """End: stop announcing, and close the port and all connections."""
        if self.task is not None:
            self.task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def cut(self, machine):
        """Partition a machine: reset its connections and refuse new ones."""
        self.cut_off.add(machine)
        for writer in list(self.writers):
            if _get_source(writer) == machine:
                writer.transport.abort()

    async def _serve(self, reader, writer):
        if _get_source(writer) in self.cut_off:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.strip().lower()] = value.strip()
                arrival = Arrival(self, method, path, headers, time.monotonic())
                self.journal.record_arrival(arrival)
                if not await self.behave(self, arrival, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def _get_source(writer):
    """Return the address of the other end of a connection."""
    return (writer.get_extra_info("peername") or [""])[0]


async def read_body(arrival, reader):
    """Read the body that the head of a request declares."""
    if arrival.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            arrival.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        size = int(arrival.headers.get("content-length", "0"))
        arrival.body = await reader.readexactly(size)
    return arrival.body


def encode_answer(status, headers, body=b"", *, has_length=True):
    """Return a response as bytes."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    if has_length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def create_headers(backend, arrival):
    """Return the headers of an answer to a request that was run."""
    stamp = f"{backend.identity}.{arrival.request_id}.{secrets.token_hex(4)}"
    return {"Request-Id": arrival.request_id, "Response-Stamp": stamp}


async def refuse_foreign(backend, arrival, writer):
    """Answer 421 to a request for another backend; return whether it was one."""
    expected = arrival.headers.get("expect-instance", backend.identity)
    if expected == backend.identity:
        return False
    headers = {"Request-Id": arrival.request_id, "Not-Executed": "1"}
    writer.write(encode_answer(421, headers))
    await writer.drain()
    return True


async def answer_ok(backend, arrival, reader, writer):
    """Run a request and answer it; most backends drop it when its connection closes."""
    await read_body(arrival, reader)
    if await refuse_foreign(backend, arrival, writer):
        return True
    backend.journal.record_run(arrival)
    await asyncio.sleep(backend.work_seconds)
    body = f"{arrival.request_id} {backend.identity}".encode()
    writer.write(encode_answer(200, create_headers(backend, arrival), body))
    await writer.drain()
    return True
