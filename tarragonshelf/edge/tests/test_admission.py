"""An entry's side of admission: the ranks in use, and what it refuses at a known load."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace

from ...catalogue import Catalogue, CatalogueCopy, ClientAccount, Route, compress_content
from ...edge import EdgeNode, EdgeSettings, HubReceived
from ...forwarding import (
    ForwardRequest,
    RefusalReason,
    RequestMachine,
    RetryBudgetSettings,
    Started,
)
from ...forwarding.tests.fakes import create_route, create_target
from ...hub import LoadItem, LoadNews
from ...registry import TargetNews
from .._admission import list_ranks

URGENT = replace(create_route(is_repeatable=True), priority=0)
BULK = replace(URGENT, priority=3)
ONE_RANK, TWO_RANKS = Catalogue(1, (BULK,)), Catalogue(1, (URGENT, BULK))
WITH_ACCOUNTS = replace(TWO_RANKS, accounts=(ClientAccount("a", priority=1), ClientAccount("b")))
TARGETS = create_target("x"), create_target("y")
SETTINGS = {"vm": "e0", "address": "e0:80", "data_centre": "z", "regions": {}, "hubs": ()}


def create_node(catalogue: Catalogue) -> EdgeNode:
    """Return an entry with two targets of three slots."""
    budget = RetryBudgetSettings(ratio=0.2, slack=50.0, window=10.0)
    reader = SimpleNamespace(read=lambda content: catalogue)
    settings = EdgeSettings(**SETTINGS, budget=budget, address_lifetime_seconds=1.5)
    node = EdgeNode(settings=settings, reader=reader, random=Random(1))
    for message in (CatalogueCopy(1, compress_content(b"")), TargetNews(TARGETS)):
        node.handle(0.0, HubReceived("", message))
    return node


def report_load(node: EdgeNode, now: float, count: int) -> None:
    """Tell the outstanding requests of other entries at each target."""
    items = tuple(LoadItem(target.identity, count) for target in TARGETS)
    node.handle(now, HubReceived("", LoadNews(items, is_whole=True)))


def send(node: EdgeNode, now: float, route: Route, **fields):
    """Return the first effect of a request: an attempt, or its refusal."""
    request = ForwardRequest("q", route, "s", now, now + 2.0, **fields)
    return RequestMachine(request, node).handle(now, Started())[0]


class TestAdmissionOfAnEntry:
    """Load: targets whose queues are nearly full, as other entries' counts say."""

    def test_ranks_in_use_follow_from_routes_and_accounts(self):
        assert list_ranks(TWO_RANKS) == {"s": (0, 3)}
        assert list_ranks(ONE_RANK) == list_ranks(replace(ONE_RANK, accounts=())) == {}
        assert list_ranks(WITH_ACCOUNTS) == {"s": (0, 1, 3)}
        accounts = WITH_ACCOUNTS.accounts[:1]
        assert list_ranks(replace(TWO_RANKS, accounts=accounts)) == {"s": (1,)}
        public = (replace(BULK, is_public=True),)
        assert list_ranks(Catalogue(1, public, accounts=accounts)) == {"s": (1, 3)}

    def test_rank_of_the_account_counts_before_that_of_the_route(self):
        node = create_node(WITH_ACCOUNTS)
        report_load(node, 1.0, 7)
        refusal = send(node, 1.1, BULK, account="b")
        assert (refusal.reason, refusal.has_run) == (RefusalReason.OVERLOAD, False)
        assert refusal.retry_after == refusal.overload.retry_after > 0
        assert (refusal.overload.rank, round(refusal.overload.age, 3)) == (3, 0.1)
        assert send(node, 1.1, BULK, account="a").target in TARGETS
        assert send(node, 1.1, URGENT, account="b").target in TARGETS
        # A relayed request was admitted by the entry that received it.
        assert send(node, 1.1, BULK, is_relayed=True).target in TARGETS

    def test_one_rank_without_accounts_behaves_as_before(self):
        node, covered = create_node(ONE_RANK), create_node(TWO_RANKS)
        report_load(node, 1.0, 8)
        assert send(node, 1.1, BULK).target in TARGETS
        for item in (node, covered):
            report_load(item, 1.2, 9)
        assert send(node, 1.3, BULK).reason == RefusalReason.ALL_FULL
        assert send(covered, 1.3, URGENT).overload.cause == "full"

    def test_without_news_of_a_hub_nobody_is_refused_by_rank(self):
        """Failure halfway: the hub is lost while the entry holds counts of full targets."""
        node = create_node(TWO_RANKS)
        report_load(node, 1.0, 8)
        assert send(node, 1.1, BULK).reason == RefusalReason.OVERLOAD
        assert send(node, 3.0, BULK).target in TARGETS
