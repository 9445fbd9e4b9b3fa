"""Where requests were lost, by cause and by what was known at that moment."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from ._timeline import Event

SERVER_ERROR = 500


class Knowledge(StrEnum):
    """What was believed of the target when a request was sent to it, or that it was to none."""

    UNKNOWN = "first failures of a spell"
    NEWS_LATE = "another entry had seen it fail"
    DOUBTED = "the entry itself did not trust it"
    NO_TARGET = "sent to no target at the end"
    CALLER_GONE = "the caller had gone"


@dataclass(frozen=True, slots=True)
class Loss:
    """A request that was not served.

    ``at`` is when it ended, in milliseconds since the epoch; ``ending`` how. ``news_age`` is for
    how many seconds another entry had known, 0 if nobody had.
    """

    at: int
    service: str
    target: str
    ending: str
    knowledge: Knowledge
    news_age: float = 0.0


@dataclass(frozen=True, slots=True)
class LossLedger:
    """All losses, how many requests were served, and how many log lines are missing, by event."""

    losses: tuple[Loss, ...]
    served: int
    left_out: dict[str, int]


@dataclass(slots=True)
class _Reader:
    """Goes through events in causal order."""

    services: dict[str, str] = field(default_factory=dict)
    failing_since: dict[str, int] = field(default_factory=dict)
    attempts: dict[tuple[str, str], dict] = field(default_factory=dict)
    losses: list[Loss] = field(default_factory=list)
    left_out: Counter = field(default_factory=Counter)
    served: int = 0

    def read(self, event: Event) -> None:
        fields = event.fields
        handler = _HANDLERS.get(str(fields.get("event")))
        if handler is not None:
            handler(self, fields, _read_milliseconds(event))

    def note_target(self, fields: dict, _: int) -> None:
        self.services[fields["target"]] = fields.get("service", "")

    def note_avoided(self, fields: dict, at: int) -> None:
        self.failing_since.setdefault(fields["target"], at)

    def note_recovered(self, fields: dict, _: int) -> None:
        self.failing_since.pop(fields["target"], None)

    def note_attempt(self, fields: dict, at: int) -> None:
        self.attempts[_get_request(fields)] = {**fields, "at": at}

    def note_refused(self, fields: dict, at: int) -> None:
        attempt = self.attempts.pop(_get_request(fields), None)
        waits = fields.get("waited_for") or []
        if waits:
            self._add(at, fields["service"], waits[0], f"silent until {fields['reason']}")
        elif attempt is not None:
            ending = f"{attempt['outcome']}, then {fields['reason']}"
            self._add(at, fields["service"], attempt, ending)
        else:
            loss = Loss(at, fields["service"], "", str(fields["reason"]), Knowledge.NO_TARGET)
            self.losses.append(loss)

    def note_answered(self, fields: dict, at: int) -> None:
        attempt = self.attempts.pop(_get_request(fields), {})
        if int(fields["status"]) < SERVER_ERROR:
            self.served += 1
            return
        target = fields["target"]
        source = {**attempt, "target": target, "seconds": fields.get("seconds", 0.0)}
        self._add(at, self.services.get(target, ""), source, f"status {fields['status']}")

    def note_abandoned(self, fields: dict, at: int) -> None:
        self.attempts.pop(_get_request(fields), None)
        service = str(fields.get("service", ""))
        self.losses.append(Loss(at, service, "", "abandoned", Knowledge.CALLER_GONE))

    def note_left_out(self, fields: dict, _: int) -> None:
        self.left_out[str(fields["of"])] += int(fields["count"])

    def _add(self, at: int, service: str, source: dict, ending: str) -> None:
        began = at - 1000 * float(source.get("seconds", 0.0))
        since = self.failing_since.get(source["target"])
        age = max(0.0, (began - since) / 1000) if since is not None else 0.0
        knowledge = Knowledge.NEWS_LATE if age else Knowledge.UNKNOWN
        if not source.get("was_trusted", True):
            knowledge = Knowledge.DOUBTED
        self.losses.append(Loss(at, service, source["target"], ending, knowledge, age))


_HANDLERS = {
    "target_changed": _Reader.note_target,
    "target_avoided": _Reader.note_avoided,
    "target_recovered": _Reader.note_recovered,
    "attempt_failed": _Reader.note_attempt,
    "request_refused": _Reader.note_refused,
    "request_answered": _Reader.note_answered,
    "request_abandoned": _Reader.note_abandoned,
    "lines_left_out": _Reader.note_left_out,
}


def list_losses(events: Iterable[Event]) -> LossLedger:
    """Return every request that was not served, with what was known when it was sent.

    Parameters
    ----------
    events : iterable of Event
        Of all processes, in causal order.
    """
    reader = _Reader()
    for event in events:
        reader.read(event)
    return LossLedger(tuple(reader.losses), reader.served, dict(sorted(reader.left_out.items())))


def format_losses(ledger: LossLedger) -> list[str]:
    """Return a table of the losses, the largest causes first, and what it cannot see."""
    total = ledger.served + len(ledger.losses)
    lines = [f"{len(ledger.losses)} of {total} requests were not served"]
    for knowledge, count in Counter(loss.knowledge for loss in ledger.losses).most_common():
        lines.append(f"{count:6}  {knowledge}")
        of_one = [loss for loss in ledger.losses if loss.knowledge == knowledge]
        endings = Counter((loss.ending, loss.service) for loss in of_one)
        lines += [
            f"{part:10}  {how} ({service})" for (how, service), part in endings.most_common()
        ]
        ages = sorted(loss.news_age for loss in of_one if loss.news_age)
        if ages:
            lines.append(f"            known for {ages[len(ages) // 2]:.2f} s at the median")
    lines += [f"{count:6}  lines left out of {event}" for event, count in ledger.left_out.items()]
    return lines


def _get_request(fields: dict) -> tuple[str, str]:
    return str(fields.get("vm", "")), str(fields.get("request", ""))


def _read_milliseconds(event: Event) -> int:
    return int(str(event.fields["time"]).split(".")[0])
