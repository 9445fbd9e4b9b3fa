"""State machine of a request that may run more than once."""

from ..base import Effect, Message
from ..membership import TargetRecord
from ._messages import (
    AttemptEnded,
    AttemptResult,
    Cancel,
    ExecutionOutcome,
    Respond,
    Started,
)
from ._request import RETRY_COST, RequestMachine

_NOT_EXECUTED_RESULTS = (AttemptResult.NOT_SENT, AttemptResult.REFUSED)


class LookupMachine(RequestMachine):
    """Tries targets until one answers, within the deadline and the retry budget.

    A request without an idempotency key on a route that is not repeatable is retried only if the
    previous attempt provably did not run.
    """

    def __init__(self, request, context):
        super().__init__(request, context)
        self._may_have_run = False

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Handle the start or an event of the current attempt."""
        if not isinstance(message, Started):
            return super().handle(now, message)
        if self.context.is_quarantined(now, self.request.digest):
            return [self._reject_quarantined()]
        attempt = self._start_attempt(now)
        return [attempt or self._reject_without_target()]

    def _handle_slow(self, now: float) -> list[Effect]:
        slow = self._attempt
        if self.request.route.not_repeatable or not self.context.spend_retry(RETRY_COST):
            return []
        attempt = self._start_attempt(now)
        if attempt is None:
            self._attempt = slow
            return []
        self._may_have_run = True
        return [Cancel(slow.number), attempt]

    def _handle_end(self, now: float, target: TargetRecord, ended: AttemptEnded) -> list[Effect]:
        if ended.kind == AttemptResult.ANSWERED:
            self.is_done = True
            return [Respond(ended.answer, ExecutionOutcome.RAN)]
        if ended.kind not in _NOT_EXECUTED_RESULTS:
            self._may_have_run = True
        if self._may_retry(now, ended):
            attempt = self._start_attempt(now)
            if attempt is not None:
                return [attempt]
        if not self._may_have_run:
            return [self._reject_without_target()]
        status = 504 if ended.kind == AttemptResult.TIMED_OUT else 502
        reason = f"target {target.address} gave no whole answer"
        return [self._reject(status, ExecutionOutcome.UNKNOWN, reason)]

    def _may_retry(self, now: float, ended: AttemptEnded) -> bool:
        is_safe = ended.kind in _NOT_EXECUTED_RESULTS or not self.request.route.not_repeatable
        if not is_safe or ended.kind == AttemptResult.UNUSABLE:
            return False
        if self.context.is_quarantined(now, self.request.digest):
            return False
        return self._spend_retry(ended)
