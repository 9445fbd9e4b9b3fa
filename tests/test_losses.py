"""The report of losses classifies each unserved request by what was known of its target."""

import json
from pathlib import Path

from tarragonshelf.queries import (
    LossCategory,
    draw_losses,
    format_losses,
    list_losses,
    merge_logs,
)

GOLDEN = Path(__file__).parent / "golden" / "losses.txt"


def format_log_line(time: float, event: str, vm: str = "e1", **fields) -> str:
    """Return a log line at a time in seconds, with the prefix of a log collector."""
    timestamp = f"{int(time * 1000)}.00000"
    return f"x {vm} " + json.dumps({"time": timestamp, "vm": vm, "event": event, **fields})


def create_waited_for(target: str, seconds: float, *, was_trusted: bool = True) -> list[dict]:
    return [{"target": target, "seconds": seconds, "was_trusted": was_trusted}]


def format_refusal(time: float, request: str, **fields) -> str:
    defaults = {"service": "s", "reason": "deadline", "request": request}
    return format_log_line(time, "request_refused", **{**defaults, **fields})


LOG = [
    format_log_line(1.0, "target_changed", target="t1", service="s"),
    format_log_line(2.0, "request_answered", target="t1", status=200, seconds=0.1, request="a"),
    # Sent to t1 at 2.0, two seconds before any entry avoided t1.
    format_refusal(5.0, "b", waited_for=create_waited_for("t1", 3.0)),
    format_log_line(4.0, "target_avoided", vm="e2", target="t1", evidence="hung", seconds=8.0),
    # Sent to t1 at 4.5, half a second after entry e2 avoided it but while e1 still trusted it,
    # and at 5.0, when e1 did not trust it any more.
    format_refusal(7.5, "c", waited_for=create_waited_for("t1", 3.0)),
    format_refusal(8.0, "d", waited_for=create_waited_for("t1", 3.0, was_trusted=False)),
    format_log_line(9.0, "target_recovered", vm="e2", target="t1", evidence="passed"),
    format_log_line(
        10.0,
        "attempt_failed",
        request="f",
        target="t1",
        outcome="broken",
        seconds=0.2,
        was_trusted=True,
    ),
    format_refusal(10.0, "f", reason="may-have-run", waited_for=[]),
    format_log_line(11.0, "request_answered", target="t1", status=500, seconds=0.2, request="g"),
    format_refusal(12.0, "h", reason="all-full"),
    format_log_line(13.0, "request_abandoned", request="i", service="s"),
    format_log_line(14.0, "lines_left_out", of="request_answered", count=7),
]


def read_time(line: str) -> float:
    return float(json.loads(line[line.find("{") :])["time"])


def read_losses():
    return list_losses(merge_logs([sorted(LOG, key=read_time)]))


class TestLosses:
    def test_each_loss_is_classified_by_what_was_known_when_it_was_sent(self):
        categories = [loss.category for loss in read_losses().losses]
        assert sorted(categories) == sorted(
            [
                LossCategory.UNDETECTED,
                LossCategory.DETECTED_ELSEWHERE,
                LossCategory.SUSPECTED,
                LossCategory.UNDETECTED,
                LossCategory.UNDETECTED,
                LossCategory.NO_TARGET,
                LossCategory.CALLER_GONE,
            ]
        )

    def test_age_of_a_detection_by_another_entry(self):
        late_losses = [
            loss
            for loss in read_losses().losses
            if loss.category == LossCategory.DETECTED_ELSEWHERE
        ]
        assert [loss.detection_age_seconds for loss in late_losses] == [0.5]

    def test_table_matches_the_golden_file(self):
        assert "\n".join(format_losses(read_losses())) + "\n" == GOLDEN.read_text()

    def test_chart_has_a_bar_for_each_second_with_losses(self):
        svg = draw_losses(read_losses())
        assert svg.startswith("<svg ") and svg.endswith("</svg>\n")
        assert svg.count("<rect") == len(LossCategory) + 7
