"""Account rates, retry budget, admission and route matching."""

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
    def test_burst_is_granted_before_the_rate_applies(self):
        rates = AccountRateLimiter(DOCUMENT)
        assert [rates.take(0.0, "mancora", 1) == 0.0 for _ in range(5)] == [True] * 3 + [False] * 2
        assert rates.take(1 / 30, "mancora", 1) == 0.0

    def test_entries_of_a_caller_together_enforce_the_rate(self):
        entries = [AccountRateLimiter(DOCUMENT) for _ in range(3)]
        admitted = sum(
            item.take(step / 100, "mancora", 48) == 0.0 for step in range(1000) for item in entries
        )
        assert admitted <= 30 * 10 + 3 + 3

    def test_unknown_account_is_not_limited(self):
        assert AccountRateLimiter(DOCUMENT).take(0.0, "nadie", 1) == 0.0


class TestRetryBudget:
    def test_retries_are_limited_to_a_share_of_requests(self):
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
