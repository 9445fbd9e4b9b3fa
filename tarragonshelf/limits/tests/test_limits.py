"""Rates, retry budget and admission."""

from ...configuration import check_document
from ...limits import AccountRateLimiter, AdmissionController, Priority, RetryBudget
from ...routing import RouteTable

CONTENT = {
    "name": "test",
    "regions": [{"name": "norte", "data_centres": ["n1"]}],
    "services": [{"name": "rondas", "targets": 1, "floor": 0}],
    "routes": [
        {"path": "/rondas", "service": "rondas"},
        {"path": "/rondas/firmas", "service": "rondas", "methods": ["GET", "POST"]},
    ],
    "accounts": [{"name": "mancora", "rate": 30, "burst": 3}],
}
DOCUMENT = check_document(CONTENT).ok


class TestAccountRates:
    def test_burst_then_rate(self):
        rates = AccountRateLimiter(DOCUMENT)
        assert [rates.take(0.0, "mancora", 1) == 0.0 for _ in range(5)] == [True] * 3 + [False] * 2
        assert rates.take(1 / 30, "mancora", 1) == 0.0

    def test_fleet_holds_the_rate_over_the_entries_that_a_caller_uses(self):
        entries = [AccountRateLimiter(DOCUMENT) for _ in range(3)]
        let_in = sum(
            item.take(step / 100, "mancora", 48) == 0.0 for step in range(1000) for item in entries
        )
        assert let_in <= 30 * 10 + 3 + 3

    def test_unknown_account_has_no_rate(self):
        assert AccountRateLimiter(DOCUMENT).take(0.0, "nadie", 1) == 0.0


class TestRetryBudget:
    def test_retries_stay_a_share_of_requests(self):
        budget = RetryBudget(0.1)
        retries = 0
        for _ in range(1000):
            budget.earn()
            retries += budget.spend()
        assert retries <= 1000 * 0.1 + 10


class TestAdmission:
    def test_lookups_are_shed_before_orders(self):
        admission = AdmissionController(capacity=10)
        lookups = [admission.admit(Priority.LOOKUP) for _ in range(10)]
        assert lookups == [True] * 8 + [False] * 2
        assert admission.admit(Priority.ORDER)
        admission.release()
        assert admission.under_way == 8


class TestRouteTable:
    def test_longest_prefix_of_whole_segments_wins(self):
        routes = RouteTable(DOCUMENT)
        assert routes.match("GET", "/rondas/firmas/7").path == "/rondas/firmas"
        assert routes.match("GET", "/rondas/7").path == "/rondas"
        assert routes.match("GET", "/rondas2") is None
        assert routes.match("POST", "/rondas") is None
