"""Callers that send requests, and an operator that changes the configuration document."""

import asyncio
import json
from random import Random

from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout

from ._history import History, SentRequest
from ._site import HOST, Site, create_document

DEADLINE_SECONDS = 2.0
MEAN_PAUSE_SECONDS = 0.15
# Share of the lookups that use the own route of one of the last acknowledged versions.
VERSION_SHARE = 0.5
VERSION_COUNT = 3
READ_INTERVAL_SECONDS = 0.7
# Number of reads between two changes, by lot. After many reads, the newest version is due at all.
READ_COUNTS = (1, 2, 2, 3, 6)
# A request without a response this time after its deadline counts as unanswered.
RESPONSE_GRACE_SECONDS = 3.0


def create_caller_session() -> ClientSession:
    """Return a session that sends each request once.

    aiohttp sends idempotent requests again, under the same id, on a connection that broke. Its
    only switch for this is the attribute that its own test client sets.
    """
    session = ClientSession()
    session._retry_connection = False
    return session


class Caller:
    """Sends one request at a time, each with its own request id.

    Parameters
    ----------
    number : int
        Part of the request ids.
    """

    def __init__(self, number: int, site: Site, history: History, random: Random):
        self.number = number
        self.site = site
        self.history = history
        self.random = random
        self._count = 0

    async def run(self) -> None:
        """Send requests over persistent connections until cancelled."""
        async with create_caller_session() as session:
            while True:
                await self.send(session)
                await asyncio.sleep(self.random.uniform(0.0, 2 * MEAN_PAUSE_SECONDS))

    async def send(
        self, session: ClientSession, vm: str = "", version: int | None = None, key: str = ""
    ) -> SentRequest:
        """Send one request and record its outcome.

        With ``version`` it is a lookup by that version's own route, or with 0 by one that all
        versions have. With accounts, a key is drawn unless it is given, or steady for a given VM.
        """
        self._count += 1
        now = asyncio.get_running_loop().time()
        is_safe = version is not None or self.random.random() < 0.4
        if is_safe and version is None and self.random.random() < VERSION_SHARE:
            _, version = self.random.choice(self.history.acknowledged_versions[-VERSION_COUNT:])
        version = version or 0
        request_id = f"q{self.number}-{self._count}"
        body = b"" if is_safe else f"order {request_id}".encode()
        sent = SentRequest(
            request_id, is_safe, vm or self.random.choice(self.site.entries), now, body, version
        )
        self.history.sent[request_id] = sent
        method = session.get if is_safe else session.post
        path = f"v{version}" if version else "lists" if is_safe else "orders"
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
        }
        accounts = self.history.accounts
        if accounts is not None:
            steady_key = accounts.draws.steady_key if vm else ""
            sent.key, key_headers = accounts.draws.draw_headers(key or steady_key)
            headers |= key_headers
        url = f"http://{sent.entry}:{self.site.front_port}/{path}/1"
        timeout = ClientTimeout(DEADLINE_SECONDS + RESPONSE_GRACE_SECONDS)
        try:
            data = None if is_safe else body
            async with method(url, data=data, headers=headers, timeout=timeout) as response:
                content = await response.read()
                stamp = response.headers.get("Response-Stamp", "")
                self.history.record_response(_get_time(), sent, response.status, stamp, content)
                if accounts is not None:
                    accounts.check_response(_get_time(), sent, response.status)
                target = stamp.partition(".")[0]
                if "Server-Leaving" in response.headers:
                    self.history.record_departure(_get_time(), target, sent.entry)
                if "Server-Limit" in response.headers:
                    self.history.record_told(_get_time(), target, sent.entry)
        except TimeoutError:
            self._check_unanswered(sent)
        except ClientConnectorError:
            sent.status = 0
        except (ClientError, OSError):
            sent.status = 0
            self._check_broken_connection(sent)
        sent.ended_at = _get_time()
        return sent

    def _check_unanswered(self, sent: SentRequest) -> None:
        """Report an unanswered request unless its entry was disturbed."""
        sent.status = 0
        if self.history.is_undisturbed(sent.entry, sent.sent_at - RESPONSE_GRACE_SECONDS):
            self.history.report_violation(
                "timeout", f"{sent.request_id} received no response from {sent.entry}"
            )

    def _check_broken_connection(self, sent: SentRequest) -> None:
        """Report a broken connection of an executed request unless its entry was disturbed."""
        is_undisturbed = self.history.is_undisturbed(
            sent.entry, sent.sent_at - RESPONSE_GRACE_SECONDS
        )
        if is_undisturbed and self.history.executions.get(sent.request_id):
            self.history.report_violation(
                "lost", f"{sent.request_id} ran, but {sent.entry} broke its connection"
            )


class Operator:
    """Changes the configuration document, retries unanswered changes, and reads it back."""

    def __init__(self, site: Site, history: History, random: Random):
        self.site = site
        self.history = history
        self.random = random
        self.version = 0

    async def run(self) -> None:
        """Change the document and read it several times, in turn, until cancelled."""
        async with ClientSession() as session:
            while True:
                await self.put(session, self.version + self.random.randint(1, 4))
                for _ in range(self.random.choice(READ_COUNTS)):
                    await asyncio.sleep(READ_INTERVAL_SECONDS)
                    await self.read(session)

    async def put(self, session: ClientSession, version: int) -> None:
        """Send a document until it is acknowledged or rejected."""
        self.version = version
        tables = {}
        if self.history.accounts is not None:
            tables["tenants"] = self.history.accounts.draw_table(_get_time(), version)
        content = self.history.documents.setdefault(version, create_document(version, **tables))
        while True:
            status, _ = await self._call(session, "/v1/config/put", content)
            if status == 200:
                self.history.acknowledged_versions.append((_get_time(), version))
                return
            if 400 <= status < 500:
                self.history.report_violation(
                    "config", f"version {version} was refused with {status}"
                )
                return
            await asyncio.sleep(0.2)

    async def read(self, session: ClientSession, address: str = "") -> int:
        """Read the document at any control or a given one; return its version, or 0 without it."""
        sent_at = _get_time()
        status, content = await self._call(session, "/v1/config/get", address=address)
        if status != 200:
            return 0
        version = int(json.loads(content)["version"], 16)
        self.history.record_read(sent_at, version, content)
        return version

    async def _call(
        self, session, path: str, content: bytes | None = None, address: str = ""
    ) -> tuple[int, bytes]:
        address = address or self.random.choice(self.site.list_control_addresses())
        url = f"http://{address}{path}"
        method = session.get if content is None else session.post
        try:
            async with method(url, data=content, timeout=ClientTimeout(1.0)) as response:
                return response.status, await response.read()
        except (ClientError, OSError, TimeoutError):
            return 0, b""


def _get_time() -> float:
    return asyncio.get_running_loop().time()
