"""Orders run at most once, and not-run is only said with proof."""

from collections import Counter

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from ...execution import (
    Attempt,
    AttemptEnded,
    AttemptResult,
    ClaimAnswered,
    Command,
    ExecutionOutcome,
    OrderMachine,
    Reject,
    Respond,
    SettleAnswered,
    Started,
    SubmitClaim,
    SubmitSettle,
    WaitEnded,
)
from ...ledger import (
    AbandonKey,
    Answer,
    ClaimKey,
    ClaimResult,
    ClaimState,
    Ledger,
    SettleKey,
    SuspendKey,
)
from .fakes import ORDER, FakeContext, create_request

ANSWER = Answer(200, (), b"done")


def change(ledger: Ledger, time: float, command) -> ClaimResult:
    apply = {
        ClaimKey: ledger.claim,
        SettleKey: ledger.settle,
        AbandonKey: ledger.abandon,
        SuspendKey: ledger.suspend,
    }[type(command)]
    return apply(time, command)


class OrdersMachine(RuleBasedStateMachine):
    """The same order at several entries, over a real ledger whose messages get lost or late."""

    create_machine = OrderMachine
    create_ledger = Ledger

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.ledger = self.create_ledger()
        self.runs = Counter()
        self.placed = 0
        self.open = []
        self.late = []
        self.told_not_run = []

    @rule(entry=st.integers(1, 3), key=st.sampled_from(["k1", "k2", "k3"]))
    def place(self, entry, key):
        if len(self.open) < 6:
            self.placed += 1
            context = FakeContext(f"e{entry}-{self.placed}")
            request = create_request(ORDER, key=key, deadline=self.now + 10)
            case = {
                "machine": self.create_machine(request, context),
                "key": key,
                "effect": None,
                "ran": 0,
            }
            self.open.append(case)
            self._feed(case, Started())

    @precondition(lambda self: self._find(0, SubmitClaim))
    @rule(place=st.integers(0, 5), fate=st.sampled_from(["both", "both", "no reply", "late"]))
    def claim(self, place, fate):
        case = self._find(place, SubmitClaim)
        command = case["effect"].command
        result = None
        if fate in ("both", "no reply"):
            result = change(self.ledger, self.now, command)
        elif fate == "late":
            self.late.append(command)
        self._feed(case, ClaimAnswered(result if fate == "both" else None))

    @rule()
    def deliver_late(self):
        if self.late:
            change(self.ledger, self.now, self.late.pop(0))

    @precondition(lambda self: self._find(0, Attempt))
    @rule(
        place=st.integers(0, 5),
        kind=st.sampled_from(list(AttemptResult)),
        ran=st.booleans(),
    )
    def end_attempt(self, place, kind, ran):
        case = self._find(place, Attempt)
        certain = {
            AttemptResult.ANSWERED: True,
            AttemptResult.UNUSABLE: True,
            AttemptResult.NOT_SENT: False,
            AttemptResult.REFUSED: False,
        }
        if certain.get(kind, ran):
            self.runs[case["key"]] += 1
            case["ran"] += 1
        answer = ANSWER if kind in (AttemptResult.ANSWERED, AttemptResult.REFUSED) else None
        self._feed(case, AttemptEnded(case["effect"].number, kind, answer))

    @precondition(lambda self: self._find(0, SubmitSettle))
    @rule(place=st.integers(0, 5), is_kept=st.booleans())
    def settle(self, place, is_kept):
        case = self._find(place, SubmitSettle)
        if is_kept:
            change(self.ledger, self.now, case["effect"].command)
        self._feed(case, SettleAnswered(is_kept))

    @precondition(lambda self: len(self.open) > 3)
    @rule(place=st.integers(0, 5))
    def kill_entry(self, place):
        case = self.open.pop(place % len(self.open))
        if isinstance(case["effect"], Attempt):
            # The request was on its way: the target may still run it.
            self.runs[case["key"]] += 1

    @rule(seconds=st.sampled_from([0.1, 0.1, 0.1, 1.0, 25.0]))
    def advance(self, seconds):
        self.now += seconds
        self.ledger.advance(self.now)
        for case in list(self.open):
            if type(case["effect"]).__name__ == "Wait":
                self._feed(case, WaitEnded())

    @invariant()
    def each_order_ran_at_most_once(self):
        assert all(runs <= 1 for runs in self.runs.values())

    @invariant()
    def not_run_was_said_with_proof(self):
        assert not any(case["ran"] for case in self.told_not_run)

    def _find(self, place, kind):
        cases = [case for case in self.open if isinstance(case["effect"], kind)]
        return cases[place % len(cases)] if cases else None

    def _feed(self, case, message):
        for effect in case["machine"].handle(self.now, message):
            if isinstance(effect, Command):
                # CommandSubmitter submits it eventually, in any order relative to late claims.
                change(self.ledger, self.now, effect.command)
            else:
                case["effect"] = effect
            if isinstance(effect, Respond | Reject):
                self.open.remove(case)
                if effect.outcome == ExecutionOutcome.NOT_RUN:
                    self.told_not_run.append(case)


class TestOrders(OrdersMachine.TestCase):
    pass


class EagerMachine(OrderMachine):
    """An order that runs although no claim was granted in time: the test must notice."""

    def _handle_claim(self, now, result):
        if result is None:
            return self._try_target(now)
        return super()._handle_claim(now, result)


class HopefulMachine(OrderMachine):
    """An order that goes to another target without proof: the test must notice."""

    def _handle_end(self, now, target, ended):
        if ended.kind in (AttemptResult.BROKEN, AttemptResult.TIMED_OUT):
            return self._try_target(now)
        return super()._handle_end(now, target, ended)


class BoastfulMachine(OrderMachine):
    """An order whose broken attempt counts as not run: the test must notice."""

    def _handle_end(self, now, target, ended):
        if ended.kind == AttemptResult.BROKEN:
            return [self._reject(502, ExecutionOutcome.NOT_RUN, "broken")]
        return super()._handle_end(now, target, ended)


class ForgetfulLedger(Ledger):
    """A ledger that frees silent claims: the test must notice."""

    def _expire_record(self, time, key):
        record = self._records.get(key)
        if record is not None and record.expires <= time:
            del self._records[key]


UNSHRUNK = settings(phases=[Phase.generate], report_multiple_bugs=False, max_examples=300)


class TestFailsWithoutMechanism:
    @pytest.mark.parametrize("double", [EagerMachine, HopefulMachine, BoastfulMachine])
    def test_machine(self, double):
        machine = type("Machine", (OrdersMachine,), {"create_machine": double})
        with pytest.raises(AssertionError):
            run_state_machine_as_test(machine, settings=UNSHRUNK)

    def test_ledger(self):
        machine = type("Machine", (OrdersMachine,), {"create_ledger": ForgetfulLedger})
        with pytest.raises(AssertionError):
            run_state_machine_as_test(machine, settings=UNSHRUNK)


def start_order(now: float = 0.0):
    context = FakeContext()
    machine = OrderMachine(create_request(ORDER, key="k"), context)
    (claim,) = machine.handle(now, Started())
    return machine, claim, context


class TestOrderMachine:
    def test_claim_is_given_back_when_its_answer_is_late(self):
        machine, claim, _ = start_order()
        granted = ClaimAnswered(ClaimResult(ClaimState.GRANTED))
        command, reject = machine.handle(2.5, granted)
        assert command == Command(AbandonKey(claim.command.claim, claim.command.key))
        assert reject.outcome == ExecutionOutcome.NOT_RUN

    def test_claim_that_commits_after_it_was_given_back_is_not_granted(self):
        _, claim, _ = start_order()
        ledger = Ledger()
        ledger.abandon(0.0, AbandonKey(claim.command.claim, claim.command.key))
        assert ledger.claim(1.0, claim.command).state == ClaimState.ABANDONED
        assert ledger.get_record(claim.command.key) is None

    def test_refused_order_goes_to_another_target(self):
        machine, _, _ = start_order()
        (first,) = machine.handle(0.1, ClaimAnswered(ClaimResult(ClaimState.GRANTED)))
        (second,) = machine.handle(0.2, AttemptEnded(first.number, AttemptResult.REFUSED, ANSWER))
        assert second.target.address != first.target.address

    def test_order_without_known_outcome_is_listed(self):
        ledger = Ledger()
        machine, claim, _ = start_order()
        result = ledger.claim(0.0, claim.command)
        (attempt,) = machine.handle(0.1, ClaimAnswered(result))
        command, reject = machine.handle(1.0, AttemptEnded(attempt.number, AttemptResult.BROKEN))
        ledger.suspend(1.0, command.command)
        assert reject.outcome == ExecutionOutcome.UNKNOWN
        assert [record.key for record in ledger.list_unresolved()] == [claim.command.key]

    def test_order_whose_entry_died_is_listed(self):
        ledger = Ledger()
        _, claim, _ = start_order()
        ledger.claim(0.0, claim.command)
        ledger.advance(claim.command.patience + 1)
        assert len(ledger.list_unresolved()) == 1

    def test_answer_of_an_old_attempt_is_ignored(self):
        machine, _, _ = start_order()
        (first,) = machine.handle(0.1, ClaimAnswered(ClaimResult(ClaimState.GRANTED)))
        (second,) = machine.handle(0.2, AttemptEnded(first.number, AttemptResult.NOT_SENT))
        assert (
            machine.handle(0.3, AttemptEnded(first.number, AttemptResult.ANSWERED, ANSWER)) == []
        )
        (settle,) = machine.handle(
            0.4, AttemptEnded(second.number, AttemptResult.ANSWERED, ANSWER)
        )
        assert isinstance(settle, SubmitSettle)

    def test_key_with_another_request_is_a_conflict(self):
        ledger = Ledger()
        _, claim, _ = start_order()
        ledger.claim(0.0, claim.command)
        other = OrderMachine(create_request(ORDER, key="k", digest="e"), FakeContext("e2"))
        (again,) = other.handle(0.0, Started())
        (reject,) = other.handle(0.0, ClaimAnswered(ledger.claim(0.0, again.command)))
        assert (reject.status, reject.outcome) == (422, ExecutionOutcome.NOT_RUN)

    def test_quarantined_order_is_not_claimed(self):
        context = FakeContext()
        context.quarantined = True
        machine = OrderMachine(create_request(ORDER, key="k"), context)
        (reject,) = machine.handle(0.0, Started())
        assert reject.outcome == ExecutionOutcome.NOT_RUN


class TestRetention:
    def test_key_is_kept_for_its_window(self):
        ledger = Ledger()
        _, claim, _ = start_order()
        command = claim.command
        ledger.claim(0.0, command)
        settle = SettleKey(command.claim, command.key, ANSWER, "d", "repuestos", command.window)
        ledger.settle(1.0, settle)
        ledger.advance(command.window)
        assert ledger.get_record(command.key) is not None
        ledger.advance(command.window + 2)
        assert ledger.get_record(command.key) is None

    def test_state_comes_back_from_a_snapshot(self):
        ledger = Ledger()
        _, claim, _ = start_order()
        ledger.claim(0.0, claim.command)
        again = Ledger(ledger.capture())
        again.advance(claim.command.patience + 1)
        assert len(again.list_unresolved()) == 1
