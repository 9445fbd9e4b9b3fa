"""Classifies lost requests by how they ended and by the detection state of their target."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from ._timeline import Event

SERVER_ERROR_STATUS = 500


class LossCategory(StrEnum):
    """Detection state of the target when a lost request was sent to it.

    ``UNDETECTED``: no entry was avoiding the target yet. ``DETECTED_ELSEWHERE``: another entry
    was avoiding the target, but this entry still trusted it. ``SUSPECTED``: this entry used the
    target although it suspected it of failing. ``NO_TARGET``: the request was refused without a
    failed or unanswered attempt. ``CALLER_GONE``: its caller closed the connection.
    """

    UNDETECTED = "sent before any entry had detected the failure"
    DETECTED_ELSEWHERE = "another entry had already detected the failure"
    SUSPECTED = "the entry itself already suspected the target"
    NO_TARGET = "refused before it was sent to a target"
    CALLER_GONE = "the caller closed its connection"


@dataclass(frozen=True, slots=True)
class Loss:
    """A request that was not served.

    ``time_ms`` is the time of its end in milliseconds since the epoch, ``ending`` a short
    description of how it ended. ``detection_age_seconds`` is the time between the first detection
    of the target's failure and the sending of the request, 0 if it was not detected before.
    """

    time_ms: int
    service: str
    target: str
    ending: str
    category: LossCategory
    detection_age_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class LossReport:
    """Lost requests, number of served ones, and number of omitted log lines by event.

    The log rate limit omits lines, so requests whose lines are missing are not counted.
    """

    losses: tuple[Loss, ...]
    served: int
    omitted_lines: dict[str, int]


@dataclass(slots=True)
class _LossCollector:
    """Collects losses from events that are processed in causal order."""

    services: dict[str, str] = field(default_factory=dict)
    avoided_since: dict[str, int] = field(default_factory=dict)
    attempts: dict[tuple[str, str], dict] = field(default_factory=dict)
    losses: list[Loss] = field(default_factory=list)
    omitted_lines: Counter = field(default_factory=Counter)
    served: int = 0

    def process(self, event: Event) -> None:
        fields = event.fields
        handler = _HANDLERS.get(str(fields.get("event")))
        if handler is not None:
            handler(self, fields, _read_milliseconds(event))

    def process_target(self, fields: dict, _: int) -> None:
        self.services[fields["target"]] = fields.get("service", "")

    def process_avoidance(self, fields: dict, time_ms: int) -> None:
        self.avoided_since.setdefault(fields["target"], time_ms)

    def process_recovery(self, fields: dict, _: int) -> None:
        self.avoided_since.pop(fields["target"], None)

    def process_failed_attempt(self, fields: dict, time_ms: int) -> None:
        self.attempts[_get_request(fields)] = {**fields, "at": time_ms}

    def process_refusal(self, fields: dict, time_ms: int) -> None:
        attempt = self.attempts.pop(_get_request(fields), None)
        unanswered = fields.get("waited_for") or []
        if unanswered:
            self._add_loss(
                time_ms, fields["service"], unanswered[0], f"silent until {fields['reason']}"
            )
        elif attempt is not None:
            ending = f"{attempt['outcome']}, then {fields['reason']}"
            self._add_loss(time_ms, fields["service"], attempt, ending)
        else:
            loss = Loss(
                time_ms, fields["service"], "", str(fields["reason"]), LossCategory.NO_TARGET
            )
            self.losses.append(loss)

    def process_answer(self, fields: dict, time_ms: int) -> None:
        attempt = self.attempts.pop(_get_request(fields), {})
        if int(fields["status"]) < SERVER_ERROR_STATUS:
            self.served += 1
            return
        target = fields["target"]
        last_attempt = {**attempt, "target": target, "seconds": fields.get("seconds", 0.0)}
        self._add_loss(
            time_ms, self.services.get(target, ""), last_attempt, f"status {fields['status']}"
        )

    def process_abandonment(self, fields: dict, time_ms: int) -> None:
        self.attempts.pop(_get_request(fields), None)
        service = str(fields.get("service", ""))
        self.losses.append(Loss(time_ms, service, "", "abandoned", LossCategory.CALLER_GONE))

    def process_omitted_lines(self, fields: dict, _: int) -> None:
        self.omitted_lines[str(fields["of"])] += int(fields["count"])

    def _add_loss(self, time_ms: int, service: str, last_attempt: dict, ending: str) -> None:
        sent_at = time_ms - 1000 * float(last_attempt.get("seconds", 0.0))
        avoided_at = self.avoided_since.get(last_attempt["target"])
        age_seconds = max(0.0, (sent_at - avoided_at) / 1000) if avoided_at is not None else 0.0
        category = LossCategory.DETECTED_ELSEWHERE if age_seconds else LossCategory.UNDETECTED
        if not last_attempt.get("was_trusted", True):
            category = LossCategory.SUSPECTED
        self.losses.append(
            Loss(time_ms, service, last_attempt["target"], ending, category, age_seconds)
        )


_HANDLERS = {
    "target_changed": _LossCollector.process_target,
    "target_avoided": _LossCollector.process_avoidance,
    "target_recovered": _LossCollector.process_recovery,
    "attempt_failed": _LossCollector.process_failed_attempt,
    "request_refused": _LossCollector.process_refusal,
    "request_answered": _LossCollector.process_answer,
    "request_abandoned": _LossCollector.process_abandonment,
    "lines_left_out": _LossCollector.process_omitted_lines,
}


def list_losses(events: Iterable[Event]) -> LossReport:
    """Return every request that was not served, classified by the state of its target.

    Parameters
    ----------
    events : iterable of Event
        Events of all processes in causal order.
    """
    collector = _LossCollector()
    for event in events:
        collector.process(event)
    return LossReport(
        tuple(collector.losses), collector.served, dict(sorted(collector.omitted_lines.items()))
    )


def format_losses(report: LossReport) -> list[str]:
    """Return a table of the losses by category, largest first, and of omitted log lines."""
    total = report.served + len(report.losses)
    lines = [f"{len(report.losses)} of {total} requests were not served"]
    for category, count in Counter(loss.category for loss in report.losses).most_common():
        lines.append(f"{count:6}  {category}")
        matching = [loss for loss in report.losses if loss.category == category]
        endings = Counter((loss.ending, loss.service) for loss in matching)
        lines += [
            f"{number:10}  {ending} ({service})"
            for (ending, service), number in endings.most_common()
        ]
        ages = sorted(
            loss.detection_age_seconds for loss in matching if loss.detection_age_seconds
        )
        if ages:
            lines.append(f"            known for {ages[len(ages) // 2]:.2f} s at the median")
    lines += [
        f"{count:6}  lines left out of {event}" for event, count in report.omitted_lines.items()
    ]
    return lines


def _get_request(fields: dict) -> tuple[str, str]:
    return str(fields.get("vm", "")), str(fields.get("request", ""))


def _read_milliseconds(event: Event) -> int:
    return int(str(event.fields["time"]).split(".")[0])
