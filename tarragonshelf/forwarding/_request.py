"""The life of one request."""

from ..avoidance import EvidenceKind
from ..base import Effect, Message, StateMachine
from ..registry import TargetEntry
from ._attempts import OpenAttempt
from ._messages import (
    Attempt,
    AttemptEnded,
    AttemptOutcome,
    Cancel,
    ForwardingContext,
    ForwardRequest,
    RefusalReason,
    Refuse,
    RequestRetryGrant,
    RespondWith,
    RetryGrantAnswered,
    SetTimer,
    Started,
    TargetAnswer,
    TimerFired,
    UnansweredAttempt,
)

# Statuses from here on say that the target failed.
SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504
# Less time than this is no offer to a target: its answer would come too late.
MINIMUM_SECONDS = 0.02
# A request goes to at most so many targets that did not take it, which run nothing.
MAXIMUM_REFUSALS = 4

# A repeatable request goes to a second target after this share of the time it has left, so that
# the second one has time to answer; sooner if the first one was silent for too long.
HEDGE_SHARE = 0.45
# Where the budget of repeats was used up, it is asked for again after so long.
ASK_AGAIN_SECONDS = 0.5
# A timer that fires so late tells that the entry itself stood still: answers may have come since
# then, and wait to be read.
STALLED_SECONDS = 0.15

PROOF_OF_NOT_RUN = frozenset(
    {
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.UNHEARD,
        AttemptOutcome.REFUSED,
        AttemptOutcome.MISDIRECTED,
    }
)

NOT_CONNECTED = frozenset({AttemptOutcome.NOT_SENT, AttemptOutcome.UNHEARD})


class RequestMachine(StateMachine):
    """Decides which target gets a request, whether it is sent again, and how it ends.

    Parameters
    ----------
    request : ForwardRequest
        What the caller asks.
    context : ContextQueries
        The entry around it.

    Notes
    -----
    A request that is not repeatable is sent again only with proof that the target before did
    not run it. A repeatable one is sent again after any failure, within ``maximum_attempts`` and
    the retry budget; one that hangs is sent to a second target while the first may still answer.
    """

    def __init__(self, request: ForwardRequest, context: ForwardingContext):
        self.request = request
        self.context = context
        self.is_done = False
        self._open: dict[int, OpenAttempt] = {}
        self._tried: set[str] = set()
        self._number = 0
        self._refusals = 0
        self._runs = 0
        # How often a target was handed the request: the next time counts as a repeat.
        self._arrivals = 0
        self._may_have_run = False
        self._failure: tuple[TargetAnswer, str] | None = None
        self._hedge_at = 0.0
        # Until then nothing is concluded from silence: the entry itself stood still.
        self._deaf_until = 0.0
        self._is_asking = False

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Take the start, an attempt's end or the timer in."""
        if self.is_done:
            return []
        if isinstance(message, Started):
            return self._start(now)
        if isinstance(message, AttemptEnded):
            return self._end_attempt(now, message)
        if isinstance(message, TimerFired):
            return self._notice_time(now)
        if isinstance(message, RetryGrantAnswered):
            return self._take_grant(now, message)
        raise TypeError(f"a request does not take {type(message).__name__}")

    def tick(self, now: float) -> list[Effect]:
        """Let time pass; a request only acts on its timer."""
        return []

    def abandon(self, now: float) -> list[Effect]:
        """End because the caller has gone."""
        self.is_done = True
        return self._cancel_open(now)

    # Steps

    def _start(self, now: float) -> list[Effect]:
        if self.context.is_quarantined(now, self.request.digest):
            return self._refuse(now, RefusalReason.HELD_BACK)
        return self._try_next(now)

    def _try_next(self, now: float, *, is_granted: bool = False) -> list[Effect]:
        """Send the request to a next target, or end it."""
        if self._is_asking:
            # Asked for a second target when the first one failed: the answer serves for both.
            return []
        request = self.request
        if request.deadline - now < MINIMUM_SECONDS:
            return self._fail(now, RefusalReason.DEADLINE)
        if self._runs >= request.route.maximum_attempts or self._refusals >= MAXIMUM_REFUSALS:
            return self._fail(now, RefusalReason.NO_ATTEMPT_LEFT)
        chosen = self.context.choose_target(now, request, frozenset(self._tried))
        if isinstance(chosen, RefusalReason):
            return self._fail(now, chosen)
        if self._arrivals and not is_granted:
            answer = self.context.spend_retry(now, request.service)
            if answer is None:
                return self._ask()
            if not answer:
                return self._fail(now, RefusalReason.NO_BUDGET)
        return self._begin(now, chosen)

    def _ask(self) -> list[Effect]:
        self._is_asking = True
        return [RequestRetryGrant(self.request.service)]

    def _take_grant(self, now: float, answer: RetryGrantAnswered) -> list[Effect]:
        self._is_asking = False
        if self._open:
            effects = self._hedge(now, is_granted=True) if answer.is_granted else []
            if not effects:
                self._hedge_at = now + ASK_AGAIN_SECONDS
            return [*effects, self._set_timer()]
        if not answer.is_granted:
            return self._fail(now, RefusalReason.NO_BUDGET)
        return self._try_next(now, is_granted=True)

    def _begin(self, now: float, target: TargetEntry) -> list[Effect]:
        self._number += 1
        self._runs += 1
        self._arrivals += 1
        self._tried.add(target.identity)
        patience = self.context.estimate_latency_thresholds(now, self.request, target)
        is_trial = not self.context.is_trusted(now, target)
        self._open[self._number] = OpenAttempt(target, now, patience, is_trial)
        patient = HEDGE_SHARE * (self.request.deadline - now)
        self._hedge_at = now + min(patience.hedge, patient)
        self.context.record_attempt_start(now, self.request, target)
        attempt = Attempt(self._number, target, self.request.deadline, is_trial)
        return [attempt, self._set_timer()]

    def _get_next_time(self) -> float:
        times = [item.get_next_time() for item in self._open.values()]
        return min([*times, self._hedge_at, self.request.deadline])

    def _set_timer(self) -> SetTimer:
        return SetTimer(max(self._get_next_time(), self._deaf_until))

    def _end_attempt(self, now: float, ended: AttemptEnded) -> list[Effect]:
        attempt = self._open.pop(ended.number, None)
        if attempt is None:
            return []
        target = attempt.target
        self.context.record_attempt_end(now, target)
        if attempt.is_slow:
            is_answered = ended.answer is not None and ended.answer.status < SERVER_ERROR
            self.context.record_slow_outcome(is_answered=is_answered)
        if ended.outcome == AttemptOutcome.ANSWERED:
            return self._take_answer(now, attempt, ended)
        self._record_failure(now, target, ended.outcome)
        if ended.outcome in PROOF_OF_NOT_RUN:
            self._runs -= 1
            self._refusals += 1
            self._arrivals -= ended.outcome in NOT_CONNECTED
        else:
            self._may_have_run = True
        if self._open:
            return []
        if self._may_have_run and not self.request.route.is_repeatable:
            return self._fail(now, RefusalReason.MAY_HAVE_RUN)
        return self._try_next(now)

    def _take_answer(self, now: float, attempt: OpenAttempt, ended: AttemptEnded) -> list[Effect]:
        answer, target = ended.answer, attempt.target
        if answer.status < SERVER_ERROR:
            for kind in attempt.list_success_evidence():
                self.context.record_evidence(now, self.request, target, kind)
            size = len(answer.body) + self.request.size
            self.context.record_success(self.request, ended.seconds, size)
            return self._respond(now, answer, target.identity)
        self._record_error(now, attempt, ended)
        self._may_have_run = True
        self._failure = (answer, target.identity)
        if self._open:
            return []
        if not self.request.route.is_repeatable:
            return self._respond(now, answer, target.identity)
        return self._try_next(now)

    def _record_error(self, now: float, attempt: OpenAttempt, ended: AttemptEnded) -> None:
        """Take an error in as evidence, unless the target only kept to its deadline."""
        if ended.answer.status != GATEWAY_TIMEOUT:
            kind = EvidenceKind.ERROR
        elif ended.seconds >= attempt.patience.hung:
            kind = EvidenceKind.HUNG
        else:
            return
        if kind == EvidenceKind.ERROR or not attempt.is_hung:
            self.context.record_evidence(now, self.request, attempt.target, kind)

    def _record_failure(self, now: float, target: TargetEntry, outcome: AttemptOutcome) -> None:
        if outcome == AttemptOutcome.MISDIRECTED:
            self.context.record_misdirected(now, target)
            return
        kind = {
            AttemptOutcome.REFUSED: EvidenceKind.FULL,
            AttemptOutcome.NOT_SENT: EvidenceKind.UNREACHABLE,
            AttemptOutcome.UNHEARD: EvidenceKind.UNHEARD,
        }.get(outcome, EvidenceKind.BROKEN)
        self.context.record_evidence(now, self.request, target, kind)

    def _notice_time(self, now: float) -> list[Effect]:
        if now >= self.request.deadline:
            return self._miss_deadline(now)
        if now - max(self._get_next_time(), self._deaf_until) > STALLED_SECONDS:
            self._deaf_until = now + STALLED_SECONDS
            return [self._set_timer()]
        self._record_waiting(now)
        effects: list[Effect] = []
        if now >= self._hedge_at:
            self._hedge_at = self.request.deadline
            effects = self._hedge(now)
        return [*effects, self._set_timer()]

    def _record_waiting(self, now: float) -> None:
        """Tell what waiting says of targets, more of it the longer it lasts."""
        for attempt in self._open.values():
            while now >= attempt.get_next_time():
                kind = attempt.advance(is_predictive=self.context.is_slowness_predictive())
                if kind is not None:
                    self.context.record_evidence(now, self.request, attempt.target, kind)

    def _hedge(self, now: float, *, is_granted: bool = False) -> list[Effect]:
        """Send a repeatable request that takes long to a second target as well."""
        request = self.request
        if self._is_asking or not self._open:
            return []
        if not request.route.is_repeatable or self._runs >= request.route.maximum_attempts:
            return []
        chosen = self.context.choose_target(now, request, frozenset(self._tried))
        if isinstance(chosen, RefusalReason):
            return []
        answer = is_granted or self.context.spend_retry(now, request.service)
        if answer is None:
            return self._ask()
        # The timer of the first attempt goes on.
        return self._begin(now, chosen)[:1] if answer else []

    def _miss_deadline(self, now: float) -> list[Effect]:
        self._may_have_run = self._may_have_run or bool(self._open)
        for attempt in self._open.values():
            if attempt.is_slow:
                self.context.record_slow_outcome(is_answered=False)
        return self._fail(now, RefusalReason.DEADLINE)

    # Ends

    def _fail(self, now: float, reason: RefusalReason) -> list[Effect]:
        """End with what a target said last, or with an answer of the entry's own."""
        if self._failure is not None:
            return self._respond(now, *self._failure)
        return self._refuse(now, reason)

    def _respond(self, now: float, answer: TargetAnswer, target: str) -> list[Effect]:
        self.is_done = True
        return [*self._cancel_open(now), RespondWith(answer, target)]

    def _refuse(self, now: float, reason: RefusalReason) -> list[Effect]:
        self.is_done = True
        retry_after = self.context.compute_retry_after(now, self.request.service)
        waited_for = tuple(
            UnansweredAttempt(item.target, now - item.began_at, not item.is_trial)
            for item in self._open.values()
        )
        effects = self._cancel_open(now)
        return [*effects, Refuse(reason, self._may_have_run, retry_after, waited_for)]

    def _cancel_open(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for number, attempt in self._open.items():
            self.context.record_attempt_end(now, attempt.target)
            effects.append(Cancel(number))
        self._open = {}
        return effects
