"""State machine of one request: attempts, retries, hedging and the final response."""

from math import inf

from ..admission import Overload
from ..avoidance import EvidenceKind
from ..base import Effect, Message, StateMachine
from ..registry import TargetEntry
from ..relaying import RelayRecord
from ._attempts import OpenAttempt, OpenRelay
from ._hedging import HedgeDenial, HedgeOutcome, HedgeResult
from ._messages import (
    Attempt,
    AttemptEnded,
    AttemptKind,
    AttemptOutcome,
    AttemptUsage,
    Cancel,
    ForwardingContext,
    ForwardRequest,
    PermitDecided,
    PermitNeeded,
    RefusalReason,
    Refuse,
    RelayAttempt,
    RelayEnded,
    RelayOutcome,
    RequestPermit,
    RequestRetryGrant,
    RespondWith,
    RetryGrantAnswered,
    SetTimer,
    Started,
    TargetAnswer,
    TimerFired,
    UnansweredAttempt,
)

GATEWAY_TIMEOUT = 504
# Attempts with less time left than this are not started: the response would come too late.
MINIMUM_ATTEMPT_SECONDS = 0.02
# Attempts at targets that provably did not run the request do not count towards the route's
# maximum, but there are at most this many of them.
MAXIMUM_REFUSALS = 4
# The same for entries that do not take a request. Each costs one round trip, and while most
# entries have no path some of them may not know it yet.
MAXIMUM_DECLINES = 8

# A repeatable request is hedged with a second target after this share of the time left to its
# deadline, so that the second target has time to respond; earlier if the latency thresholds of
# the first target say so.
HEDGE_SHARE = 0.45
# Delay before hedging a request is tried again, after the hub denied the retry or no target was
# available.
GRANT_RETRY_SECONDS = 0.5
# Interval at which a request that waits asks whether the path of this entry is lost. The verdict
# takes a few round trips, or some tenths of a second if connections hang.
VERDICT_INTERVAL_SECONDS = 0.02
# A timer that fires this late shows that the entry itself was stalled, for example because its VM
# was paused: responses may have arrived meanwhile and not been read yet.
STALL_SECONDS = 0.15

NOT_EXECUTED_OUTCOMES = frozenset(
    {
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.UNHEARD,
        AttemptOutcome.NOT_STARTED,
        AttemptOutcome.WITHDRAWN,
        AttemptOutcome.REFUSED,
        AttemptOutcome.MISDIRECTED,
    }
)

NOT_DELIVERED_OUTCOMES = frozenset(
    {
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.UNHEARD,
        AttemptOutcome.NOT_STARTED,
        AttemptOutcome.WITHDRAWN,
    }
)
# Outcomes for which the entry or the target's own departure is the reason.
OWN_OUTCOMES = frozenset(
    {AttemptOutcome.NOT_STARTED, AttemptOutcome.WITHDRAWN, AttemptOutcome.GIVEN_UP}
)
# Outcomes of a relayed attempt after which a target may have run the request.
UNKNOWN_RELAY_OUTCOMES = frozenset({RelayOutcome.BROKEN, RelayOutcome.GIVEN_UP})
# Outcomes that a lost path of the entry explains, too.
NOT_CONNECTED_OUTCOMES = frozenset({AttemptOutcome.NOT_SENT, AttemptOutcome.UNHEARD})


class RequestMachine(StateMachine):
    """Decides which target gets a request, whether it is sent again, and how it ends.

    Parameters
    ----------
    request : ForwardRequest
        The caller's request.
    context : ForwardingContext
        The entry that forwards the request.

    Notes
    -----
    A request that is not repeatable is sent again only with proof that the previous target did
    not run it. A repeatable one is sent again after any failure, within ``maximum_attempts`` and
    the retry budget; one that hangs is hedged: it is sent to a second target while the first may
    still respond. A target that declares a limit gets a request only with a permit, and no hedged
    one. With ``context.hedging`` the first attempt is hedged earlier, within the operator's limit.
    """

    def __init__(self, request: ForwardRequest, context: ForwardingContext):
        self.request = request
        self.context = context
        self.is_done = False
        self._open: dict[int, OpenAttempt | OpenRelay] = {}
        self._tried: set[str] = set()
        self._number = 0
        self._refusals = 0
        self._declines = 0
        # Attempts except those that provably did not run the request.
        self._executions = 0
        # How often the request was delivered to a target; each further delivery is a retry.
        self._deliveries = 0
        self._may_have_run = False
        self._last_error: tuple[TargetAnswer, str, int] | None = None
        self._hedge_at = 0.0
        self._hedge_early_at = inf
        self._hedges: set[int] = set()
        self._hedge_denial: HedgeDenial | None = None
        # Whether the pending grant is for an early hedge.
        self._is_early_grant = False
        # After a stall of this entry, missing responses are no evidence before this time.
        self._ignore_silence_until = 0.0
        self._is_grant_pending = False
        # Whether the next attempt waits for the verdict on the path of this entry.
        self._is_waiting = False
        self._pending_permit: PermitNeeded | None = None
        # Targets with a limit that were not permitted.
        self._denied: set[str] = set()

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Handle the start, the end of an attempt, the timer, or a decision of the hub."""
        if self.is_done:
            return []
        if isinstance(message, Started):
            return self._start(now)
        if isinstance(message, AttemptEnded):
            return self._end_attempt(now, message)
        if isinstance(message, RelayEnded):
            return self._end_relay(now, message)
        if isinstance(message, TimerFired):
            return self._handle_timer(now)
        if isinstance(message, RetryGrantAnswered):
            return self._handle_grant(now, message)
        if isinstance(message, PermitDecided):
            return self._handle_permit(now, message)
        raise TypeError(f"request state machine cannot handle {type(message).__name__}")

    def tick(self, now: float) -> list[Effect]:
        """Do nothing; a request acts only on its timer."""
        return []

    def abandon(self, now: float) -> list[Effect]:
        """End the request because the caller disconnected."""
        self.is_done = True
        return self._cancel_open(now)

    # Transitions

    def _start(self, now: float) -> list[Effect]:
        if self.context.is_quarantined(now, self.request.digest):
            return self._refuse(now, RefusalReason.HELD_BACK)
        overload = self.context.find_overload(now, self.request)
        if overload is not None:
            return self._refuse(now, RefusalReason.OVERLOAD, overload=overload)
        return self._try_next(now)

    def _try_next(self, now: float, *, is_granted: bool = False) -> list[Effect]:
        """Send the request to the next target, or end it."""
        if self._pending_permit is not None:
            return []
        if self._is_grant_pending:
            # A grant was requested for a hedged request before the first attempt failed; the same
            # grant is used for the retry.
            return []
        request = self.request
        if request.deadline - now < MINIMUM_ATTEMPT_SECONDS:
            return self._fail(now, RefusalReason.DEADLINE)
        if (
            self._executions >= request.route.maximum_attempts
            or self._refusals >= MAXIMUM_REFUSALS
            or self._declines >= MAXIMUM_DECLINES
        ):
            return self._fail(now, RefusalReason.NO_ATTEMPT_LEFT)
        chosen = self.context.choose_target(now, request, frozenset(self._tried | self._denied))
        if isinstance(chosen, RefusalReason):
            return self._fail(now, chosen)
        if self._deliveries and not is_granted:
            granted = self.context.spend_retry(now, request.service)
            if granted is None:
                return self._request_grant()
            if not granted:
                return self._fail(now, RefusalReason.NO_BUDGET)
        if isinstance(chosen, PermitNeeded):
            self._pending_permit = chosen
            return [RequestPermit(chosen), SetTimer(request.deadline)]
        return self._start_any_attempt(now, chosen)

    def _handle_permit(self, now: float, decided: PermitDecided) -> list[Effect]:
        needed, self._pending_permit = self._pending_permit, None
        for target in needed.targets:
            if target.identity == decided.target:
                if not self.context.is_usable(target) or self.context.is_paused(now, target):
                    # It began to leave, or asked for a pause, while the permit was awaited.
                    return self._try_next(now, is_granted=True)
                return self._start_attempt(now, target)
        self._denied.update(target.identity for target in needed.targets)
        if needed.has_alternative:
            # A retry that was granted before is still unused.
            return self._try_next(now, is_granted=True)
        return self._fail(now, RefusalReason.LIMITED, retry_after=decided.retry_after)

    def _request_grant(self) -> list[Effect]:
        self._is_grant_pending = True
        return [RequestRetryGrant(self.request.service)]

    def _handle_grant(self, now: float, response: RetryGrantAnswered) -> list[Effect]:
        self._is_grant_pending = False
        is_early, self._is_early_grant = self._is_early_grant, False
        if self._open and is_early:
            # Without an early hedge the usual one follows at its own time.
            effects = self._hedge_early(now, is_granted=response.is_granted)
            return [*effects, self._set_timer()]
        if self._open:
            effects = self._hedge(now, is_granted=True) if response.is_granted else []
            if not effects:
                self._hedge_at = now + GRANT_RETRY_SECONDS
            return [*effects, self._set_timer()]
        if not response.is_granted:
            return self._fail(now, RefusalReason.NO_BUDGET)
        return self._try_next(now, is_granted=True)

    def _start_any_attempt(self, now: float, chosen: TargetEntry | RelayRecord) -> list[Effect]:
        if isinstance(chosen, RelayRecord):
            return self._start_relay(now, chosen)
        return self._start_attempt(now, chosen)

    def _start_relay(self, now: float, relay: RelayRecord) -> list[Effect]:
        """Send the request to another entry, with all attempts that are left."""
        request = self.request
        reserved = request.route.maximum_attempts - self._executions
        self._number += 1
        self._executions += reserved
        self._tried.add(relay.address)
        self._open[self._number] = OpenRelay(relay, reserved, now)
        self._hedge_at = request.deadline
        self.context.record_relay_start(now, relay)
        return [
            RelayAttempt(self._number, relay, request.deadline, reserved),
            self._set_timer(),
        ]

    def _end_relay(self, now: float, ended: RelayEnded) -> list[Effect]:
        opened = self._open.pop(ended.number, None)
        if opened is None:
            return []
        self.context.record_relay_end(now, opened.relay, ended.outcome)
        if ended.is_leaving:
            self.context.record_relayed_departure(now, ended.target, sent_at=opened.started_at)
        if ended.outcome in UNKNOWN_RELAY_OUTCOMES:
            # It is unknown what the relay has used, so all of it counts.
            self._deliveries += 1
            self._may_have_run = True
        else:
            self._executions += ended.usage.executions - opened.reserved_executions
            self._deliveries += ended.usage.deliveries
        if ended.outcome == RelayOutcome.RESPONDED:
            if not ended.answer.is_error:
                return self._respond(now, ended.answer, ended.target, ended.number)
            self._may_have_run = True
            self._last_error = (ended.answer, ended.target, ended.number)
        elif ended.outcome == RelayOutcome.REFUSED:
            self._may_have_run = self._may_have_run or ended.refusal.has_run
            self._declines += not ended.refusal.has_run
        elif ended.outcome not in UNKNOWN_RELAY_OUTCOMES:
            self._declines += 1
        if self._open:
            return []
        if self._is_final(ended):
            return self._fail(now, ended.refusal.reason, retry_after=ended.refusal.retry_after)
        if self._may_have_run and not self.request.route.is_repeatable:
            return self._fail(now, RefusalReason.MAY_HAVE_RUN)
        return self._try_next(now)

    def _is_final(self, ended: RelayEnded) -> bool:
        """Return whether a relay refused the request for a reason that holds everywhere."""
        if ended.outcome != RelayOutcome.REFUSED:
            return False
        if not self.request.route.is_repeatable:
            return self._may_have_run or ended.refusal.reason != RefusalReason.NO_PATH
        return ended.refusal.reason not in (RefusalReason.NO_PATH, RefusalReason.MAY_HAVE_RUN)

    def _start_attempt(self, now: float, target: TargetEntry) -> list[Effect]:
        kind = AttemptKind.RETRY if self._number else AttemptKind.FIRST
        if self._open:
            kind = AttemptKind.HEDGE
            self._hedges.add(self._number + 1)
        self._number += 1
        self._executions += 1
        self._deliveries += 1
        self._tried.add(target.identity)
        thresholds = self.context.estimate_latency_thresholds(now, self.request, target)
        is_trial = not self.context.is_trusted(now, target)
        self._open[self._number] = OpenAttempt(target, now, thresholds, is_trial)
        hedge_delay = HEDGE_SHARE * (self.request.deadline - now)
        self._hedge_at = now + min(thresholds.hedge, hedge_delay)
        self._hedge_early_at = inf
        if kind == AttemptKind.FIRST:
            self._plan_early_hedge(now)
        self.context.record_attempt_start(now, self.request, target, kind)
        attempt = Attempt(self._number, target, self.request.deadline, is_trial)
        return [attempt, self._set_timer()]

    def _get_next_event_time(self) -> float:
        times = [item.get_next_threshold_time() for item in self._open.values()]
        return min([*times, self._hedge_at, self._hedge_early_at, self.request.deadline])

    def _set_timer(self) -> SetTimer:
        return SetTimer(max(self._get_next_event_time(), self._ignore_silence_until))

    def _end_attempt(self, now: float, ended: AttemptEnded) -> list[Effect]:
        attempt = self._open.pop(ended.number, None)
        if attempt is None:
            return []
        target = attempt.target
        self.context.record_attempt_end(now, target)
        if attempt.is_slow:
            is_answered = ended.answer is not None and not ended.answer.is_error
            self.context.record_slow_outcome(is_answered=is_answered)
        if ended.limit is not None:
            self.context.record_limit(now, target, ended.limit, sent_at=attempt.started_at)
        if ended.is_leaving:
            self.context.record_departure(now, target)
        if ended.pause is not None:
            self.context.record_pause(now, target, ended.pause, sent_at=attempt.started_at)
        if ended.outcome == AttemptOutcome.ANSWERED:
            return self._handle_response(now, attempt, ended)
        if ended.outcome == AttemptOutcome.REJECTED:
            self._executions -= 1
            return self._respond(now, ended.answer, target.identity, ended.number)
        self._record_failure(now, target, ended.outcome)
        if ended.outcome in NOT_EXECUTED_OUTCOMES:
            self._executions -= 1
            self._refusals += ended.outcome != AttemptOutcome.WITHDRAWN
            self._deliveries -= ended.outcome in NOT_DELIVERED_OUTCOMES
        else:
            self._may_have_run = True
        if self._open:
            return []
        if self._may_have_run and not self.request.route.is_repeatable:
            return self._fail(now, RefusalReason.MAY_HAVE_RUN)
        is_unconnected = ended.outcome in NOT_CONNECTED_OUTCOMES
        if is_unconnected and self.context.is_path_in_doubt():
            return self._wait_for_verdict(now)
        return self._try_next(now)

    def _wait_for_verdict(self, now: float) -> list[Effect]:
        """Wait until it is known whether the path of this entry is lost or a target failed.

        Trying more targets meanwhile would use up the attempts at targets that cannot be reached.
        """
        self._is_waiting = True
        return [SetTimer(min(self.request.deadline, now + VERDICT_INTERVAL_SECONDS))]

    def _handle_response(
        self, now: float, attempt: OpenAttempt, ended: AttemptEnded
    ) -> list[Effect]:
        answer, target = ended.answer, attempt.target
        if not answer.is_error:
            for kind in attempt.list_success_evidence():
                self.context.record_evidence(now, self.request, target, kind)
            size = len(answer.body) + self.request.size
            self.context.record_success(self.request, ended.seconds, size)
            self._record_first_attempt(now, ended.number, attempt)
            return self._respond(now, answer, target.identity, ended.number)
        self._record_error(now, attempt, ended)
        self._may_have_run = True
        self._last_error = (answer, target.identity, ended.number)
        if self._open:
            return []
        if not self.request.route.is_repeatable:
            return self._respond(now, answer, target.identity, ended.number)
        return self._try_next(now)

    def _record_error(self, now: float, attempt: OpenAttempt, ended: AttemptEnded) -> None:
        """Record an error as evidence, unless it is a time-out within the latency thresholds.

        A target that gives up at a short deadline returns status 504, which is no sign of failure.
        """
        if ended.answer.status != GATEWAY_TIMEOUT:
            kind = EvidenceKind.ERROR
        elif ended.seconds >= attempt.thresholds.hung:
            kind = EvidenceKind.HUNG
        else:
            return
        if kind == EvidenceKind.ERROR or not attempt.is_hung:
            self.context.record_evidence(now, self.request, attempt.target, kind)

    def _record_failure(self, now: float, target: TargetEntry, outcome: AttemptOutcome) -> None:
        if outcome == AttemptOutcome.MISDIRECTED:
            self.context.record_misdirected(now, target)
            return
        if outcome in OWN_OUTCOMES:
            return
        kind = {
            AttemptOutcome.REFUSED: EvidenceKind.FULL,
            AttemptOutcome.NOT_SENT: EvidenceKind.UNREACHABLE,
            AttemptOutcome.UNHEARD: EvidenceKind.UNHEARD,
        }.get(outcome, EvidenceKind.BROKEN)
        self.context.record_evidence(now, self.request, target, kind)

    def _handle_timer(self, now: float) -> list[Effect]:
        if now >= self.request.deadline:
            return self._handle_deadline(now)
        if self._is_waiting:
            if self.context.is_path_in_doubt():
                return self._wait_for_verdict(now)
            self._is_waiting = False
            return self._try_next(now)
        if now - max(self._get_next_event_time(), self._ignore_silence_until) > STALL_SECONDS:
            self._ignore_silence_until = now + STALL_SECONDS
            return [self._set_timer()]
        self._record_overdue_attempts(now)
        effects: list[Effect] = []
        if now >= self._hedge_at:
            self._hedge_at, self._hedge_early_at = self.request.deadline, inf
            effects = self._hedge(now)
        elif now >= self._hedge_early_at:
            self._hedge_early_at = inf
            effects = self._hedge_early(now)
        return [*effects, self._set_timer()]

    def _record_overdue_attempts(self, now: float) -> None:
        """Record evidence about the targets of attempts that passed their latency thresholds."""
        for attempt in self._open.values():
            while now >= attempt.get_next_threshold_time():
                kind = attempt.advance(is_predictive=self.context.is_slowness_predictive())
                if kind is not None:
                    self.context.record_evidence(now, self.request, attempt.target, kind)

    def _hedge(self, now: float, *, is_granted: bool = False) -> list[Effect]:
        """Send a slow repeatable request to a second target while the first may still respond."""
        request = self.request
        if self._is_grant_pending or not self._open:
            # A grant that was requested for an early hedge is used for this one.
            self._is_early_grant = False
            return []
        if not request.route.is_repeatable or self._executions >= request.route.maximum_attempts:
            return []
        chosen = self._choose_unlimited(now)
        if chosen is None:
            return []
        granted = is_granted or self.context.spend_retry(now, request.service)
        if granted is None:
            return self._request_grant()
        # SetTimer is dropped: the calling method sets one timer for both attempts.
        return self._start_any_attempt(now, chosen)[:1] if granted else []

    def _plan_early_hedge(self, now: float) -> None:
        """Set the time of an early hedge of the first attempt, if it is before the usual one."""
        policy, route = self.context.hedging, self.request.route
        if policy is None or not route.is_repeatable or self.request.is_relayed:
            return
        policy.record_request(now, self.request.service)
        delay = policy.get_delay(route.name)
        if delay is not None and now + delay < self._hedge_at:
            self._hedge_early_at = now + delay

    def _hedge_early(self, now: float, *, is_granted: bool | None = None) -> list[Effect]:
        """Hedge the first attempt within the operator's limit, or note why it is not hedged.

        ``is_granted`` is the hub's decision on a retry that was requested for this hedge.
        """
        request, policy = self.request, self.context.hedging
        if self._is_grant_pending or list(self._open) != [1]:
            return []
        if self._executions >= request.route.maximum_attempts:
            return []
        if request.deadline - now < MINIMUM_ATTEMPT_SECONDS:
            return []
        self._hedge_denial = policy.find_denial(now, request.service)
        if self._hedge_denial is not None:
            return []
        excluded = self._tried | self._denied | policy.list_unsuitable(now, request.service)
        chosen = self.context.choose_target(now, request, frozenset(excluded))
        if not isinstance(chosen, TargetEntry):
            self._hedge_denial = HedgeDenial.NO_TARGET
            return []
        if is_granted is None:
            is_granted = self.context.spend_retry(now, request.service)
        if is_granted is None:
            self._is_early_grant = True
            return self._request_grant()
        if not is_granted:
            self._hedge_denial = HedgeDenial.NO_BUDGET
            return []
        policy.spend(request.service)
        # SetTimer is dropped: the calling method sets one timer for both attempts.
        return self._start_attempt(now, chosen)[:1]

    def _record_first_attempt(self, now: float, number: int, answered: OpenAttempt) -> None:
        """Record the response time of the first attempt, or its time so far if its hedge won.

        An attempt that hangs says nothing about the response times of working targets.
        """
        first = answered if number == 1 else self._open.get(1)
        policy = self.context.hedging
        if policy is None or not self.request.route.is_repeatable:
            return
        if not isinstance(first, OpenAttempt) or first.is_trial:
            return
        if number == 1 or not first.is_hung:
            policy.record_response(self.request.route.name, now - first.started_at)

    def _choose_unlimited(self, now: float) -> TargetEntry | RelayRecord | None:
        """Return the best target without a limit, or a relay, or None."""
        excluded = self._tried | self._denied
        chosen = self.context.choose_target(now, self.request, frozenset(excluded))
        while isinstance(chosen, PermitNeeded):
            excluded |= {target.identity for target in chosen.targets}
            chosen = self.context.choose_target(now, self.request, frozenset(excluded))
        return None if isinstance(chosen, RefusalReason) else chosen

    def _handle_deadline(self, now: float) -> list[Effect]:
        self._may_have_run = self._may_have_run or bool(self._open)
        for attempt in self._open.values():
            if attempt.is_slow:
                self.context.record_slow_outcome(is_answered=False)
        return self._fail(now, RefusalReason.DEADLINE)

    # End of the request

    def _fail(
        self, now: float, reason: RefusalReason, *, retry_after: float | None = None
    ) -> list[Effect]:
        """End with the last error response of a target, or else with one of the entry itself."""
        if self._last_error is not None:
            return self._respond(now, *self._last_error)
        return self._refuse(now, reason, retry_after=retry_after)

    def _respond(self, now: float, answer: TargetAnswer, target: str, number: int) -> list[Effect]:
        self.is_done = True
        hedge = self._get_hedge_result(number)
        respond = RespondWith(answer, target, self._usage, number, hedge)
        return [*self._cancel_open(now), respond]

    def _get_hedge_result(self, number: int = 0) -> HedgeResult | None:
        """Return what became of the hedge if the attempt ``number`` gave the answer."""
        if self._hedges:
            is_won = number in self._hedges
            return HedgeResult(HedgeOutcome.WON if is_won else HedgeOutcome.LOST)
        if self._hedge_denial is not None:
            return HedgeResult(HedgeOutcome.DENIED, self._hedge_denial)
        return None

    def _refuse(
        self,
        now: float,
        reason: RefusalReason,
        *,
        retry_after: float | None = None,
        overload: Overload | None = None,
    ) -> list[Effect]:
        self.is_done = True
        if reason == RefusalReason.ALL_FULL and retry_after is None and not self._may_have_run:
            overload = self.context.find_overload(now, self.request, is_full=True)
        if overload is not None:
            reason, retry_after = RefusalReason.OVERLOAD, overload.retry_after
        if retry_after is None:
            retry_after = self.context.compute_retry_after(now, self.request.service)
        waited_for = tuple(
            UnansweredAttempt(item.target, now - item.started_at, not item.is_trial)
            for item in self._open.values()
            if isinstance(item, OpenAttempt)
        )
        effects = self._cancel_open(now)
        refuse = Refuse(
            reason,
            self._may_have_run,
            retry_after,
            waited_for,
            self._usage,
            overload,
            self._get_hedge_result(),
        )
        return [*effects, refuse]

    @property
    def _usage(self) -> AttemptUsage:
        return AttemptUsage(self._executions, self._deliveries)

    def _cancel_open(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for number, attempt in self._open.items():
            if isinstance(attempt, OpenRelay):
                self.context.record_relay_end(now, attempt.relay, None)
            else:
                self.context.record_attempt_end(now, attempt.target)
            effects.append(Cancel(number))
        self._open = {}
        return effects
