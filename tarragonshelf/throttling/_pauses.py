"""Times for which targets asked this process to send them no requests."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

# Longest pause that one response can request. A target that asked for more gets one request after
# this time and can ask again.
MAXIMUM_PAUSE_SECONDS = 300.0
# Each process waits for a random further time, so that not all return to the target at once: up
# to this share of the pause within these bounds, doubled for each pause that followed the last.
SPREAD_SHARE = 0.25
MINIMUM_SPREAD_SECONDS = 0.25
MAXIMUM_SPREAD_SECONDS = 4.0
# Slow start after a pause that followed another one: time between the first two requests, doubled
# for each further pause, and halved with each request until it is below the minimum.
FIRST_INTERVAL_SECONDS = 0.2
MAXIMUM_INTERVAL_SECONDS = 3.2
MINIMUM_INTERVAL_SECONDS = 0.02
# A pause follows the last one if it is requested within this time after requests were allowed.
MEMORY_SECONDS = 10.0
# A malformed request for a pause is reported once per target within this time.
REPORT_SECONDS = 600.0


@dataclass(frozen=True, slots=True)
class Pause:
    """A pause that a target requested.

    Attributes
    ----------
    asked_seconds : float
        Time that the target asked for.
    seconds : float
        Time after which this process sends requests again.
    run : int
        Number of pauses that followed each other, including this one.
    """

    asked_seconds: float
    seconds: float
    run: int


@dataclass(slots=True)
class _State:
    """Pause of one target; times in seconds.

    The target wants no request before ``until``; this process sends none before ``resume_at``, and
    then the next one not before ``next_at``.
    """

    until: float
    resume_at: float
    run: int
    interval: float
    next_at: float = float("-inf")
    is_resumed: bool = False


class RequestedPauses:
    """The targets that want no requests from this process, and its return to them.

    Parameters
    ----------
    random : Random
        Spreads the return of several processes over time.

    Notes
    -----
    A pause concerns only the process that was asked for it. It ends with the incarnation of its
    target.
    """

    def __init__(self, random: Random):
        self.random = random
        self._states: dict[str, _State] = {}
        self._malformed_at: dict[str, float] = {}

    def record(self, now: float, target: str, seconds: float, *, sent_at: float) -> Pause | None:
        """Record that a target wants no requests, and return the pause if it is a new one.

        Parameters
        ----------
        now : float
            When the response was received.
        target : str
            The target that responded.
        seconds : float
            Time for which it wants no requests.
        sent_at : float
            When the request was sent. Responses to requests that were sent before the last pause
            ended can only prolong that pause.
        """
        if seconds <= 0.0:
            return None
        until = now + min(seconds, MAXIMUM_PAUSE_SECONDS)
        state = self._states.get(target)
        if state is not None and sent_at < state.resume_at:
            if until > state.until:
                state.resume_at = max(state.resume_at, until + state.resume_at - state.until)
                state.until, state.is_resumed = until, False
            return None
        run = 1 if state is None or now >= state.resume_at + MEMORY_SECONDS else state.run + 1
        is_cut = seconds > MAXIMUM_PAUSE_SECONDS
        resume_at = until + self._draw_spread(until - now, run)
        self._states[target] = _State(until, resume_at, run, _get_first_interval(run, is_cut))
        return Pause(seconds, resume_at - now, run)

    def record_malformed(self, now: float, target: str) -> bool:
        """Record a malformed request for a pause; return whether it is to be reported."""
        is_reported = now < self._malformed_at.get(target, float("-inf")) + REPORT_SECONDS
        if not is_reported:
            self._malformed_at[target] = now
        return not is_reported

    def record_attempt(self, now: float, target: str) -> None:
        """Record that a request is sent to a target."""
        state = self._states.get(target)
        if state is not None and state.interval >= MINIMUM_INTERVAL_SECONDS:
            state.next_at = now + state.interval
            state.interval /= 2

    def compute_wait(self, now: float, target: str) -> float:
        """Return in how many seconds the next request may be sent to a target."""
        state = self._states.get(target)
        return 0.0 if state is None else max(0.0, state.resume_at - now, state.next_at - now)

    def is_paused(self, now: float, target: str) -> bool:
        """Return whether no request may be sent to a target at the moment."""
        state = self._states.get(target)
        return state is not None and now < max(state.resume_at, state.next_at)

    def compute_retry_after(self, now: float, targets: Iterable[str]) -> float:
        """Return when a caller should return for which only paused targets are left.

        The result is 0 if a target is not paused, or there is none. The time after the first pause
        ends is random, so that the callers that were refused meanwhile do not all return at once.
        """
        wait = min((self.compute_wait(now, target) for target in targets), default=0.0)
        if wait <= 0.0:
            return 0.0
        return wait + self.random.uniform(0.0, max(MINIMUM_SPREAD_SECONDS, wait / 2))

    def list_paused(self, now: float) -> list[str]:
        """Return the targets that want no requests or get none yet."""
        return [target for target in self._states if self.is_paused(now, target)]

    def pop_resumed(self, now: float) -> list[str]:
        """Return the targets that may get requests again, each once, and remove old pauses."""
        resumed = []
        for target, state in list(self._states.items()):
            if now >= state.resume_at and not state.is_resumed:
                state.is_resumed = True
                resumed.append(target)
            if now >= state.resume_at + MEMORY_SECONDS:
                del self._states[target]
        for target, at in list(self._malformed_at.items()):
            if now >= at + REPORT_SECONDS:
                del self._malformed_at[target]
        return resumed

    def forget(self, target: str) -> bool:
        """Remove the pause of an ended incarnation; return whether it was still in force."""
        self._malformed_at.pop(target, None)
        state = self._states.pop(target, None)
        return state is not None and not state.is_resumed

    def _draw_spread(self, seconds: float, run: int) -> float:
        spread = max(MINIMUM_SPREAD_SECONDS, SPREAD_SHARE * seconds) * 2.0 ** min(run - 1, 10)
        return self.random.uniform(0.0, min(MAXIMUM_SPREAD_SECONDS, spread))


def _get_first_interval(run: int, is_cut: bool) -> float:
    """Return the time between the first two requests after a pause."""
    if is_cut:
        return MAXIMUM_INTERVAL_SECONDS
    if run == 1:
        return 0.0
    return min(MAXIMUM_INTERVAL_SECONDS, FIRST_INTERVAL_SECONDS * 2.0 ** min(run - 2, 10))
