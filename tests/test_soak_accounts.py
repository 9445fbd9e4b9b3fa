"""The checks of accounts in the soak detect violated guarantees on histories made for them."""

from random import Random

import pytest

from soak._accounts import (
    KEYS_PER_ACCOUNT,
    LIMITED,
    STEADY,
    Account,
    AccountChecks,
    AccountDraws,
    draw_accounts,
)
from soak._history import Execution, History, SentRequest
from soak._site import create_document
from tarragonshelf.platform._documents import DocumentReader

from .test_soak import CI_SEED, list_violated_guarantees, read_seeds

FIRST = {"a": Account("a", ("key-a",), 4.0, 10.0), "b": Account("b", ("key-b",), 0.0, 0.0)}
# The maximum number of requests of the account ``a`` in a window.
ALLOWED = 53
CHANGES = {
    "taken": {**FIRST, "a": Account("a", (), 4.0, 10.0)},
    "moved": {**FIRST, "a": Account("a", (), 4.0, 10.0), "b": Account("b", ("key-a",), 0.0, 0.0)},
    "lowered": {**FIRST, "a": Account("a", ("key-a",), 1.0, 0.0)},
}


def create_checks(change: str = "", *, acknowledged_at: float = 7.0) -> AccountChecks:
    """Return checks with version 1, and with version 2 if something changes in it."""
    checks = AccountChecks(History())
    checks.record_version(0.0, 1, FIRST)
    checks.history.acknowledged_versions.append((0.1, 1))
    if change:
        checks.record_version(acknowledged_at - 0.1, 2, CHANGES[change])
        checks.history.acknowledged_versions.append((acknowledged_at, 2))
    return checks


def send(checks: AccountChecks, key: str, sent_at: float = 10.0, name: str = "q") -> SentRequest:
    sent = SentRequest(name, True, "e", sent_at, key=key)
    checks.history.sent[name] = sent
    return sent


def execute(checks: AccountChecks, headers, now: float = 10.1, name: str = "q") -> list[str]:
    """Let a target run a request, and return the violated guarantees."""
    checks.check_execution(now, name, headers)
    return list_violated_guarantees(checks.history)


def respond(checks: AccountChecks, key: str, status: int) -> list[str]:
    """Respond to a request, and return the violated guarantees."""
    checks.check_response(10.1, send(checks, key), status)
    return list_violated_guarantees(checks.history)


class TestKeys:
    @pytest.mark.parametrize(
        ("key", "tenants", "is_violated"),
        [
            ("key-a", ["a"], False),
            ("key-a", ["b"], True),
            ("key-a", ["a", "b"], True),
            ("key-a", [], True),
            ("key-x", ["a"], True),
            ("key-x", [], True),
            ("", ["a"], True),
            ("", [], True),
        ],
    )
    def test_request_runs_only_under_the_account_of_its_key(self, key, tenants, is_violated):
        checks = create_checks()
        send(checks, key)
        violated = execute(checks, [("Tenant", name) for name in tenants])
        assert violated == ["key"] * is_violated

    @pytest.mark.parametrize(
        "header", [("Authorization", "Token key-a"), ("authorization", ""), ("X", "is key-a")]
    )
    def test_target_receives_no_key(self, header):
        checks = create_checks()
        send(checks, "key-a")
        assert execute(checks, [("Tenant", "a"), header]) == ["key"]

    # A key that was taken away works for up to 5 s, one that was moved for 2.5 s.
    @pytest.mark.parametrize(
        ("change", "acknowledged_at", "is_violated"),
        [
            ("taken", 4.9, True),
            ("taken", 5.1, False),
            ("moved", 7.4, True),
            ("moved", 7.6, False),
        ],
    )
    def test_key_runs_under_its_former_account(self, change, acknowledged_at, is_violated):
        checks = create_checks(change, acknowledged_at=acknowledged_at)
        send(checks, "key-a")
        assert execute(checks, [("Tenant", "a")]) == ["key"] * is_violated

    @pytest.mark.parametrize(("sent_at", "is_violated"), [(6.0, True), (6.95, False)])
    def test_key_runs_under_its_next_account_before_that_was_sent(self, sent_at, is_violated):
        checks = create_checks("moved")
        send(checks, "key-a", sent_at)
        violated = execute(checks, [("Tenant", "b")], now=sent_at + 0.1)
        assert violated == ["key"] * is_violated

    def test_disturbed_entry_may_use_an_older_version_but_no_other_account(self):
        checks = create_checks("taken", acknowledged_at=1.0)
        checks.history.record_disturbance(9.0, "e")
        send(checks, "key-a")
        assert execute(checks, [("Tenant", "a")]) == []
        assert execute(checks, [("Tenant", "b")]) == ["key"]

    @pytest.mark.parametrize(("acknowledged_at", "is_violated"), [(2.4, True), (2.6, False)])
    def test_disturbed_control_leaves_more_time(self, acknowledged_at, is_violated):
        checks = create_checks("taken", acknowledged_at=acknowledged_at)
        checks.history.record_core(8.0, has_majority=True)
        send(checks, "key-a")
        assert execute(checks, [("Tenant", "a")]) == ["key"] * is_violated

    @pytest.mark.parametrize(
        ("change", "acknowledged_at", "key", "is_violated"),
        [
            ("", 0.0, "key-a", True),
            ("", 0.0, "key-x", False),
            ("", 0.0, "", False),
            ("moved", 7.0, "key-a", True),
            ("taken", 9.9, "key-a", False),
            ("taken", 1.0, "key-a", False),
            ("taken", 11.0, "key-a", True),
        ],
    )
    def test_known_key_is_rejected(self, change, acknowledged_at, key, is_violated):
        checks = create_checks(change, acknowledged_at=acknowledged_at)
        assert respond(checks, key, 401) == ["key"] * is_violated

    @pytest.mark.parametrize("status", [401, 429])
    def test_rejected_lookup_that_ran(self, status):
        checks = create_checks()
        checks.history.executions["q"] = [Execution("t", 10.0, "")]
        assert respond(checks, "key-x", status) == ["refused"]

    @pytest.mark.parametrize("status", [429, 503])
    def test_lookup_that_runs_after_its_refusal(self, status):
        checks = create_checks()
        sent = send(checks, "key-a")
        checks.history.record_response(10.1, sent, status, "", b"")
        checks.history.record_execution(10.2, "q", Execution("t", 10.2, ""), b"")
        assert list_violated_guarantees(checks.history) == ["refused"]

    def test_log_contains_a_key(self, tmp_path):
        checks = create_checks()
        send(checks, "key-a")
        (tmp_path / "e.log").write_text("unknown key")
        checks.check_logs(tmp_path)
        assert not checks.history.violations
        (tmp_path / "e.log").write_text("unknown key key-a")
        checks.check_logs(tmp_path)
        assert list_violated_guarantees(checks.history) == ["key"]


class TestAllowances:
    def run_requests(
        self, checks, number: int, *, account="a", start=20.0, step=0.01
    ) -> list[str]:
        for index in range(number):
            now = start + index * step
            send(checks, f"key-{account}", now, f"q{now}")
            execute(checks, [("Tenant", account)], now, f"q{now}")
        return list_violated_guarantees(checks.history)

    @pytest.mark.parametrize(("number", "violated"), [(53, []), (54, ["allowance"])])
    def test_requests_beyond_the_allowance(self, number, violated):
        assert self.run_requests(create_checks(), number) == violated

    def test_requests_of_two_windows_are_not_added(self):
        checks = create_checks()
        self.run_requests(checks, ALLOWED, step=0.01)
        assert self.run_requests(checks, ALLOWED, start=25.6) == []

    def test_disturbed_entries_count(self):
        checks = create_checks()
        checks.history.record_disturbance(19.0, "e")
        assert self.run_requests(checks, ALLOWED + 1) == ["allowance"]

    def test_request_that_runs_again_counts_once(self):
        checks = create_checks()
        send(checks, "key-a", 20.0)
        for _ in range(ALLOWED + 1):
            assert execute(checks, [("Tenant", "a")], 20.1) == []

    def test_account_without_a_limit(self):
        assert self.run_requests(create_checks(), 200, account="b") == []

    # From 2.5 s after the acknowledgement and one window on, the lower rate binds.
    @pytest.mark.parametrize(
        ("acknowledged_at", "violated"), [(12.4, ["allowance"]), (12.8, []), (25.0, [])]
    )
    def test_lower_rate_binds_one_window_after_it_is_in_force(self, acknowledged_at, violated):
        checks = create_checks("lowered", acknowledged_at=acknowledged_at)
        assert self.run_requests(checks, 26) == violated


class TestDraws:
    def test_seeds_that_failed_before_have_no_accounts_but_one_in_ci_has(self):
        assert not any(draw_accounts(seed) for seed, _ in read_seeds())
        assert draw_accounts(CI_SEED)

    def test_seeds_with_and_without_accounts_are_drawn(self):
        assert 10 < sum(draw_accounts(seed) is not None for seed in range(50)) < 40

    def test_all_changes_are_drawn_and_documents_can_be_read(self):
        draws, changes = AccountDraws(Random(5)), set()
        for version in range(1, 60):
            before = draws.accounts
            draws.change()
            for name in LIMITED:
                was, now = before[name], draws.accounts[name]
                changes.add((len(now.keys) - len(was.keys), now.rate < was.rate))
            assert draws.accounts[STEADY] == before[STEADY]
            document = create_document(version, draws.accounts.values())
            assert len(DocumentReader().read(document).accounts) == len(draws.accounts)
        assert {(-1, False), (1, False), (0, True)} <= changes
        assert max(len(item.keys) for item in draws.accounts.values()) >= KEYS_PER_ACCOUNT

    def test_some_requests_have_no_key_or_an_unknown_one(self):
        draws = AccountDraws(Random(5))
        drawn = [draws.draw_headers() for _ in range(300)]
        assert {key in draws.keys for key, _ in drawn if key} == {True, False}
        assert any(not key and "Authorization" not in headers for key, headers in drawn)
        assert any("Tenant" in headers for _, headers in drawn)
