"""A replica that is about to stop gives its seat back first, or learns that it is needed."""

from ..base import Effect
from ._messages import CallPeer, EmitEvent, PeerCallEnded, Refused, RefusedReason, Retire

# Interval between requests, and the longest time that a stop waits for its seat. The platform
# kills a process 6 s after it was asked to stop.
RETIRE_INTERVAL_SECONDS = 0.5
MAXIMUM_WAIT_SECONDS = 4.0
# An older build closes the connection on this request, which also carries its replication.
# A leader that was just lost does not answer either, but only until that is noticed.
MAXIMUM_UNANSWERED = 3


class SeatRelease:
    """Asks the leader to remove the own replica from the voters, until that is decided.

    A replica that ends while it holds a seat makes the others one failure poorer until it is
    back or found lost. If others are lost or joining at that moment, or there is no leader, the
    seat may be one of the last that live, so the process goes on for a while.

    Parameters
    ----------
    vm : str
        VM of the replica.
    now : float
        When the process was asked to stop, in seconds.
    """

    def __init__(self, vm: str, now: float):
        self.vm = vm
        self._started_at = now
        self._asked_at = float("-inf")
        self._unanswered = 0
        self._outcome = ""

    @property
    def is_finished(self) -> bool:
        """Whether the process may end."""
        return bool(self._outcome)

    def create_requests(
        self, now: float, *, leader: str, has_seat: bool, is_leader_trusted: bool = True
    ) -> list[Effect]:
        """Return the request that is due, or decide that there is none to make.

        Parameters
        ----------
        now : float
            The time in seconds.
        leader : str
            Address of another replica that leads, or an empty string without contact with one.
        has_seat : bool
            Whether the replica is a member, and others could go on without it.
        is_leader_trusted : bool
            Whether the leader's build knows which seats the site can spare.
        """
        if self._outcome:
            return []
        if not has_seat:
            return self._finish("none")
        if now - self._started_at >= MAXIMUM_WAIT_SECONDS:
            return self._finish("kept", "not decided in time")
        if not leader or now - self._asked_at < RETIRE_INTERVAL_SECONDS:
            return []
        if not is_leader_trusted:
            return self._finish("kept", "the leader's build does not keep the fault tolerance")
        self._asked_at = now
        return [CallPeer(leader, Retire(self.vm))]

    def handle_result(self, ended: PeerCallEnded) -> list[Effect]:
        """Record the leader's reply; without a decision the request is repeated."""
        if self._outcome:
            return []
        if ended.reply is None:
            self._unanswered += 1
            if self._unanswered >= MAXIMUM_UNANSWERED:
                return self._finish("kept", ended.problem)
            return []
        if not isinstance(ended.reply, Refused):
            return self._finish("released")
        if ended.reply.reason in (RefusedReason.INVALID, RefusedReason.UNKNOWN_NAME):
            return self._finish("kept", ended.reply.detail)
        return []

    def _finish(self, outcome: str, reason: str = "") -> list[Effect]:
        self._outcome = outcome
        return [EmitEvent("seat_decided", {"outcome": outcome, "reason": reason})]
