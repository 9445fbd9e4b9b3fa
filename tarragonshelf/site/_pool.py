"""Pool of keep-alive connections to targets."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..base import Message
from ..exchange import IdleConnections, ResponseResources, TargetConnection
from ..registry import TargetEntry
from ..relaying import PathDoubted, TargetChecked, TargetConnected
from ._interfaces import HttpDialect

# Connecting to a target in another region takes up to 40 ms. The kernel retransmits a lost SYN
# only after 1 s; connecting to another target is faster than to wait for that.
CONNECT_TIMEOUT_SECONDS = 0.35
# Connecting takes one round trip, 40 ms between regions. The path to a target is in doubt if it
# takes twice as long and some more.
SLOW_CONNECT_SECONDS = 0.1
CHECK_TIMEOUT_SECONDS = 0.25
# A connection that a middlebox accepts and resets at once leads nowhere. The reset follows within
# a few milliseconds, whatever the distance of the target.
CONFIRMATION_SECONDS = 0.02
# A request that is not repeatable reuses a connection only after a short idle time: a target that
# closes an idle connection just as the request arrives leaves it unknown whether it ran.
UNREPEATABLE_IDLE_SECONDS = 2.0
# A connection is reused for this share of the idle time-out that the target states, so that the
# entry closes it before the target does.
USABLE_IDLE_SHARE = 0.6
# Outcomes of opening a connection, in logs and metrics; others are named after the error.
ESTABLISHED = "established"
TIMED_OUT = "timeout"


@dataclass(slots=True)
class ConnectSummary:
    """Connections that were opened to targets in a span of time.

    Attributes
    ----------
    outcomes : Counter
        Number of connections by outcome: ``established``, ``timeout`` or the name of the error.
    tried, reached : set of str
        Targets to which a connection was opened, and to which one was established.
    """

    outcomes: Counter = field(default_factory=Counter)
    tried: set[str] = field(default_factory=set)
    reached: set[str] = field(default_factory=set)

    def record(self, target: str, outcome: str) -> None:
        """Record how opening a connection to a target ended."""
        self.outcomes[outcome] += 1
        self.tried.add(target)
        if outcome == ESTABLISHED:
            self.reached.add(target)

    @property
    def has_failures(self) -> bool:
        """Whether a connection was not established."""
        return self.outcomes.total() > self.outcomes[ESTABLISHED]


class ConnectionPool:
    """Reuses idle connections and opens new ones.

    Parameters
    ----------
    dialect : HttpDialect
        Interprets the responses on each connection.
    get_idle_limit : callable
        Returns how many idle connections are kept to a target.
    notify : callable, optional
        Receives ``TargetConnected`` and ``PathDoubted``.
    source : str, optional
        IP address from which connections are opened; by default the kernel chooses.
    resources : ResponseResources, optional
        Limits memory and processor time for unfinished responses.
    """

    def __init__(
        self,
        dialect: HttpDialect,
        get_idle_limit: Callable[[TargetEntry], int],
        notify: Callable[[Message], None] = lambda message: None,
        *,
        source: str = "",
        resources: ResponseResources | None = None,
    ):
        self.dialect = dialect
        self.get_idle_limit = get_idle_limit
        self.notify = notify
        self.source_address = (source, 0) if source else None
        self.resources = resources or ResponseResources()
        self.connect_counts: Counter = Counter()
        self._connect_summary = ConnectSummary()
        self._idle = IdleConnections(usable_share=USABLE_IDLE_SHARE)

    async def get(self, target: TargetEntry, *, is_repeatable: bool) -> TargetConnection:
        """Return an open connection to a target.

        Raises
        ------
        OSError
            If the connection is refused or breaks.
        TimeoutError
            If the target does not accept it within ``CONNECT_TIMEOUT_SECONDS``.
        """
        now = asyncio.get_running_loop().time()
        maximum_age = float("inf") if is_repeatable else UNREPEATABLE_IDLE_SECONDS
        idle = self._idle.take(_create_pool_key(target), now, maximum_age)
        if idle is not None:
            return idle
        loop = asyncio.get_running_loop()
        doubted = PathDoubted(target.identity)
        timer = loop.call_later(SLOW_CONNECT_SECONDS, self.notify, doubted)
        try:
            connection = await self._connect(target, CONNECT_TIMEOUT_SECONDS)
        finally:
            timer.cancel()
        loop.call_later(CONFIRMATION_SECONDS, self._confirm, target, connection)
        return connection

    def _confirm(self, target: TargetEntry, connection: TargetConnection) -> None:
        if connection.is_open:
            self.notify(TargetConnected(target.identity))

    def put(self, target: TargetEntry, connection: TargetConnection) -> None:
        """Return a connection to the pool after a response."""
        now = asyncio.get_running_loop().time()
        # The limit may have fallen since, as entries were added.
        self._idle.put(_create_pool_key(target), connection, now, self.get_idle_limit(target))

    def close_expired(self, now: float) -> None:
        """Close connections whose idle time-out has passed."""
        self._idle.close_expired(now)

    async def check(self, target: TargetEntry) -> TargetChecked:
        """Open a connection to a target, keep it for a later request, and return the result."""
        try:
            connection = await self._connect(target, CHECK_TIMEOUT_SECONDS)
        except OSError:
            return TargetChecked(target.identity, is_connected=False)
        await asyncio.sleep(CONFIRMATION_SECONDS)
        if not connection.is_open:
            return TargetChecked(target.identity, is_connected=False)
        connection.allow_reuse(self.dialect.get_idle_seconds(()))
        self.put(target, connection)
        return TargetChecked(target.identity, is_connected=True)

    def close_target(self, target: TargetEntry) -> None:
        """Close the idle connections to a target."""
        self._idle.close_target(_create_pool_key(target))

    def close(self) -> None:
        """Close all idle connections."""
        self._idle.close()

    def pop_connect_summary(self) -> ConnectSummary:
        """Return the connections that were opened since the previous call."""
        summary, self._connect_summary = self._connect_summary, ConnectSummary()
        return summary

    async def _connect(self, target: TargetEntry, timeout: float) -> TargetConnection:
        outcome = "cancelled"
        try:
            connection = await asyncio.wait_for(self._open(target), timeout)
            outcome = ESTABLISHED
        except TimeoutError:
            outcome = TIMED_OUT
            raise
        except OSError as error:
            outcome = type(error).__name__
            raise
        finally:
            self.connect_counts[outcome] += 1
            self._connect_summary.record(target.identity, outcome)
        return connection

    async def _open(self, target: TargetEntry) -> TargetConnection:
        host, _, port = target.address.rpartition(":")
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: TargetConnection(self.dialect, self.resources, target.identity),
                host,
                int(port),
                local_addr=self.source_address,
            )
        except (ValueError, OverflowError) as error:
            # A host or port that no socket takes.
            raise ConnectionError(f"cannot connect to {target.address!r}: {error}") from error
        return connection


def _create_pool_key(target: TargetEntry) -> str:
    return f"{target.identity} {target.address}"
