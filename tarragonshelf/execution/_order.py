"""State machine of a request that must run at most once."""

from ..base import Effect, Message
from ..ledger import (
    AbandonKey,
    Answer,
    ClaimId,
    ClaimKey,
    ClaimResult,
    ClaimState,
    OrderKey,
    SettleKey,
    SuspendKey,
)
from ..membership import TargetRecord
from ._messages import (
    AttemptEnded,
    AttemptResult,
    ClaimAnswered,
    Command,
    ExecutionOutcome,
    Respond,
    SettleAnswered,
    Started,
    SubmitClaim,
    SubmitSettle,
    Wait,
    WaitEnded,
)
from ._request import RequestMachine

CLAIM_TIMEOUT_SECONDS = 2.0
SETTLE_TIMEOUT_SECONDS = 2.0
PENDING_POLL_SECONDS = 0.1
REPORT_MARGIN_SECONDS = 10.0
RETRY_AFTER_SECONDS = 1.0


class OrderMachine(RequestMachine):
    """Claims the order's key, runs the order at one target and settles the claim.

    Notes
    -----
    An order is sent to a target only if its claim was granted in time. Another target is tried
    only with proof that the previous one did not run the order.
    """

    def __init__(self, request, context):
        super().__init__(request, context)
        self.key = OrderKey(request.account, request.route.name, request.key)
        self._claim: ClaimId | None = None
        self._claim_sent_at = 0.0
        self._answer: Answer | None = None

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Handle the start, a result of the ledger or an event of the current attempt."""
        if self.is_done:
            return []
        if isinstance(message, Started | WaitEnded):
            return self._submit_claim(now)
        if isinstance(message, ClaimAnswered):
            return self._handle_claim(now, message.result)
        if isinstance(message, SettleAnswered):
            return self._finish(message)
        return super().handle(now, message)

    def _submit_claim(self, now: float) -> list[Effect]:
        request = self.request
        if self.context.is_quarantined(now, request.digest):
            return [self._reject_quarantined()]
        remaining = request.deadline - now
        if remaining <= 0:
            reason = "the order is being run for another request that has not ended"
            return [self._reject(504, ExecutionOutcome.UNKNOWN, reason, RETRY_AFTER_SECONDS)]
        self._claim = self.context.create_claim_id()
        self._claim_sent_at = now
        command = ClaimKey(
            claim=self._claim,
            key=self.key,
            digest=request.digest,
            service=request.service.name,
            patience=remaining + SETTLE_TIMEOUT_SECONDS + REPORT_MARGIN_SECONDS,
            window=request.service.resend_window,
        )
        return [SubmitClaim(command, min(CLAIM_TIMEOUT_SECONDS, remaining))]

    def _handle_claim(self, now: float, result: ClaimResult | None) -> list[Effect]:
        is_late = now - self._claim_sent_at > CLAIM_TIMEOUT_SECONDS
        if result is None or (result.state == ClaimState.GRANTED and is_late):
            # The claim may still be granted later, so AbandonKey is submitted until the ledger
            # acknowledges it.
            reason = "the order could not be claimed in time"
            rejected = self._reject(503, ExecutionOutcome.NOT_RUN, reason, RETRY_AFTER_SECONDS)
            return [Command(AbandonKey(self._claim, self.key)), rejected]
        if result.state == ClaimState.GRANTED:
            return self._try_target(now)
        return [self._handle_denied_claim(now, result)]

    def _handle_denied_claim(self, now: float, result: ClaimResult) -> Effect:
        if result.state == ClaimState.SETTLED:
            self.is_done = True
            return Respond(result.answer, ExecutionOutcome.REPLAYED)
        if result.state == ClaimState.PENDING:
            remaining = max(0.0, self.request.deadline - now)
            return Wait(min(PENDING_POLL_SECONDS, remaining))
        if result.state == ClaimState.CONFLICT:
            reason = f"key {self.key.key!r} was used for another request"
            return self._reject(422, ExecutionOutcome.NOT_RUN, reason)
        if result.state == ClaimState.UNRESOLVED:
            reason = "an earlier run of this order has no known outcome; an operator settles it"
            return self._reject(409, ExecutionOutcome.UNKNOWN, reason)
        reason = "the claim was given back"
        return self._reject(503, ExecutionOutcome.NOT_RUN, reason, RETRY_AFTER_SECONDS)

    def _try_target(self, now: float) -> list[Effect]:
        attempt = self._start_attempt(now)
        if attempt is not None:
            return [attempt]
        return [Command(AbandonKey(self._claim, self.key)), self._reject_without_target()]

    def _handle_slow(self, now: float) -> list[Effect]:
        return []

    def _handle_end(self, now: float, target: TargetRecord, ended: AttemptEnded) -> list[Effect]:
        if ended.kind == AttemptResult.ANSWERED:
            self._answer = ended.answer
            return [
                SubmitSettle(self._create_settle_command(ended.answer), SETTLE_TIMEOUT_SECONDS)
            ]
        if ended.kind in (AttemptResult.NOT_SENT, AttemptResult.REFUSED):
            if self._spend_retry(ended):
                return self._try_target(now)
            return [Command(AbandonKey(self._claim, self.key)), self._reject_without_target()]
        reason = f"target {target.address} gave no whole answer ({ended.kind})"
        status = 504 if ended.kind == AttemptResult.TIMED_OUT else 502
        suspend = SuspendKey(self._claim, self.key, reason, target.address)
        return [Command(suspend), self._reject(status, ExecutionOutcome.UNKNOWN, reason)]

    def _create_settle_command(self, answer: Answer) -> SettleKey:
        request = self.request
        return SettleKey(
            claim=self._claim,
            key=self.key,
            answer=answer,
            digest=request.digest,
            service=request.service.name,
            window=request.service.resend_window,
        )

    def _finish(self, settled: SettleAnswered) -> list[Effect]:
        self.is_done = True
        effects: list[Effect] = [Respond(self._answer, ExecutionOutcome.RAN)]
        if not settled.is_kept:
            effects.insert(0, Command(self._create_settle_command(self._answer)))
        return effects
