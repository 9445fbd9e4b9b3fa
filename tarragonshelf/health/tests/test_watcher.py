"""Tests of what a watcher reports, and how often."""

from ...configuration import Detection
from ...health import Evidence, EvidenceDigest, ReadyTarget, Watcher

READY = tuple(ReadyTarget(f"t{n}", "1") for n in range(6))
DETECTION = Detection(false_ejection_rate=1e-3, miss_rate=1e-3)


def record_failing_target(watcher: Watcher, now: float, target: str = "t0") -> None:
    """Record evidence of two entries that a target fails and the others answer."""
    for source in ("e1", "e2"):
        items = [Evidence("s", item.address, "1", answered=5) for item in READY]
        items[0] = Evidence("s", target, "1", failed=5)
        watcher.record(now, EvidenceDigest(source, tuple(items)))


def count_reports(watcher: Watcher, ready, seconds: float, start: float = 0.0) -> int:
    """Return the number of reports while no ejection is granted."""
    reports = 0
    for step in range(round(seconds / 0.25)):
        now = start + step * 0.25
        reports += watcher.report(now, ready=ready, ejections=(), entries=4) is not None
    return reports


class TestWatcher:
    def test_failing_target_is_reported_at_once(self):
        watcher = Watcher("e0", "s", DETECTION)
        record_failing_target(watcher, 0.0)
        report = watcher.report(0.0, ready=READY, ejections=(), entries=4)
        assert [item.address for item in report.suspects] == ["t0"]

    def test_healthy_service_is_not_reported(self):
        assert count_reports(Watcher("e0", "s", DETECTION), READY, 60) == 0

    def test_failing_target_that_left_is_not_reported(self):
        watcher = Watcher("e0", "s", DETECTION)
        record_failing_target(watcher, 0.0)
        assert count_reports(watcher, READY[1:], 60) == 0

    def test_suspect_that_is_not_ejected_is_reported_with_backoff(self):
        watcher = Watcher("e0", "s", DETECTION)
        reports = 0
        for second in range(60):
            record_failing_target(watcher, float(second))
            reports += count_reports(watcher, READY, 1.0, float(second))
        assert 5 < reports <= 60 / 5 + 8
