"""The ledger of losses: each request that was not served, by what was known of its target."""

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


def write_line(at: float, event: str, vm: str = "e1", **fields) -> str:
    """Return a log line at a time in seconds, with a collector's prefix."""
    stamp = f"{int(at * 1000)}.00000"
    return f"x {vm} " + json.dumps({"time": stamp, "vm": vm, "event": event, **fields})


def wait_for(target: str, seconds: float, *, was_trusted: bool = True) -> list[dict]:
    return [{"target": target, "seconds": seconds, "was_trusted": was_trusted}]


def refuse(at: float, request: str, **fields) -> str:
    known = {"service": "s", "reason": "deadline", "request": request}
    return write_line(at, "request_refused", **{**known, **fields})


LOG = [
    write_line(1.0, "target_changed", target="t1", service="s"),
    write_line(2.0, "request_answered", target="t1", status=200, seconds=0.1, request="a"),
    # Sent at 2.0, two seconds before anybody knew.
    refuse(5.0, "b", waited_for=wait_for("t1", 3.0)),
    write_line(4.0, "target_avoided", vm="e2", target="t1", evidence="hung", seconds=8.0),
    # Sent at 4.5, half a second after the other entry knew, and once it was known here.
    refuse(7.5, "c", waited_for=wait_for("t1", 3.0)),
    refuse(8.0, "d", waited_for=wait_for("t1", 3.0, was_trusted=False)),
    write_line(9.0, "target_recovered", vm="e2", target="t1", evidence="passed"),
    write_line(
        10.0,
        "attempt_failed",
        request="f",
        target="t1",
        outcome="broken",
        seconds=0.2,
        was_trusted=True,
    ),
    refuse(10.0, "f", reason="may-have-run", waited_for=[]),
    write_line(11.0, "request_answered", target="t1", status=500, seconds=0.2, request="g"),
    refuse(12.0, "h", reason="all-full"),
    write_line(13.0, "request_abandoned", request="i", service="s"),
    write_line(14.0, "lines_left_out", of="request_answered", count=7),
]


def read_time(line: str) -> float:
    return float(json.loads(line[line.find("{") :])["time"])


def read_ledger():
    return list_losses(merge_logs([sorted(LOG, key=read_time)]))


class TestLosses:
    def test_each_loss_is_put_down_to_what_was_known_when_it_was_sent(self):
        found = [loss.category for loss in read_ledger().losses]
        assert sorted(found) == sorted(
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

    def test_the_age_of_the_news_is_told(self):
        late = [
            loss
            for loss in read_ledger().losses
            if loss.category == LossCategory.DETECTED_ELSEWHERE
        ]
        assert [loss.detection_age_seconds for loss in late] == [0.5]

    def test_the_table_is_as_it_was_read_and_committed(self):
        assert "\n".join(format_losses(read_ledger())) + "\n" == GOLDEN.read_text()

    def test_the_picture_has_a_bar_for_each_second_with_losses(self):
        drawn = draw_losses(read_ledger())
        assert drawn.startswith("<svg ") and drawn.endswith("</svg>\n")
        assert drawn.count("<rect") == len(LossCategory) + 7
