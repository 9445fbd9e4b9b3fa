"""What the cases share: the record, the operator, and the result."""

import asyncio
import contextlib
import json
import os
import sys
import time
from pathlib import Path

from .backend import Backend
from .http import call
from .site import CannotRunError, Site

HOST = "hulo84.example"
COLUMNS = [
    "name",
    "host",
    "path_prefix",
    "kind",
    "timeout",
    "target_latency",
    "priority",
    "service",
    "max_attempts",
    "traffic_split",
]
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Journal:
    """What was sent, answered and run; written to the record of the case."""

    def __init__(self):
        self.started_at = time.monotonic()
        self.lines = []
        self.arrivals = []
        self.runs = []

    def note(self, text):
        """Add a line."""
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    def record_arrival(self, arrival):
        """Record a request that reached a backend."""
        self.arrivals.append(arrival)
        self.note(f"arrived {arrival.request_id} {arrival.path} at {arrival.backend.identity}")

    def record_run(self, arrival):
        """Record that a backend began to work on a request."""
        arrival.has_run = True
        self.runs.append(arrival)
        self.note(f"run {arrival.request_id} {arrival.path} at {arrival.backend.identity}")


def create_route(name, prefix, kind, service, *, timeout="4000ms", split=None, host=HOST):
    """Return the row of a route."""
    return [name, host, prefix, kind, timeout, "1000ms", 1, service, 2, split]


def create_document(version, routes, services):
    """Return a configuration."""
    rows = [[name, "/health", 390, "h1", False] for name in services]
    columns = ["name", "health_path", "max_conns", "protocol", "tls"]
    return json.dumps(
        {
            "version": f"{version:08x}",
            "routes": {"columns": COLUMNS, "rows": routes},
            "services": {"columns": columns, "rows": rows},
            "limits": LIMITS,
        }
    ).encode()


class Case:
    """A site with backends, an operator and a record."""

    def __init__(self, record, **options):
        self.record = Path(record)
        self.journal = Journal()
        self.site = Site(**options)
        self.backends = []

    async def start(self, document, backends):
        """Start all, and wait until the configuration is acknowledged and entries are ready.

        ``backends`` holds tuples of service, zone and options.
        """
        self.site.start()
        for number, (service, zone, options) in enumerate(backends):
            await self.add_backend(service, zone, number, **options)
        await self.put(document, seconds=30)
        for vm in self.site.entries:
            await self.wait(lambda vm=vm: self.is_ready(vm), 30, f"{vm} is not ready")
        await asyncio.sleep(4.0)

    async def add_backend(self, service, zone, number, **options):
        """Start one more backend."""
        backend = Backend(service, zone, journal=self.journal, **options)
        host = f"127.{self.site.network}.3.{number + 2}"
        await backend.start(host, 0, self.site.call_addresses())
        self.backends.append(backend)
        return backend

    async def put(self, document, *, seconds=10):
        """Send a configuration until it is acknowledged."""

        async def send():
            for address in self.site.call_addresses():
                answer = await call(address, "POST", "/v1/config/put", body=document, seconds=1.0)
                if answer.status == 200:
                    return True
                if 400 <= answer.status < 500:
                    raise CannotRunError(f"refused: {answer.status} {answer.body!r}")
            return False

        await self.wait(send, seconds, "the configuration is not acknowledged")
        self.journal.note(f"acknowledged {json.loads(document)['version']}")

    async def is_ready(self, vm):
        """Return whether an entry says that it is ready."""
        answer = await call((vm, self.site.ready_port), "GET", "/v1/ready")
        return answer.status == 200

    async def wait(self, check, seconds, problem):
        """Wait until an async check returns something true."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if result := await check():
                return result
            await asyncio.sleep(0.1)
        raise CannotRunError(problem)

    async def send(self, vm, method, path, request_id, *, body=None, seconds=5.0, deadline=4000):
        """Send a client's request on a new connection and return its answer."""
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(deadline)}
        address = (vm, self.site.front_port)
        self.journal.note(f"sent {request_id} {method} {path} to {vm}")
        answer = await call(address, method, path, headers=headers, body=body, seconds=seconds)
        self.journal.note(
            f"answered {request_id} {answer.status} {answer.body[:60]!r} {answer.problem}"
        )
        return answer

    async def stop(self):
        """End all and write the record."""
        for backend in self.backends:
            await backend.stop()
        self.site.stop()
        self.record.write_text("\n".join(self.journal.lines) + "\n")


def run_case(record, play, **options):
    """Play a case and write its record.

    The script exits with 1 if ``play`` returns violations, 0 if not, 2 if it cannot run.
    """

    async def run():
        case = Case(record, **options)
        try:
            async with asyncio.timeout(115):
                violations = await play(case)
            for text in violations:
                case.journal.note(f"VIOLATION {text}")
            return violations
        except Exception as error:
            case.journal.note(f"cannot run: {error!r}")
            raise
        finally:
            with contextlib.suppress(OSError):
                await case.stop()

    try:
        violations = asyncio.run(run())
    except Exception as error:
        print(f"cannot run: {error!r}")
        sys.exit(2)
    print("\n".join(violations) or "held")
    sys.exit(1 if violations else 0)
