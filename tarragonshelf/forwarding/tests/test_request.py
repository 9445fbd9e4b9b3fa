"""Orders run at most once, and lookups find a target that works."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...avoidance import EvidenceKind
from ...forwarding import (
    Attempt,
    AttemptOutcome,
    Cancel,
    RefusalReason,
    Refuse,
    RequestRetryGrant,
    RespondWith,
    RetryGrantAnswered,
    SetTimer,
    TimerFired,
)
from .fakes import FakeContext, create_route, end, start

ORDER = create_route(is_repeatable=False)
LOOKUP = create_route(is_repeatable=True)
PROOFS = [
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.UNHEARD,
    AttemptOutcome.REFUSED,
    AttemptOutcome.MISDIRECTED,
]
DOUBTS = [AttemptOutcome.BROKEN, AttemptOutcome.UNUSABLE]


def find(effects, kind):
    return next((item for item in effects if isinstance(item, kind)), None)


class TestOrders:
    @pytest.mark.parametrize("outcome", PROOFS)
    def test_proof_that_it_did_not_run_lets_it_go_elsewhere(self, outcome):
        machine, _ = start(FakeContext("a", "b"), ORDER)
        assert find(end(machine, 1, outcome), Attempt).target.identity == "b"

    @pytest.mark.parametrize("outcome", DOUBTS)
    def test_without_proof_it_is_never_sent_again(self, outcome):
        machine, _ = start(FakeContext("a", "b"), ORDER)
        refuse = find(end(machine, 1, outcome), Refuse)
        assert refuse.reason == RefusalReason.MAY_HAVE_RUN
        assert refuse.has_run

    def test_a_targets_own_error_is_passed_on(self):
        machine, _ = start(FakeContext("a", "b"), ORDER)
        assert find(end(machine, 1, AttemptOutcome.ANSWERED, status=500), RespondWith)

    def test_one_that_reached_nobody_is_refused_with_a_time_to_return(self):
        _, effects = start(FakeContext(), ORDER)
        refuse = find(effects, Refuse)
        assert (refuse.has_run, refuse.retry_after) == (False, 0.3)

    @given(st.lists(st.sampled_from([*PROOFS, *DOUBTS]), min_size=1, max_size=8))
    def test_nothing_follows_an_attempt_that_may_have_run(self, outcomes):
        machine, effects = start(FakeContext(*"abcdefghij"), ORDER)
        may_have_run = False
        for outcome in outcomes:
            attempt = find(effects, Attempt)
            if attempt is None:
                break
            assert not may_have_run
            may_have_run = outcome in DOUBTS
            effects = end(machine, attempt.number, outcome)
        refuse = find(effects, Refuse)
        if refuse is not None:
            assert refuse.has_run == may_have_run


class TestLookups:
    @pytest.mark.parametrize("outcome", [*PROOFS, *DOUBTS])
    def test_any_failure_lets_it_go_elsewhere(self, outcome):
        machine, _ = start(FakeContext("a", "b"), LOOKUP)
        assert find(end(machine, 1, outcome), Attempt).target.identity == "b"

    def test_an_error_is_tried_elsewhere_and_passed_on_at_last(self):
        machine, _ = start(FakeContext("a", "b", "c"), LOOKUP)
        effects = end(machine, 1, AttemptOutcome.ANSWERED, status=500)
        assert find(effects, Attempt).target.identity == "b"
        effects = end(machine, 2, AttemptOutcome.BROKEN)
        assert find(effects, RespondWith).target == "a"

    def test_no_more_targets_run_it_than_the_route_allows(self):
        machine, _ = start(FakeContext(*"abcd"), LOOKUP)
        end(machine, 1, AttemptOutcome.BROKEN)
        assert find(end(machine, 2, AttemptOutcome.BROKEN), Refuse)

    def test_without_budget_it_is_not_repeated(self):
        machine, _ = start(FakeContext("a", "b", repeats=0), LOOKUP)
        refuse = find(end(machine, 1, AttemptOutcome.BROKEN), Refuse)
        assert refuse.reason == RefusalReason.NO_BUDGET

    def test_a_connection_that_was_not_made_costs_no_budget(self):
        machine, _ = start(FakeContext("a", "b", repeats=0), LOOKUP)
        assert find(end(machine, 1, AttemptOutcome.NOT_SENT), Attempt)

    def test_one_that_hangs_goes_to_a_second_target_and_the_first_answer_wins(self):
        context = FakeContext("a", "b")
        machine, _ = start(context, LOOKUP)
        effects = machine.handle(1.0, TimerFired())
        assert find(effects, Attempt).target.identity == "b"
        assert context.evidence == [("a", EvidenceKind.SLOW), ("a", EvidenceKind.HUNG)]
        effects = end(machine, 1, AttemptOutcome.ANSWERED, status=200, now=1.2)
        assert find(effects, Cancel).number == 2
        assert find(effects, RespondWith).target == "a"

    def test_a_second_target_is_asked_while_it_has_time_to_answer(self):
        """Short deadlines: a first target that is slow must not use all of the time."""
        context = FakeContext("a", "b")
        machine, _ = start(context, create_route(is_repeatable=True, timeout=1.2))
        effects = machine.handle(0.54, TimerFired())
        assert find(effects, Attempt).target.identity == "b"
        assert context.evidence == []


class TestAskedRepeats:
    """The budget is held elsewhere: the request waits for the answer."""

    def create(self):
        context = FakeContext("a", "b", "c")
        context.spend_retry = lambda now, service: None
        return start(context, LOOKUP)[0]

    def test_a_failed_lookup_waits_for_the_grant(self):
        machine = self.create()
        assert end(machine, 1, AttemptOutcome.BROKEN) == [RequestRetryGrant("s")]
        effects = machine.handle(0.2, RetryGrantAnswered(True))
        assert find(effects, Attempt).target.identity == "b"

    def test_without_a_grant_it_ends(self):
        machine = self.create()
        end(machine, 1, AttemptOutcome.BROKEN)
        refuse = find(machine.handle(0.2, RetryGrantAnswered(False)), Refuse)
        assert refuse.reason == RefusalReason.NO_BUDGET
        assert refuse.has_run

    def test_one_that_hangs_gets_a_second_target_with_the_grant(self):
        machine = self.create()
        assert find(machine.handle(0.95, TimerFired()), RequestRetryGrant)
        effects = machine.handle(0.96, RetryGrantAnswered(True))
        assert find(effects, Attempt).target.identity == "b"
        assert find(effects, SetTimer)

    def test_one_that_hangs_goes_on_alone_without_a_grant(self):
        machine = self.create()
        machine.handle(0.95, TimerFired())
        assert not find(machine.handle(0.96, RetryGrantAnswered(False)), Refuse)
        assert find(end(machine, 1, AttemptOutcome.ANSWERED, status=200), RespondWith)

    def test_it_asks_again_while_it_has_time(self):
        """The budget fills again within seconds, and a hung target does not answer."""
        machine = self.create()
        machine.handle(0.9, TimerFired())
        again = find(machine.handle(0.95, RetryGrantAnswered(False)), SetTimer).at
        effects = []
        while again < 1.9 and not find(effects, RequestRetryGrant):
            effects = machine.handle(again, TimerFired())
            again = find(effects, SetTimer).at
        assert find(effects, RequestRetryGrant)
        assert find(machine.handle(1.5, RetryGrantAnswered(True)), Attempt).target.identity == "b"

    def test_a_first_target_that_fails_meanwhile_leaves_one_ask(self):
        machine = self.create()
        machine.handle(0.95, TimerFired())
        assert end(machine, 1, AttemptOutcome.BROKEN, now=0.955) == []
        effects = machine.handle(0.96, RetryGrantAnswered(True))
        assert find(effects, Attempt).target.identity == "b"

    def test_the_deadline_ends_the_wait(self):
        machine = self.create()
        end(machine, 1, AttemptOutcome.BROKEN)
        assert find(machine.handle(2.0, TimerFired()), Refuse).reason == RefusalReason.DEADLINE
        assert machine.handle(2.1, RetryGrantAnswered(True)) == []


class TestDeadline:
    def test_a_request_under_way_ends_at_its_deadline(self):
        context = FakeContext("a")
        machine, _ = start(context, ORDER)
        machine.handle(1.0, TimerFired())
        effects = machine.handle(2.0, TimerFired())
        assert find(effects, Cancel).number == 1
        assert find(effects, Refuse).has_run
        assert context.held == []

    def test_a_target_that_keeps_to_a_short_limit_is_not_blamed(self):
        context = FakeContext("a")
        machine, _ = start(context, create_route(is_repeatable=False, timeout=0.5))
        end(machine, 1, AttemptOutcome.ANSWERED, status=504, now=0.5)
        assert context.evidence == []

    def test_a_hung_order_is_waited_for(self):
        context = FakeContext("a", "b")
        machine, _ = start(context, ORDER)
        assert find(machine.handle(1.0, TimerFired()), Attempt) is None
        assert context.evidence == [("a", EvidenceKind.SLOW), ("a", EvidenceKind.HUNG)]

    def test_the_refusal_names_who_was_waited_for(self):
        machine, _ = start(FakeContext("a"), ORDER)
        refuse = find(machine.handle(2.0, TimerFired()), Refuse)
        assert [(item.target.identity, item.seconds) for item in refuse.waited_for] == [("a", 2.0)]


class TestSlowAttempts:
    """Waiting is evidence where slow attempts end badly, and an answer takes it back."""

    def test_an_answer_takes_back_what_was_told(self):
        context = FakeContext("a")
        machine, _ = start(context, ORDER)
        machine.handle(0.9, TimerFired())
        end(machine, 1, AttemptOutcome.ANSWERED, status=200, now=0.95)
        kinds = [kind for _, kind in context.evidence]
        assert kinds == [EvidenceKind.SLOW, EvidenceKind.PASSED, EvidenceKind.NOT_SLOW]
        assert context.slow_ends == [True]

    def test_where_slowness_is_harmless_only_a_hang_is_told(self):
        context = FakeContext("a")
        context.is_predictive = False
        machine, _ = start(context, ORDER)
        machine.handle(0.9, TimerFired())
        assert context.evidence == []
        machine.handle(1.0, TimerFired())
        end(machine, 1, AttemptOutcome.ANSWERED, status=200, now=1.1)
        kinds = [kind for _, kind in context.evidence]
        assert kinds == [EvidenceKind.HUNG, EvidenceKind.PASSED, EvidenceKind.NOT_HUNG]

    def test_a_slow_attempt_at_the_deadline_ended_badly(self):
        context = FakeContext("a")
        machine, _ = start(context, ORDER)
        machine.handle(0.9, TimerFired())
        machine.handle(2.0, TimerFired())
        assert context.slow_ends == [False]


class TestStalledEntry:
    """A VM of our own that stood still: it heard nothing because it did not listen."""

    def test_silence_while_the_entry_stood_still_is_no_evidence(self):
        context = FakeContext("a")
        machine, _ = start(context, ORDER)
        effects = machine.handle(1.5, TimerFired())
        assert context.evidence == []
        assert find(effects, SetTimer).at < 2.0
        end(machine, 1, AttemptOutcome.ANSWERED, status=200, now=1.51)
        assert context.evidence == [("a", EvidenceKind.PASSED)]

    def test_silence_that_lasts_after_it_woke_is(self):
        context = FakeContext("a")
        machine, _ = start(context, ORDER)
        again = find(machine.handle(1.5, TimerFired()), SetTimer).at
        machine.handle(again, TimerFired())
        assert context.evidence == [("a", EvidenceKind.SLOW), ("a", EvidenceKind.HUNG)]

    def test_a_lookup_is_not_sent_twice_for_it(self):
        machine, _ = start(FakeContext("a", "b"), LOOKUP)
        assert find(machine.handle(1.5, TimerFired()), Attempt) is None


class TestCallersThatLeave:
    def test_what_is_under_way_is_cancelled(self):
        context = FakeContext("a")
        machine, _ = start(context, ORDER)
        assert machine.abandon(0.2) == [Cancel(1)]
        assert context.held == []
        assert end(machine, 1, AttemptOutcome.ANSWERED, status=200) == []


class TestSuspects:
    def test_a_request_that_crashes_targets_is_refused_at_once(self):
        context = FakeContext("a")
        context.held_back = {7}
        _, effects = start(context, LOOKUP)
        assert find(effects, Refuse).reason == RefusalReason.HELD_BACK
