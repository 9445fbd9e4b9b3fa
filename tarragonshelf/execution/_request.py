"""Base of the state machines of lookups and orders."""

from abc import abstractmethod

from ..base import Effect, Message, StateMachine
from ..health import Outcome
from ..membership import TargetRecord
from ._messages import (
    Attempt,
    AttemptEnded,
    AttemptResult,
    AttemptSlow,
    ExecutionOutcome,
    Reject,
    Request,
    RequestContext,
)

RETRY_AFTER_SECONDS = 1.0
MAXIMUM_ATTEMPTS = 4
RETRY_COST = 1.0
REFUSED_RETRY_COST = 0.25  # A refused attempt occupied no slot of a target.


class RequestMachine(StateMachine):
    """Common part of the state machines of a request.

    Parameters
    ----------
    request : Request
        The caller's request.
    context : RequestContext
        The entry that forwards the request.

    Notes
    -----
    At most one attempt is open at a time. Events of other attempts are ignored, so that a late
    answer to a cancelled attempt is never returned to the caller.
    """

    def __init__(self, request: Request, context: RequestContext):
        self.request = request
        self.context = context
        self.is_done = False
        self._attempt: Attempt | None = None
        self._attempts = 0
        self._tried: frozenset[str] = frozenset()
        self._started_at = 0.0

    @abstractmethod
    def _handle_slow(self, now: float) -> list[Effect]:
        """Return the effects after the current attempt passed its hang time-out."""

    @abstractmethod
    def _handle_end(self, now: float, target: TargetRecord, ended: AttemptEnded) -> list[Effect]:
        """Return the effects after the end of the current attempt."""

    def tick(self, now: float) -> list[Effect]:
        """Do nothing; all time limits of a request are part of its effects."""
        return []

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Handle an event of the current attempt."""
        attempt = self._attempt
        if self.is_done or attempt is None or message.number != attempt.number:
            return []
        if isinstance(message, AttemptSlow):
            self._record(now, attempt.target, Outcome.HUNG)
            return self._handle_slow(now)
        self._attempt = None
        self._record_end(now, attempt, message)
        return self._handle_end(now, attempt.target, message)

    def _start_attempt(self, now: float) -> Attempt | None:
        """Return an attempt at a target that was not tried, or None if there is none.

        None is also returned after the deadline and after ``MAXIMUM_ATTEMPTS`` attempts.
        """
        remaining = self.request.deadline - now
        if remaining <= 0 or self._attempts >= MAXIMUM_ATTEMPTS:
            return None
        choice = self.context.choose_target(now, self.request.service.name, self._tried)
        if choice is None:
            return None
        self._attempts += 1
        self._tried |= {choice.target.address}
        hang = self.context.compute_hang_timeout(self.request.service)
        self._started_at = now
        self._attempt = Attempt(
            self._attempts, choice.target, remaining, min(hang, remaining), choice.is_remote
        )
        return self._attempt

    def _spend_retry(self, ended: AttemptEnded) -> bool:
        is_refused = ended.kind == AttemptResult.REFUSED
        return self.context.spend_retry(REFUSED_RETRY_COST if is_refused else RETRY_COST)

    def _record_end(self, now: float, attempt: Attempt, ended: AttemptEnded) -> None:
        service = self.request.service.name
        if ended.kind == AttemptResult.ANSWERED:
            self.context.record_response_time(service, now - self._started_at)
            is_failure = ended.answer.status >= 500
            outcome = Outcome.FAILED if is_failure else Outcome.ANSWERED
        else:
            outcome = _OUTCOMES_BY_RESULT[ended.kind]
        if outcome is not None:
            self._record(now, attempt.target, outcome)
        if ended.kind == AttemptResult.BROKEN:
            self.context.record_crash(now, self.request.digest, attempt.target)

    def _record(self, now: float, target: TargetRecord, outcome: Outcome) -> None:
        self.context.record_outcome(now, self.request.service.name, target, outcome)

    def _reject(
        self, status: int, outcome: ExecutionOutcome, reason: str, retry_after: float | None = None
    ) -> Reject:
        self.is_done = True
        return Reject(status, outcome, reason, retry_after)

    def _reject_quarantined(self) -> Reject:
        reason = "this request is quarantined: targets crashed as they ran it"
        return self._reject(422, ExecutionOutcome.NOT_RUN, reason)

    def _reject_without_target(self) -> Reject:
        reason = f"no target of service {self.request.service.name!r} can take the request"
        return self._reject(503, ExecutionOutcome.NOT_RUN, reason, RETRY_AFTER_SECONDS)


_OUTCOMES_BY_RESULT: dict[AttemptResult, Outcome | None] = {
    AttemptResult.NOT_SENT: Outcome.FAILED,
    AttemptResult.REFUSED: Outcome.SHED,
    AttemptResult.BROKEN: Outcome.FAILED,
    AttemptResult.TIMED_OUT: Outcome.HUNG,
    AttemptResult.UNUSABLE: Outcome.ANSWERED,
    AttemptResult.ENDLESS: Outcome.FAILED,
    AttemptResult.GIVEN_UP: None,
}
