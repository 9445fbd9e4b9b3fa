"""Record one order at three entries: a lost claim reply, a resend, a refusal and a replay.

``python -m tests.golden.order`` rewrites the golden file. Review its changes before committing.
"""

import json
from dataclasses import asdict
from pathlib import Path

from tarragonshelf.execution import (
    AttemptEnded,
    AttemptResult,
    ClaimAnswered,
    Command,
    OrderMachine,
    SettleAnswered,
    Started,
    SubmitClaim,
    SubmitSettle,
)
from tarragonshelf.execution.tests.fakes import ORDER, FakeContext, create_request
from tarragonshelf.execution.tests.test_order import change
from tarragonshelf.ledger import Answer, Ledger

GOLDEN_FILE = Path(__file__).parent / "order.jsonl"
STORED_ANSWER = Answer(201, (), b"ring 7")


class SessionRecorder:
    """Passes events to state machines and records each event and effect as a JSON line."""

    def __init__(self):
        self.lines: list[str] = []
        self.ledger = Ledger()
        self.now = 0.0

    def write(self, entry: str, kind: str, item) -> None:
        """Append one line to the recorded session."""
        fields = {
            "now": self.now,
            "entry": entry,
            kind: type(item).__name__,
            "fields": asdict(item),
        }
        self.lines.append(json.dumps(fields, default=_convert, sort_keys=True))

    def feed(self, entry: str, machine: OrderMachine, event):
        """Handle an event, apply ``Command`` effects to the ledger, and return the last effect."""
        self.write(entry, "event", event)
        effect = None
        for effect in machine.handle(self.now, event):
            self.write(entry, "effect", effect)
            if isinstance(effect, Command):
                self.write("ledger", "result", change(self.ledger, self.now, effect.command))
        return effect

    def submit(self, effect: SubmitClaim | SubmitSettle):
        """Apply the command of an effect to the ledger and return its result."""
        result = change(self.ledger, self.now, effect.command)
        self.write("ledger", "result", result)
        return result


def record_session() -> list[str]:
    """Return the recorded session as JSON lines."""
    session = SessionRecorder()
    first = OrderMachine(create_request(ORDER, key="k"), FakeContext("e1"))
    lost_claim = session.feed("e1", first, Started())
    session.submit(lost_claim)
    session.now = 2.0
    session.feed("e1", first, ClaimAnswered(None))
    second = OrderMachine(create_request(ORDER, key="k", deadline=20.0), FakeContext("e2"))
    claim = session.feed("e2", second, Started())
    attempt = session.feed("e2", second, ClaimAnswered(session.submit(claim)))
    session.now = 2.1
    refusal = AttemptEnded(attempt.number, AttemptResult.REFUSED, Answer(503))
    attempt = session.feed("e2", second, refusal)
    session.now = 2.2
    settle = session.feed(
        "e2", second, AttemptEnded(attempt.number, AttemptResult.ANSWERED, STORED_ANSWER)
    )
    session.submit(settle)
    session.feed("e2", second, SettleAnswered(True))
    session.now = 9.0
    third = OrderMachine(create_request(ORDER, key="k", deadline=20.0), FakeContext("e3"))
    claim = session.feed("e3", third, Started())
    session.feed("e3", third, ClaimAnswered(session.submit(claim)))
    return session.lines


def _convert(value):
    return value.decode() if isinstance(value, bytes) else str(value)


if __name__ == "__main__":
    GOLDEN_FILE.write_text("\n".join(record_session()) + "\n")
