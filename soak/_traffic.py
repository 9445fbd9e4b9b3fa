"""Callers and an operator."""

import asyncio
import json
from random import Random

from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout

from ._record import Record, Sent
from ._site import HOST, Site, create_document

DEADLINE_SECONDS = 2.0
PAUSE_SECONDS = 0.15
CHANGE_SECONDS = 1.2
READ_SECONDS = 0.7
# A caller that gets nothing for so long after its deadline has been forgotten.
FORGOTTEN_SECONDS = 3.0


class Caller:
    """Sends one request after the other, each with an identity of its own.

    Parameters
    ----------
    number : int
        Part of the identities.
    """

    def __init__(self, number: int, site: Site, record: Record, random: Random):
        self.number = number
        self.site = site
        self.record = record
        self.random = random
        self._count = 0

    async def run(self) -> None:
        """Send requests until cancelled; connections stay open from one to the next."""
        async with ClientSession() as session:
            while True:
                await self.send(session)
                await asyncio.sleep(self.random.uniform(0.0, 2 * PAUSE_SECONDS))

    async def send(self, session: ClientSession, vm: str = "", path: str = "") -> Sent:
        """Send one request and note what came of it; with a path it is a lookup there."""
        self._count += 1
        now = asyncio.get_running_loop().time()
        is_safe = bool(path) or self.random.random() < 0.4
        identity = f"q{self.number}-{self._count}"
        body = b"" if is_safe else f"order {identity}".encode()
        sent = Sent(identity, is_safe, vm or self.random.choice(self.site.entries), now, body)
        self.record.sent[identity] = sent
        verb = session.get if is_safe else session.post
        path = path or ("lists" if is_safe else "orders")
        headers = {
            "Host": HOST,
            "Request-Id": identity,
            "Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
        }
        url = f"http://{sent.entry}:{self.site.front}/{path}/1"
        timeout = ClientTimeout(DEADLINE_SECONDS + FORGOTTEN_SECONDS)
        try:
            data = None if is_safe else body
            async with verb(url, data=data, headers=headers, timeout=timeout) as answer:
                content = await answer.read()
                stamp = answer.headers.get("Response-Stamp", "")
                self.record.note_answer(_read_time(), sent, answer.status, stamp, content)
        except TimeoutError:
            self._note_forgotten(sent)
        except ClientConnectorError:
            sent.status = 0
        except (ClientError, OSError):
            sent.status = 0
            self._note_cut(sent)
        sent.ended_at = _read_time()
        return sent

    def _note_forgotten(self, sent: Sent) -> None:
        """Check that the entry had a reason to leave a request without an answer."""
        sent.status = 0
        if self.record.is_calm(sent.entry, sent.sent_at - FORGOTTEN_SECONDS):
            self.record.report("timeout", f"{sent.identity} got no answer from {sent.entry}")

    def _note_cut(self, sent: Sent) -> None:
        """Check that a request that a target ran was not cut off without a reason."""
        is_calm = self.record.is_calm(sent.entry, sent.sent_at - FORGOTTEN_SECONDS)
        if is_calm and self.record.runs.get(sent.identity):
            self.record.report("lost", f"{sent.identity} was cut off by {sent.entry}")


class Operator:
    """Changes the document, reads it back, and sends what was not answered again."""

    def __init__(self, site: Site, record: Record, random: Random):
        self.site = site
        self.record = record
        self.random = random
        self.version = 0

    async def run(self) -> None:
        """Change and read in turn until cancelled."""
        async with ClientSession() as session:
            while True:
                await self.put(session, self.version + self.random.randint(1, 4))
                for _ in range(int(CHANGE_SECONDS / READ_SECONDS) + 1):
                    await asyncio.sleep(READ_SECONDS)
                    await self.read(session)

    async def put(self, session: ClientSession, version: int) -> None:
        """Send a document until it is acknowledged."""
        self.version = version
        content = self.record.documents.setdefault(version, create_document(version))
        while True:
            status, _ = await self._call(session, "/v1/config/put", content)
            if status == 200:
                self.record.acknowledged.append((_read_time(), version))
                return
            if 400 <= status < 500:
                self.record.report("config", f"version {version} was refused with {status}")
                return
            await asyncio.sleep(0.2)

    async def read(self, session: ClientSession) -> int:
        """Read the document and return its version, or 0."""
        sent_at = _read_time()
        status, content = await self._call(session, "/v1/config/get")
        if status != 200:
            return 0
        version = int(json.loads(content)["version"], 16)
        self.record.note_read(sent_at, version, content)
        return version

    async def _call(self, session, path: str, content: bytes | None = None) -> tuple[int, bytes]:
        url = f"http://{self.random.choice(self.site.list_calls())}{path}"
        verb = session.get if content is None else session.post
        try:
            async with verb(url, data=content, timeout=ClientTimeout(1.0)) as answer:
                return answer.status, await answer.read()
        except (ClientError, OSError, TimeoutError):
            return 0, b""


def _read_time() -> float:
    return asyncio.get_running_loop().time()
