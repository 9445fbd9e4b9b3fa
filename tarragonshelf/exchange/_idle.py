"""Idle connections to targets that may be used again."""

from ._connection import TargetConnection


class IdleConnections:
    """Keeps open connections by target until their idle time-outs pass.

    Parameters
    ----------
    usable_share : float
        Share of a connection's idle time-out for which it is used again.
    """

    def __init__(self, *, usable_share: float = 1.0):
        self.usable_share = usable_share
        self._idle: dict[str, list[TargetConnection]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._idle.values()))

    def take(
        self, target: str, now: float, maximum_age: float = float("inf")
    ) -> TargetConnection | None:
        """Return an open connection that was idle for less than ``maximum_age``, or None."""
        idle = self._idle.get(target, [])
        while idle:
            connection = idle.pop()
            if not self._is_usable(connection, now):
                connection.close()
            elif now - connection.idle_since < maximum_age:
                return connection
            else:
                # All remaining connections have been idle for longer.
                idle.append(connection)
                return None
        return None

    def put(
        self, target: str, connection: TargetConnection, now: float, limit: float = float("inf")
    ) -> None:
        """Keep a connection after a response, and close the oldest ones above ``limit``."""
        if not connection.is_reusable or not connection.is_open:
            connection.close()
            return
        idle = self._idle.setdefault(target, [])
        connection.idle_since = now
        idle.append(connection)
        while len(idle) > limit:
            idle.pop(0).close()

    def close_expired(self, now: float) -> None:
        """Close connections whose idle time-out has passed."""
        for target, idle in list(self._idle.items()):
            kept = []
            for item in idle:
                if self._is_usable(item, now):
                    kept.append(item)
                else:
                    item.close()
            if kept:
                self._idle[target] = kept
            else:
                del self._idle[target]

    def close_target(self, target: str) -> None:
        """Close the connections to a target."""
        for connection in self._idle.pop(target, []):
            connection.close()

    def close(self) -> None:
        """Close all connections."""
        for target in list(self._idle):
            self.close_target(target)

    def _is_usable(self, connection: TargetConnection, now: float) -> bool:
        limit = connection.idle_seconds * self.usable_share
        return connection.is_open and now - connection.idle_since < limit
