"""Recorded sessions equal their golden files."""

from .golden import order


class TestGoldenSessions:
    def test_order(self):
        assert order.record_session() == order.GOLDEN_FILE.read_text().splitlines()
