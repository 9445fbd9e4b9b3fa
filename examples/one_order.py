"""Follows one order through the decisions, without a network: ``python examples/one_order.py``."""

from tarragonshelf.configuration import Route, Service
from tarragonshelf.execution import (
    AttemptEnded,
    AttemptResult,
    ClaimAnswered,
    OrderMachine,
    Request,
    SettleAnswered,
    Started,
)
from tarragonshelf.execution.tests.fakes import FakeContext
from tarragonshelf.ledger import Answer, Ledger

SERVICE = Service(name="repuestos", targets=3, floor=1)
ROUTE = Route(path="/repuestos", service="repuestos", methods=("POST",), not_repeatable=True)


def create_order(entry: str) -> OrderMachine:
    """Return the machine of the same order at an entry."""
    request = Request(1, "POST", "/repuestos", "mancora", "k1", "digest", ROUTE, SERVICE, 10.0)
    return OrderMachine(request, FakeContext(entry))


def main() -> None:
    """Place an order at one entry and send it again at another."""
    ledger = Ledger()
    first = create_order("entry-1")
    (claim,) = first.handle(0.0, Started())
    granted = ledger.claim(0.0, claim.command)
    (attempt,) = first.handle(0.1, ClaimAnswered(granted))
    print(f"claim {granted.state}, sent to {attempt.target.address}")
    answer = Answer(201, (), b"ring 7")
    (settle,) = first.handle(0.2, AttemptEnded(attempt.number, AttemptResult.ANSWERED, answer))
    ledger.settle(0.2, settle.command)
    (told,) = first.handle(0.3, SettleAnswered(True))
    print(f"first caller: {told.outcome} {told.answer.body.decode()}")
    again = create_order("entry-2")
    (claim,) = again.handle(1.0, Started())
    (told,) = again.handle(1.0, ClaimAnswered(ledger.claim(1.0, claim.command)))
    print(f"resend: {told.outcome} {told.answer.body.decode()}")


if __name__ == "__main__":
    main()
