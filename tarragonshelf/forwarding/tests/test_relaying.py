"""At most once, attempts and budget hold for requests that another entry forwards."""

import pytest

from ...forwarding import (
    Attempt,
    AttemptOutcome,
    AttemptUsage,
    Cancel,
    ForwardRequest,
    RefusalReason,
    Refuse,
    RelayAttempt,
    RelayEnded,
    RelayOutcome,
    RequestMachine,
    RespondWith,
    SetTimer,
    Started,
    TargetAnswer,
    TimerFired,
)
from ...relaying import RelayRecord
from .fakes import FakeContext, create_route, end, start
from .test_request import find_effect

ORDER = create_route(is_repeatable=False)
LOOKUP = create_route(is_repeatable=True, attempts=3)
UNUSED = AttemptUsage()
NOT_RUN_OUTCOMES = [RelayOutcome.DECLINED, RelayOutcome.NOT_SENT]


def create_context(*targets: str, relays: int = 3, **options) -> FakeContext:
    """Return an entry without a path to the targets."""
    context = FakeContext(*targets, **options)
    context.relays = [RelayRecord(f"r{number}", "z") for number in range(relays)]
    return context


def respond(number: int, status: int = 200, *, executions: int = 1) -> RelayEnded:
    answer = TargetAnswer(status, (), b"")
    usage = AttemptUsage(executions, executions)
    return RelayEnded(number, RelayOutcome.RESPONDED, answer, "t", usage=usage)


def refuse(
    number: int, reason: RefusalReason, *, has_run: bool, usage: AttemptUsage = UNUSED
) -> RelayEnded:
    refusal = Refuse(reason, has_run, 0.7)
    return RelayEnded(number, RelayOutcome.REFUSED, refusal=refusal, usage=usage)


class TestOrders:
    @pytest.mark.parametrize("outcome", NOT_RUN_OUTCOMES)
    def test_order_that_a_relay_did_not_take_goes_to_another_one(self, outcome):
        machine, effects = start(create_context(), ORDER)
        assert find_effect(effects, RelayAttempt).relay.address == "r0"
        effects = machine.handle(0.1, RelayEnded(1, outcome))
        assert find_effect(effects, RelayAttempt).relay.address == "r1"

    # Guards against an order that runs twice because the entry that forwarded it died.
    def test_order_whose_relay_broke_is_not_sent_again(self):
        machine, _ = start(create_context(), ORDER)
        effects = machine.handle(0.1, RelayEnded(1, RelayOutcome.BROKEN))
        refusal = find_effect(effects, Refuse)
        assert (refusal.reason, refusal.has_run) == (RefusalReason.MAY_HAVE_RUN, True)

    def test_order_that_may_have_run_is_not_sent_again(self):
        machine, _ = start(create_context(), ORDER)
        ended = refuse(1, RefusalReason.MAY_HAVE_RUN, has_run=True, usage=AttemptUsage(1, 1))
        refusal = find_effect(machine.handle(0.1, ended), Refuse)
        assert (refusal.reason, refusal.has_run) == (RefusalReason.MAY_HAVE_RUN, True)

    def test_refusal_of_a_relay_that_holds_everywhere_is_final(self):
        machine, _ = start(create_context(), ORDER)
        effects = machine.handle(0.1, refuse(1, RefusalReason.ALL_FULL, has_run=False))
        refusal = find_effect(effects, Refuse)
        assert (refusal.reason, refusal.has_run) == (RefusalReason.ALL_FULL, False)
        assert refusal.retry_after == 0.7

    def test_relay_that_lost_its_path_meanwhile_is_replaced(self):
        machine, _ = start(create_context(), ORDER)
        effects = machine.handle(0.1, refuse(1, RefusalReason.NO_PATH, has_run=False))
        assert find_effect(effects, RelayAttempt).relay.address == "r1"

    def test_error_response_of_a_target_is_returned(self):
        machine, _ = start(create_context(), ORDER)
        effects = machine.handle(0.1, respond(1, 500))
        assert find_effect(effects, RespondWith).answer.status == 500

    def test_without_a_relay_the_refusal_is_immediate_and_true(self):
        context = create_context()
        context.choose_target = lambda *_: RefusalReason.NO_PATH
        _, effects = start(context, ORDER)
        refusal = find_effect(effects, Refuse)
        assert (refusal.reason, refusal.has_run) == (RefusalReason.NO_PATH, False)

    def test_deadline_with_a_request_at_a_relay_promises_nothing(self):
        machine, _ = start(create_context(), ORDER)
        effects = machine.handle(ORDER.timeout, TimerFired())
        assert find_effect(effects, Cancel).number == 1
        assert find_effect(effects, Refuse).has_run


class TestAttempts:
    def test_relay_gets_the_attempts_that_are_left(self):
        context = create_context("a")
        relays, context.relays = context.relays, []
        machine, _ = start(context, LOOKUP)
        context.relays = relays
        effects = end(machine, 1, AttemptOutcome.BROKEN)
        assert find_effect(effects, RelayAttempt).maximum_attempts == 2

    def test_attempts_of_a_relay_count(self):
        machine, _ = start(create_context(), LOOKUP)
        effects = machine.handle(0.1, respond(1, 500, executions=2))
        assert find_effect(effects, RelayAttempt).maximum_attempts == 1
        effects = machine.handle(0.2, respond(2, 500))
        assert find_effect(effects, RespondWith).answer.status == 500

    def test_attempts_that_a_relay_did_not_use_are_left(self):
        machine, _ = start(create_context(), LOOKUP)
        effects = machine.handle(0.1, RelayEnded(1, RelayOutcome.DECLINED))
        assert find_effect(effects, RelayAttempt).maximum_attempts == 3

    def test_all_attempts_count_as_used_at_a_relay_that_broke(self):
        machine, _ = start(create_context(), LOOKUP)
        effects = machine.handle(0.1, RelayEnded(1, RelayOutcome.BROKEN))
        assert find_effect(effects, Refuse).has_run

    # Guards against deliveries by a relay that the retry budget does not see.
    def test_delivery_after_one_of_a_relay_needs_a_retry(self):
        context = create_context(retries=0)
        machine, _ = start(context, LOOKUP)
        ended = refuse(1, RefusalReason.NO_PATH, has_run=False, usage=AttemptUsage(0, 1))
        refusal = find_effect(machine.handle(0.1, ended), Refuse)
        assert refusal.reason == RefusalReason.NO_BUDGET

    def test_usage_is_reported_to_the_entry_that_received_the_request(self):
        context = FakeContext("a", "b")
        request = ForwardRequest("q", LOOKUP, "s", 0.0, 2.0, is_relayed=True)
        machine = RequestMachine(request, context)
        machine.handle(0.0, Started())
        end(machine, 1, AttemptOutcome.BROKEN)
        effects = end(machine, 2, AttemptOutcome.ANSWERED, status=200)
        assert find_effect(effects, RespondWith).usage == AttemptUsage(2, 2)


class TestCallersThatLeave:
    def test_request_at_a_relay_is_cancelled(self):
        context = create_context()
        machine, _ = start(context, ORDER)
        assert machine.abandon(0.1) == [Cancel(1)]
        assert context.occupied == []


class TestLoops:
    def test_relayed_request_is_not_relayed_again(self):
        context = create_context("a")
        request = ForwardRequest("q", ORDER, "s", 0.0, 2.0, is_relayed=True)
        effects = RequestMachine(request, context).handle(0.0, Started())
        assert find_effect(effects, RelayAttempt) is None


class TestVerdicts:
    # Guards against attempts that are used up at targets behind a lost path.
    @pytest.mark.parametrize("outcome", [AttemptOutcome.NOT_SENT, AttemptOutcome.UNHEARD])
    def test_request_waits_until_the_path_is_known_to_be_lost(self, outcome):
        context = create_context("a", "b")
        relays, context.relays = context.relays, []
        machine, _ = start(context, ORDER)
        context.is_doubted = True
        at = find_effect(end(machine, 1, outcome), SetTimer).at
        assert find_effect(machine.handle(at, TimerFired()), SetTimer).at > at
        context.is_doubted, context.relays = False, relays
        effects = machine.handle(at + 0.1, TimerFired())
        assert find_effect(effects, RelayAttempt).relay.address == "r0"

    def test_request_goes_to_another_target_once_the_path_is_known_to_be_open(self):
        context = FakeContext("a", "b")
        machine, _ = start(context, ORDER)
        context.is_doubted = True
        at = find_effect(end(machine, 1, AttemptOutcome.NOT_SENT), SetTimer).at
        context.is_doubted = False
        effects = machine.handle(at, TimerFired())
        assert find_effect(effects, Attempt).target.identity == "b"

    def test_deadline_ends_the_wait(self):
        context = FakeContext("a", "b")
        machine, _ = start(context, ORDER)
        context.is_doubted = True
        end(machine, 1, AttemptOutcome.NOT_SENT)
        refusal = find_effect(machine.handle(ORDER.timeout, TimerFired()), Refuse)
        assert (refusal.reason, refusal.has_run) == (RefusalReason.DEADLINE, False)
