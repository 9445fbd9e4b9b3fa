"""Runs one order through its state machine and the ledger, without a network.

``python examples/one_order.py`` prints the outcome of the order and of its resend.
"""

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
    """Return the state machine of one fixed order at an entry."""
    request = Request(1, "POST", "/repuestos", "mancora", "k1", "digest", ROUTE, SERVICE, 10.0)
    return OrderMachine(request, FakeContext(entry))


def main() -> None:
    """Send an order to one entry and resend it to another."""
    ledger = Ledger()
    order = create_order("entry-1")
    (claim,) = order.handle(0.0, Started())
    granted = ledger.claim(0.0, claim.command)
    (attempt,) = order.handle(0.1, ClaimAnswered(granted))
    print(f"claim {granted.state}, sent to {attempt.target.address}")
    answer = Answer(201, (), b"ring 7")
    (settle,) = order.handle(0.2, AttemptEnded(attempt.number, AttemptResult.ANSWERED, answer))
    ledger.settle(0.2, settle.command)
    (reply,) = order.handle(0.3, SettleAnswered(True))
    print(f"first caller: {reply.outcome} {reply.answer.body.decode()}")
    resend = create_order("entry-2")
    (claim,) = resend.handle(1.0, Started())
    (reply,) = resend.handle(1.0, ClaimAnswered(ledger.claim(1.0, claim.command)))
    print(f"resend: {reply.outcome} {reply.answer.body.decode()}")


if __name__ == "__main__":
    main()
