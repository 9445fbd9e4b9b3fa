"""The checks of accounts in the soak detect violated guarantees on histories made for them."""

from random import Random

import pytest

from soak._accounts import STEADY, Account, AccountChecks, AccountDraws, draw_accounts
from soak._history import Execution, History, SentRequest
from soak._site import create_document
from tarragonshelf.platform._documents import DocumentReader

from .test_soak import CI_SEED, list_violated_guarantees, read_seeds

# In a window, 53 requests of the account ``a`` may run, or 25 by the lowered rate.
A, B = Account("a", ("key-a",), 4.0, 10.0), Account("b", ("key-b",))
CHANGES = {
    "taken": {"a": Account("a", (), 4.0, 10.0), "b": B},
    "moved": {"a": Account("a", (), 4.0, 10.0), "b": Account("b", ("key-a",))},
    "lowered": {"a": Account("a", ("key-a",), 1.0, 0.0), "b": B},
}


def create_checks(change: str = "", acknowledged_at: float = 7.0) -> AccountChecks:
    """Return checks with version 1, and with version 2 if something changes in it."""
    checks = AccountChecks(History(), AccountDraws(Random(5)))
    checks.versions[1] = (0.0, {"a": A, "b": B})
    if change:
        checks.versions[2] = (acknowledged_at - 0.1, CHANGES[change])
        checks.history.acknowledged_versions += [(0.1, 1), (acknowledged_at, 2)]
    return checks


def execute(checks: AccountChecks, key: str, *headers, at=10.0, request_id="q") -> list[str]:
    """Let a target run a request that was sent at a time, and return the violated guarantees."""
    checks.history.sent[request_id] = SentRequest(request_id, True, "e", at, key=key)
    checks.check_execution(at + 0.1, request_id, headers)
    return list_violated_guarantees(checks.history)


@pytest.mark.parametrize("headers", [[], [("Tenant", "b")], [("Tenant", "a"), ("Tenant", "b")]])
@pytest.mark.parametrize("key", ["key-a", "key-x", ""])
def test_request_runs_under_no_other_account(key, headers):
    assert execute(create_checks(), key, *headers) == ["key"]
    assert execute(create_checks(), key, ("Tenant", "a")) == ["key"] * (key != "key-a")


def test_target_receives_no_key():
    for header in [("authorization", ""), ("X", "is key-a")]:
        assert execute(create_checks(), "key-a", ("Tenant", "a"), header) == ["key"]


# A key that was taken away works for up to 5 s, one that was moved for 2.5 s.
@pytest.mark.parametrize(("change", "seconds"), [("taken", 5.0), ("moved", 2.5)])
def test_key_runs_under_its_former_account(change, seconds):
    tenant = ("Tenant", "a")
    assert not execute(create_checks(change, 10.1 - seconds), "key-a", tenant)
    assert execute(create_checks(change, 9.9 - seconds), "key-a", tenant) == ["key"]
    disturbed = create_checks(change, 9.9 - seconds)
    disturbed.history.record_disturbance(9.0, "e")
    assert not execute(disturbed, "key-a", tenant)
    assert execute(disturbed, "key-b", tenant) == ["key"]


@pytest.mark.parametrize(
    ("key", "change", "acknowledged_at", "is_violated"),
    [
        ("key-a", "", 0.0, True),
        ("key-x", "", 0.0, False),
        ("", "", 0.0, False),
        ("key-a", "moved", 7.0, True),
        ("key-a", "taken", 9.9, False),
        ("key-a", "taken", 11.0, True),
    ],
)
def test_known_key_is_rejected(key, change, acknowledged_at, is_violated):
    checks = create_checks(change, acknowledged_at)
    checks.check_response(10.1, SentRequest("q", True, "e", 10.0, key=key), 401)
    assert list_violated_guarantees(checks.history) == ["key"] * is_violated


@pytest.mark.parametrize("status", [401, 429, 503])
@pytest.mark.parametrize("is_run_before", [True, False])
def test_rejected_request_runs(status, is_run_before):
    checks, sent = create_checks(), SentRequest("q", False, "e", 10.0)
    checks.history.sent["q"] = sent
    if not is_run_before:
        checks.history.record_response(10.1, sent, status, "", b"")
    checks.history.record_execution(10.0, "q", Execution("t", 10.0, ""), b"")
    if is_run_before:
        checks.history.record_response(10.1, sent, status, "", b"")
    assert list_violated_guarantees(checks.history) == ["refused"]


# A lower rate binds in windows that begin 2.5 s after its acknowledgement or later.
@pytest.mark.parametrize(("acknowledged_at", "allowed"), [(12.4, 25), (12.9, 53), (25.0, 53)])
def test_requests_beyond_the_allowance(acknowledged_at, allowed):
    checks = create_checks("lowered", acknowledged_at)
    checks.history.record_disturbance(15.0, "e")
    for number in range(allowed):
        assert not execute(checks, "key-a", ("Tenant", "a"), at=20.0, request_id=f"q{number}")
    assert not execute(checks, "key-a", ("Tenant", "a"), at=20.0, request_id="q0")
    assert execute(checks, "key-a", ("Tenant", "a"), at=20.0) == ["allowance"]


def test_seeds_that_failed_before_have_no_accounts_but_one_in_ci_has():
    assert not any(draw_accounts(seed) for seed, _ in read_seeds())
    assert draw_accounts(CI_SEED)


def test_all_changes_are_drawn_and_can_be_read():
    checks, changes = AccountChecks(History(), AccountDraws(Random(5))), set()
    for version in range(1, 60):
        before = checks.draws.accounts
        document = create_document(version, tenants=checks.draw_table(0.0, version))
        assert len(DocumentReader().read(document).accounts) == len(before)
        for name, account in checks.draws.accounts.items():
            more_keys = len(account.keys) - len(before[name].keys)
            changes.add((name == STEADY, more_keys, account.rate < before[name].rate))
    assert {(False, -1, False), (False, 1, False), (False, 0, True)} <= changes
    assert [item for item in changes if item[0]] == [(True, 0, False)]
