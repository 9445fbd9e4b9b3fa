"""Lookups are retried within the budget and never return another request's answer."""

import pytest

from ...execution import (
    Attempt,
    AttemptEnded,
    AttemptResult,
    AttemptSlow,
    Cancel,
    ExecutionOutcome,
    LookupMachine,
    Reject,
    Respond,
    Started,
)
from ...health import Outcome
from ...ledger import Answer
from .fakes import LOOKUP, FakeContext, create_request

ANSWER = Answer(200, (), b"done")


def start_lookup(**options):
    context = FakeContext(**options)
    machine = LookupMachine(create_request(LOOKUP), context)
    (attempt,) = machine.handle(0.0, Started())
    return machine, attempt, context


class TestLookupMachine:
    def test_slow_attempt_is_cancelled_and_retried_at_another_target(self):
        machine, first, context = start_lookup()
        cancel, second = machine.handle(1.0, AttemptSlow(first.number))
        assert cancel == Cancel(first.number)
        assert second.target.address != first.target.address
        assert context.outcomes == [(first.target.address, Outcome.HUNG)]

    def test_late_answer_of_a_cancelled_attempt_is_ignored(self):
        machine, first, _ = start_lookup()
        _, second = machine.handle(1.0, AttemptSlow(first.number))
        late = Answer(200, (), b"another's")
        assert machine.handle(1.1, AttemptEnded(first.number, AttemptResult.ANSWERED, late)) == []
        (end,) = machine.handle(1.2, AttemptEnded(second.number, AttemptResult.ANSWERED, ANSWER))
        assert end == Respond(ANSWER, ExecutionOutcome.RAN)

    def test_slow_attempt_continues_without_budget(self):
        machine, first, _ = start_lookup(retries=0)
        assert machine.handle(1.0, AttemptSlow(first.number)) == []
        (end,) = machine.handle(3.0, AttemptEnded(first.number, AttemptResult.ANSWERED, ANSWER))
        assert isinstance(end, Respond)

    def test_broken_answer_is_never_returned(self):
        machine, first, _ = start_lookup(retries=0)
        (end,) = machine.handle(0.5, AttemptEnded(first.number, AttemptResult.BROKEN))
        assert (end.status, end.outcome) == (502, ExecutionOutcome.UNKNOWN)

    @pytest.mark.parametrize(
        ("kind", "outcomes"),
        [(AttemptResult.ENDLESS, [Outcome.FAILED]), (AttemptResult.GIVEN_UP, [])],
    )
    def test_endless_answer_counts_against_its_target_and_lack_of_memory_does_not(
        self, kind, outcomes
    ):
        machine, first, context = start_lookup()
        (second,) = machine.handle(0.1, AttemptEnded(first.number, kind))
        assert second.target.address != first.target.address
        assert [outcome for _, outcome in context.outcomes] == outcomes
        assert context.crashes == []

    def test_not_run_needs_proof_of_every_attempt(self):
        machine, first, _ = start_lookup(retries=1)
        (second,) = machine.handle(0.1, AttemptEnded(first.number, AttemptResult.BROKEN))
        assert isinstance(second, Attempt)
        (end,) = machine.handle(0.2, AttemptEnded(second.number, AttemptResult.NOT_SENT))
        assert end.outcome == ExecutionOutcome.UNKNOWN

    def test_request_refused_by_all_targets_is_reported_not_run(self):
        machine, attempt, _ = start_lookup()
        for _ in range(3):
            (effect,) = machine.handle(
                0.1, AttemptEnded(attempt.number, AttemptResult.REFUSED, ANSWER)
            )
            attempt = effect
        assert isinstance(effect, Reject)
        assert (effect.status, effect.outcome) == (503, ExecutionOutcome.NOT_RUN)
        assert effect.retry_after is not None

    def test_request_without_targets_is_reported_not_run(self):
        context = FakeContext()
        context.targets = []
        (end,) = LookupMachine(create_request(LOOKUP), context).handle(0.0, Started())
        assert (end.status, end.outcome) == (503, ExecutionOutcome.NOT_RUN)

    def test_no_attempt_starts_after_the_deadline(self):
        context = FakeContext()
        machine = LookupMachine(create_request(LOOKUP, deadline=1.0), context)
        (end,) = machine.handle(2.0, Started())
        assert end.outcome == ExecutionOutcome.NOT_RUN

    def test_deadline_shrinks_by_the_time_spent(self):
        machine, first, _ = start_lookup()
        (second,) = machine.handle(4.0, AttemptEnded(first.number, AttemptResult.NOT_SENT))
        assert (first.timeout, second.timeout) == (10.0, 6.0)
