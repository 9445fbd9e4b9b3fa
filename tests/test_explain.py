"""The cause of a failed request is found from its id and the logs alone."""

import json

import pytest

from tarragonshelf.forwarding import RefusalReason
from tarragonshelf.queries import explain_request, format_explanation, merge_logs


def format_log_line(time: float, vm: str, event: str, **fields) -> str:
    line = {"time": f"{int(time * 1000)}.00000", "vm": vm, "role": "entry", "event": event}
    return json.dumps({**line, **fields})


LOG_OF_LOST_ORDER = [
    format_log_line(1.0, "e1", "target_avoided", target="t9", evidence="broken", source="hub"),
    format_log_line(5.0, "e1", "target_avoided", target="t1", evidence="error", source="hub"),
    format_log_line(5.5, "e2", "target_avoided", target="t1", evidence="error", source="hub"),
    format_log_line(9.0, "e1", "attempt_failed", request="q1", target="t1", outcome="broken"),
    format_log_line(
        9.0, "e1", "request_refused", request="q1", reason="may-have-run", has_run=True
    ),
]


class TestExplain:
    def test_order_lost_to_a_broken_connection(self):
        explanation = explain_request(merge_logs([LOG_OF_LOST_ORDER]), "q1")
        assert [event.fields["event"] for event in explanation.events] == [
            "target_avoided",
            "attempt_failed",
            "request_refused",
        ]
        assert "target t1 broke after the request was sent" in explanation.cause
        assert "it may have run" in explanation.cause

    @pytest.mark.parametrize(
        ("fields", "cause"),
        [
            ({"reason": "all-full", "service": "s"}, "held more than it could finish"),
            ({"reason": "no-budget"}, "the budget for repeats was used up"),
            ({"reason": "no-target", "service": "s"}, "no target of service s was known"),
            ({"reason": "limited", "service": "s"}, "names a request rate limit"),
            ({"reason": "paused", "service": "s"}, "asked this entry to send nothing"),
            ({"reason": "deadline", "has_run": True}, "its time was up"),
        ],
    )
    def test_cause_of_each_refusal(self, fields, cause):
        lines = [format_log_line(1.0, "e1", "request_refused", request="q2", **fields)]
        assert cause in explain_request(merge_logs([lines]), "q2").cause

    @pytest.mark.parametrize("reason", RefusalReason)
    def test_every_reason_has_a_cause(self, reason):
        fields = {"reason": reason, "service": "s"}
        lines = [format_log_line(1.0, "e1", "request_refused", request="q2", **fields)]
        assert not explain_request(merge_logs([lines]), "q2").cause.startswith(reason)

    def test_limit_of_the_target_is_shown(self):
        lines = [
            format_log_line(1.0, "e1", "limit_declared", target="t1", rate=2.0, source="own"),
            format_log_line(2.0, "e1", "limited_attempt", request="q4", target="t1", rate=2.0),
            format_log_line(2.3, "e1", "request_answered", request="q4", target="t1", status=200),
        ]
        explanation = explain_request(merge_logs([lines]), "q4")
        assert [event.fields["event"] for event in explanation.events] == [
            "limit_declared",
            "limited_attempt",
            "request_answered",
        ]

    def test_departure_of_the_target_is_shown(self):
        lines = [
            format_log_line(1.0, "e1", "target_leaving", target="t1", service="s", held=2),
            format_log_line(2.3, "e1", "request_answered", request="q4", target="t1", status=200),
        ]
        explanation = explain_request(merge_logs([lines]), "q4")
        events = [event.fields["event"] for event in explanation.events]
        assert events == ["target_leaving", "request_answered"]

    def test_answer_after_a_failed_attempt_names_that_target(self):
        lines = [
            format_log_line(
                1.0, "e1", "attempt_failed", request="q3", target="t1", outcome="not-sent"
            ),
            format_log_line(
                2.0, "e1", "request_answered", request="q3", target="t2", status=200, seconds=1
            ),
        ]
        cause = explain_request(merge_logs([lines]), "q3").cause
        assert cause == "target t2 answered 200 after 1 s; before it: t1 not-sent"

    def test_request_id_that_is_in_no_log(self):
        explanation = explain_request(merge_logs([LOG_OF_LOST_ORDER]), "q9")
        assert format_explanation(explanation)[-1].startswith("cause: no log names request q9")

    def test_prefix_of_a_log_collector_is_ignored(self):
        lines = [f"   9.0000 front-1 {line}" for line in LOG_OF_LOST_ORDER]
        assert len(explain_request(merge_logs([lines]), "q1").events) == 3
