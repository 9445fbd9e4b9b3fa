"""Orders run at most once, and lookups are retried until a target responds."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...avoidance import EvidenceKind
from ...forwarding import (
    Attempt,
    AttemptEnded,
    AttemptOutcome,
    Cancel,
    PermitDecided,
    RefusalReason,
    Refuse,
    RequestPermit,
    RequestRetryGrant,
    RespondWith,
    RetryGrantAnswered,
    SetTimer,
    TargetAnswer,
    TimerFired,
)
from ...throttling import PauseStatement
from .fakes import FakeContext, create_route, end, start

ORDER = create_route(is_repeatable=False)
LOOKUP = create_route(is_repeatable=True)
NOT_EXECUTED = [
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.UNHEARD,
    AttemptOutcome.NOT_STARTED,
    AttemptOutcome.WITHDRAWN,
    AttemptOutcome.REFUSED,
    AttemptOutcome.MISDIRECTED,
]
MAYBE_EXECUTED = [AttemptOutcome.BROKEN, AttemptOutcome.UNUSABLE, AttemptOutcome.GIVEN_UP]


def find_effect(effects, kind):
    return next((item for item in effects if isinstance(item, kind)), None)


class TestOrders:
    @pytest.mark.parametrize("outcome", NOT_EXECUTED)
    def test_order_that_provably_did_not_run_goes_to_another_target(self, outcome):
        machine, _ = start(FakeContext("a", "b"), ORDER)
        assert find_effect(end(machine, 1, outcome), Attempt).target.identity == "b"

    @pytest.mark.parametrize("outcome", MAYBE_EXECUTED)
    def test_order_that_may_have_run_is_never_sent_again(self, outcome):
        machine, _ = start(FakeContext("a", "b"), ORDER)
        refuse = find_effect(end(machine, 1, outcome), Refuse)
        assert refuse.reason == RefusalReason.MAY_HAVE_RUN
        assert refuse.has_run

    def test_error_response_of_a_target_is_returned(self):
        machine, _ = start(FakeContext("a", "b"), ORDER)
        assert find_effect(end(machine, 1, AttemptOutcome.ANSWERED, status=500), RespondWith)

    def test_order_that_reached_no_target_is_refused_with_retry_after(self):
        _, effects = start(FakeContext(), ORDER)
        refuse = find_effect(effects, Refuse)
        assert (refuse.has_run, refuse.retry_after) == (False, 0.3)

    @given(st.lists(st.sampled_from([*NOT_EXECUTED, *MAYBE_EXECUTED]), min_size=1, max_size=8))
    def test_no_attempt_follows_one_that_may_have_run(self, outcomes):
        machine, effects = start(FakeContext(*"abcdefghij"), ORDER)
        may_have_run = False
        for outcome in outcomes:
            attempt = find_effect(effects, Attempt)
            if attempt is None:
                break
            assert not may_have_run
            may_have_run = outcome in MAYBE_EXECUTED
            effects = end(machine, attempt.number, outcome)
        refuse = find_effect(effects, Refuse)
        if refuse is not None:
            assert refuse.has_run == may_have_run


class TestOwnFailures:
    """What lies in the request or in the entry says nothing about the target."""

    @pytest.mark.parametrize("outcome", [AttemptOutcome.GIVEN_UP, AttemptOutcome.NOT_STARTED])
    @pytest.mark.parametrize("route", [ORDER, LOOKUP])
    def test_attempt_that_failed_in_the_entry_is_no_evidence(self, route, outcome):
        context = FakeContext("a", "b")
        machine, _ = start(context, route)
        end(machine, 1, outcome)
        assert context.evidence == []

    @pytest.mark.parametrize("route", [ORDER, LOOKUP])
    def test_rejection_of_the_request_is_returned_and_no_evidence(self, route):
        context = FakeContext("a", "b")
        machine, _ = start(context, route)
        respond = find_effect(end(machine, 1, AttemptOutcome.REJECTED, status=400), RespondWith)
        assert (respond.answer.status, respond.usage.executions) == (400, 0)
        assert context.evidence == []


class TestLookups:
    @pytest.mark.parametrize("outcome", [*NOT_EXECUTED, *MAYBE_EXECUTED])
    def test_lookup_goes_to_another_target_after_any_failure(self, outcome):
        machine, _ = start(FakeContext("a", "b"), LOOKUP)
        assert find_effect(end(machine, 1, outcome), Attempt).target.identity == "b"

    def test_error_response_is_returned_after_all_retries_failed(self):
        machine, _ = start(FakeContext("a", "b", "c"), LOOKUP)
        effects = end(machine, 1, AttemptOutcome.ANSWERED, status=500)
        assert find_effect(effects, Attempt).target.identity == "b"
        effects = end(machine, 2, AttemptOutcome.BROKEN)
        assert find_effect(effects, RespondWith).target == "a"

    def test_attempts_are_limited_by_the_route(self):
        machine, _ = start(FakeContext(*"abcd"), LOOKUP)
        end(machine, 1, AttemptOutcome.BROKEN)
        assert find_effect(end(machine, 2, AttemptOutcome.BROKEN), Refuse)

    def test_lookup_is_not_retried_without_budget(self):
        machine, _ = start(FakeContext("a", "b", retries=0), LOOKUP)
        refuse = find_effect(end(machine, 1, AttemptOutcome.BROKEN), Refuse)
        assert refuse.reason == RefusalReason.NO_BUDGET

    def test_failure_to_connect_costs_no_budget(self):
        machine, _ = start(FakeContext("a", "b", retries=0), LOOKUP)
        assert find_effect(end(machine, 1, AttemptOutcome.NOT_SENT), Attempt)

    def test_hung_lookup_is_hedged_and_the_first_response_wins(self):
        context = FakeContext("a", "b")
        machine, _ = start(context, LOOKUP)
        effects = machine.handle(1.0, TimerFired())
        assert find_effect(effects, Attempt).target.identity == "b"
        assert context.evidence == [("a", EvidenceKind.SLOW), ("a", EvidenceKind.HUNG)]
        effects = end(machine, 1, AttemptOutcome.ANSWERED, status=200, now=1.2)
        assert find_effect(effects, Cancel).number == 2
        assert find_effect(effects, RespondWith).target == "a"

    def test_hedged_request_is_sent_while_there_is_time_to_respond(self):
        """A slow first target must not use up all of a short deadline."""
        context = FakeContext("a", "b")
        machine, _ = start(context, create_route(is_repeatable=True, timeout=1.2))
        effects = machine.handle(0.54, TimerFired())
        assert find_effect(effects, Attempt).target.identity == "b"
        assert context.evidence == []


class TestRetryGrants:
    """Retries while the hub holds the budget: the request waits for its grant."""

    def create(self):
        context = FakeContext("a", "b", "c")
        context.spend_retry = lambda now, service: None
        return start(context, LOOKUP)[0]

    def test_failed_lookup_waits_for_the_grant(self):
        machine = self.create()
        assert end(machine, 1, AttemptOutcome.BROKEN) == [RequestRetryGrant("s")]
        effects = machine.handle(0.2, RetryGrantAnswered(True))
        assert find_effect(effects, Attempt).target.identity == "b"

    def test_request_ends_if_the_grant_is_denied(self):
        machine = self.create()
        end(machine, 1, AttemptOutcome.BROKEN)
        refuse = find_effect(machine.handle(0.2, RetryGrantAnswered(False)), Refuse)
        assert refuse.reason == RefusalReason.NO_BUDGET
        assert refuse.has_run

    def test_hung_lookup_is_hedged_once_granted(self):
        machine = self.create()
        assert find_effect(machine.handle(0.95, TimerFired()), RequestRetryGrant)
        effects = machine.handle(0.96, RetryGrantAnswered(True))
        assert find_effect(effects, Attempt).target.identity == "b"
        assert find_effect(effects, SetTimer)

    def test_hung_attempt_continues_if_the_grant_is_denied(self):
        machine = self.create()
        machine.handle(0.95, TimerFired())
        assert not find_effect(machine.handle(0.96, RetryGrantAnswered(False)), Refuse)
        assert find_effect(end(machine, 1, AttemptOutcome.ANSWERED, status=200), RespondWith)

    def test_denied_grant_is_requested_again_before_the_deadline(self):
        """The budget is refilled within seconds, while a hung target does not respond."""
        machine = self.create()
        machine.handle(0.9, TimerFired())
        timer_at = find_effect(machine.handle(0.95, RetryGrantAnswered(False)), SetTimer).at
        effects = []
        while timer_at < 1.9 and not find_effect(effects, RequestRetryGrant):
            effects = machine.handle(timer_at, TimerFired())
            timer_at = find_effect(effects, SetTimer).at
        assert find_effect(effects, RequestRetryGrant)
        assert (
            find_effect(machine.handle(1.5, RetryGrantAnswered(True)), Attempt).target.identity
            == "b"
        )

    def test_failure_of_the_first_attempt_sends_no_second_grant_request(self):
        machine = self.create()
        machine.handle(0.95, TimerFired())
        assert end(machine, 1, AttemptOutcome.BROKEN, now=0.955) == []
        effects = machine.handle(0.96, RetryGrantAnswered(True))
        assert find_effect(effects, Attempt).target.identity == "b"

    def test_deadline_ends_the_wait_for_a_grant(self):
        machine = self.create()
        end(machine, 1, AttemptOutcome.BROKEN)
        assert (
            find_effect(machine.handle(2.0, TimerFired()), Refuse).reason == RefusalReason.DEADLINE
        )
        assert machine.handle(2.1, RetryGrantAnswered(True)) == []


class TestDeadline:
    def test_open_attempt_is_cancelled_at_the_deadline(self):
        context = FakeContext("a")
        machine, _ = start(context, ORDER)
        machine.handle(1.0, TimerFired())
        effects = machine.handle(2.0, TimerFired())
        assert find_effect(effects, Cancel).number == 1
        assert find_effect(effects, Refuse).has_run
        assert context.occupied == []

    def test_gateway_timeout_at_a_short_deadline_is_no_evidence(self):
        context = FakeContext("a")
        machine, _ = start(context, create_route(is_repeatable=False, timeout=0.5))
        end(machine, 1, AttemptOutcome.ANSWERED, status=504, now=0.5)
        assert context.evidence == []

    def test_hung_order_is_not_hedged(self):
        context = FakeContext("a", "b")
        machine, _ = start(context, ORDER)
        assert find_effect(machine.handle(1.0, TimerFired()), Attempt) is None
        assert context.evidence == [("a", EvidenceKind.SLOW), ("a", EvidenceKind.HUNG)]

    def test_refusal_lists_unanswered_attempts(self):
        machine, _ = start(FakeContext("a"), ORDER)
        refuse = find_effect(machine.handle(2.0, TimerFired()), Refuse)
        assert [(item.target.identity, item.seconds) for item in refuse.waited_for] == [("a", 2.0)]


class TestSlowAttempts:
    """Slowness is evidence while it predicts failure, and a response retracts it."""

    def test_response_retracts_reported_slowness(self):
        context = FakeContext("a")
        machine, _ = start(context, ORDER)
        machine.handle(0.9, TimerFired())
        end(machine, 1, AttemptOutcome.ANSWERED, status=200, now=0.95)
        kinds = [kind for _, kind in context.evidence]
        assert kinds == [EvidenceKind.SLOW, EvidenceKind.PASSED, EvidenceKind.NOT_SLOW]
        assert context.slow_outcomes == [True]

    def test_only_hangs_are_reported_while_slowness_is_not_predictive(self):
        context = FakeContext("a")
        context.is_predictive = False
        machine, _ = start(context, ORDER)
        machine.handle(0.9, TimerFired())
        assert context.evidence == []
        machine.handle(1.0, TimerFired())
        end(machine, 1, AttemptOutcome.ANSWERED, status=200, now=1.1)
        kinds = [kind for _, kind in context.evidence]
        assert kinds == [EvidenceKind.HUNG, EvidenceKind.PASSED, EvidenceKind.NOT_HUNG]

    def test_slow_attempt_at_the_deadline_counts_as_failed(self):
        context = FakeContext("a")
        machine, _ = start(context, ORDER)
        machine.handle(0.9, TimerFired())
        machine.handle(2.0, TimerFired())
        assert context.slow_outcomes == [False]


class TestStalledEntry:
    """A stall of the entry's own VM must not be mistaken for unresponsive targets."""

    def test_missing_response_during_a_stall_is_no_evidence(self):
        context = FakeContext("a")
        machine, _ = start(context, ORDER)
        effects = machine.handle(1.5, TimerFired())
        assert context.evidence == []
        assert find_effect(effects, SetTimer).at < 2.0
        end(machine, 1, AttemptOutcome.ANSWERED, status=200, now=1.51)
        assert context.evidence == [("a", EvidenceKind.PASSED)]

    def test_missing_response_after_a_stall_is_evidence(self):
        context = FakeContext("a")
        machine, _ = start(context, ORDER)
        timer_at = find_effect(machine.handle(1.5, TimerFired()), SetTimer).at
        machine.handle(timer_at, TimerFired())
        assert context.evidence == [("a", EvidenceKind.SLOW), ("a", EvidenceKind.HUNG)]

    def test_stall_does_not_hedge_a_lookup(self):
        machine, _ = start(FakeContext("a", "b"), LOOKUP)
        assert find_effect(machine.handle(1.5, TimerFired()), Attempt) is None


class TestAbandonedRequests:
    def test_open_attempt_is_cancelled(self):
        context = FakeContext("a")
        machine, _ = start(context, ORDER)
        assert machine.abandon(0.2) == [Cancel(1)]
        assert context.occupied == []
        assert end(machine, 1, AttemptOutcome.ANSWERED, status=200) == []


class TestQuarantine:
    def test_request_that_crashes_targets_is_refused(self):
        context = FakeContext("a")
        context.quarantined = {7}
        _, effects = start(context, LOOKUP)
        assert find_effect(effects, Refuse).reason == RefusalReason.HELD_BACK


class TestPermits:
    """A target with a limit gets a request only with a permit."""

    def test_permitted_request_is_sent_to_the_granted_target(self):
        context = FakeContext("a", "b", limited={"a", "b"})
        machine, effects = start(context, ORDER)
        needed = find_effect(effects, RequestPermit).needed
        assert [item.identity for item in needed.targets] == ["a", "b"]
        assert not needed.has_alternative
        assert context.occupied == []
        effects = machine.handle(0.05, PermitDecided("b"))
        assert find_effect(effects, Attempt).target.identity == "b"

    def test_denied_request_goes_to_a_target_without_a_limit(self):
        machine, effects = start(FakeContext("a", "b", limited={"a"}), ORDER)
        assert find_effect(effects, RequestPermit).needed.has_alternative
        effects = machine.handle(0.05, PermitDecided("", 3.0))
        assert find_effect(effects, Attempt).target.identity == "b"

    def test_denied_request_without_another_target_is_refused_at_once(self):
        machine, _ = start(FakeContext("a", limited={"a"}), ORDER)
        refuse = find_effect(machine.handle(0.05, PermitDecided("", 3.0)), Refuse)
        assert (refuse.reason, refuse.has_run, refuse.retry_after) == (
            RefusalReason.LIMITED,
            False,
            3.0,
        )

    def test_order_that_may_have_run_is_not_sent_again_with_a_permit(self):
        machine, _ = start(FakeContext("a", "b", limited={"a", "b"}), ORDER)
        machine.handle(0.05, PermitDecided("a"))
        refuse = find_effect(end(machine, 1, AttemptOutcome.BROKEN), Refuse)
        assert refuse.reason == RefusalReason.MAY_HAVE_RUN

    def test_retry_needs_a_permit_but_no_second_retry_grant(self):
        context = FakeContext("a", "b", "c", limited={"b"}, retries=1)
        machine, _ = start(context, LOOKUP)
        effects = end(machine, 1, AttemptOutcome.BROKEN)
        assert find_effect(effects, RequestPermit)
        effects = machine.handle(0.2, PermitDecided(""))
        assert find_effect(effects, Attempt).target.identity == "c"

    def test_hedged_request_is_not_sent_to_a_target_with_a_limit(self):
        machine, _ = start(FakeContext("a", "b", "c", limited={"b"}), LOOKUP)
        effects = machine.handle(1.0, TimerFired())
        assert find_effect(effects, RequestPermit) is None
        assert find_effect(effects, Attempt).target.identity == "c"

    def test_request_whose_deadline_passes_without_a_decision_has_not_run(self):
        machine, effects = start(FakeContext("a", limited={"a"}), ORDER)
        assert find_effect(effects, SetTimer).at == 2.0
        refuse = find_effect(machine.handle(2.0, TimerFired()), Refuse)
        assert (refuse.reason, refuse.has_run) == (RefusalReason.DEADLINE, False)
        assert machine.handle(2.1, PermitDecided("a")) == []

    def test_permit_for_an_abandoned_request_sends_nothing(self):
        machine, _ = start(FakeContext("a", limited={"a"}), ORDER)
        machine.abandon(0.02)
        assert machine.handle(0.05, PermitDecided("a")) == []


class TestLeavingTargets:
    """A target that leaves gets what was sent before, and nothing that still waits."""

    @pytest.mark.parametrize(
        ("outcome", "status"),
        [
            (AttemptOutcome.ANSWERED, 200),
            (AttemptOutcome.ANSWERED, 500),
            (AttemptOutcome.REFUSED, 503),
        ],
    )
    def test_departure_is_recorded_before_the_request_ends_or_is_sent_again(self, outcome, status):
        context = FakeContext("a", "b")
        machine, _ = start(context, LOOKUP)
        answer = TargetAnswer(status, (), b"")
        effects = machine.handle(0.1, AttemptEnded(1, outcome, 0.1, answer, is_leaving=True))
        assert context.leaving == ["a"]
        assert find_effect(effects, RespondWith if status == 200 else Attempt)

    # Guards against requests that reach a target although it left while they waited.
    def test_permitted_target_that_left_meanwhile_is_not_used(self):
        context = FakeContext("a", "b", limited={"a"}, retries=0)
        machine, _ = start(context, ORDER)
        context.targets = context.targets[1:]
        context.unusable = {"a"}
        effects = machine.handle(0.05, PermitDecided("a"))
        assert find_effect(effects, Attempt).target.identity == "b"

    def test_permitted_target_that_left_meanwhile_was_the_last_one(self):
        context = FakeContext("a", limited={"a"})
        machine, _ = start(context, ORDER)
        context.targets, context.unusable = [], {"a"}
        refuse = find_effect(machine.handle(0.05, PermitDecided("a")), Refuse)
        assert (refuse.reason, refuse.has_run) == (RefusalReason.NO_TARGET, False)

    # Guards against targets that count as failing, or requests that give up, as targets leave.
    def test_withdrawn_attempts_are_no_evidence_and_cost_no_retry(self):
        context = FakeContext(*"abcdefgh", retries=0)
        context.is_doubted = True
        machine, _ = start(context, ORDER)
        for number in range(1, 8):
            effects = end(machine, number, AttemptOutcome.WITHDRAWN)
            assert find_effect(effects, Attempt)
        assert context.evidence == []
        refuse = find_effect(end(machine, 8, AttemptOutcome.WITHDRAWN), Refuse)
        assert (refuse.reason, refuse.has_run) == (RefusalReason.NO_TARGET, False)


class TestPauses:
    """A target that asked for a pause gets no request, whatever was decided before."""

    def test_requested_pause_is_recorded_with_its_target(self):
        context = FakeContext("a", "b")
        machine, _ = start(context, ORDER)
        answer, pause = TargetAnswer(503, (), b""), PauseStatement(2.0)
        ended = AttemptEnded(1, AttemptOutcome.REFUSED, 0.1, answer, pause=pause)
        effects = machine.handle(0.1, ended)
        assert context.pauses == [("a", 2.0)]
        assert find_effect(effects, Attempt).target.identity == "b"

    def test_pause_of_a_response_that_does_not_prove_a_refusal_is_recorded(self):
        context = FakeContext("a")
        machine, _ = start(context, ORDER)
        answer, pause = TargetAnswer(503, (), b""), PauseStatement(2.0)
        ended = AttemptEnded(1, AttemptOutcome.ANSWERED, 0.1, answer, pause=pause)
        assert find_effect(machine.handle(0.1, ended), RespondWith).answer is answer
        assert context.pauses == [("a", 2.0)]

    # Guards against a permit that was asked for before the pause and granted after it.
    @pytest.mark.parametrize("route", [ORDER, LOOKUP])
    def test_permit_for_a_target_that_paused_meanwhile_is_not_used(self, route):
        context = FakeContext("a", "b", limited={"a"})
        machine, effects = start(context, route)
        assert find_effect(effects, RequestPermit)
        context.paused.add("a")
        effects = machine.handle(0.05, PermitDecided("a"))
        assert find_effect(effects, Attempt).target.identity == "b"

    def test_permit_for_a_paused_target_without_another_one_ends_the_request(self):
        context = FakeContext("a", limited={"a"})
        machine, _ = start(context, ORDER)
        context.paused.add("a")
        refuse = find_effect(machine.handle(0.05, PermitDecided("a")), Refuse)
        assert (refuse.has_run, refuse.retry_after) == (False, 0.3)

    def test_grant_after_a_pause_is_used_at_another_target(self):
        context = FakeContext("a", "b", "c")
        context.spend_retry = lambda now, service: None
        machine, _ = start(context, LOOKUP)
        assert find_effect(end(machine, 1, AttemptOutcome.REFUSED), RequestRetryGrant)
        context.paused.add("b")
        effects = machine.handle(0.2, RetryGrantAnswered(True))
        assert find_effect(effects, Attempt).target.identity == "c"

    def test_hedged_request_is_not_sent_to_a_paused_target(self):
        context = FakeContext("a", "b", "c")
        machine, _ = start(context, LOOKUP)
        context.paused.add("b")
        assert find_effect(machine.handle(1.0, TimerFired()), Attempt).target.identity == "c"
