"""A query tells where a request would go, and changes nothing."""

import asyncio

import pytest

from ...buffering import BufferBudget, compute_limits
from ...catalogue import CallerLimits
from ...commands import RefusedError
from ...edge import HubReceived, explain_placement
from ...forwarding import ForwardRequest, ServiceProfile
from ...forwarding.tests.fakes import create_target
from ...queries import fetch_placement, format_placement
from ...registry import TargetNews
from ...serving import AdministrationServer, CallerConnections
from ...telemetry import Metrics
from .test_relay import create_node


def create_entry():
    """Return an entry with a loaded, a paused and two free targets in reverse order of cost."""
    node = create_node("127.0.0.1:1")
    targets = (create_target("far", data_centre="y"), create_target("paused"))
    node.handle(0.0, HubReceived("", TargetNews(targets)))
    for _ in range(4):
        node.balancer.acquire("i-1")
    node.pauses.record(0.0, "paused", 5.0, sent_at=0.0)
    return node


def create_connections() -> CallerConnections:
    """Return connections without a limit."""
    budget = BufferBudget(compute_limits(None, 0, None))
    metrics = Metrics()
    return CallerConnections(budget, CallerLimits, report=lambda *a, **f: None, metrics=metrics)


def explain(node, path="/x"):
    return explain_placement(node, 0.1, host="h", path=path, account="")


class TestExplanation:
    # Guards against an answer that differs from what the entry does.
    def test_answer_is_the_choice_of_the_balancer(self):
        node = create_entry()
        route = node.active.find_route("h", "/x")
        request = ForwardRequest("q", route, "s", 0.1, 1.1)
        chosen = node.balancer.choose(0.1, request, ServiceProfile(), frozenset())
        (service,) = explain(node)["services"]
        assert service["target"] == chosen.identity
        rows = {item["target"]: item for item in service["targets"]}
        assert rows["paused"]["obstacle"] == "paused"
        assert rows["i-1"]["held"] == 4
        assert rows["i-1"]["costs"]["latency_and_bytes"] > 0

    # Guards against a query that counts as a request.
    def test_query_has_no_effect(self):
        node = create_entry()
        before = (node.balancer.list_outstanding(), dict(node.profiles))
        for _ in range(3):
            explain(node)
        assert (node.balancer.list_outstanding(), dict(node.profiles)) == before
        assert node.pop_pending_effects() == []

    def test_answer_over_a_connection(self):
        node = create_entry()

        async def test():
            server = AdministrationServer(
                metrics=Metrics(),
                is_ready=lambda: True,
                refresh=lambda: None,
                connections=create_connections(),
                explain=lambda query: (
                    explain(node, query["path"])
                    and {**dict(query), **explain(node, query["path"])}
                ),
            )
            await server.start("127.0.0.1:0")
            port = server.server.port

            def fetch(path):
                return fetch_placement(f"127.0.0.1:{port}", method="GET", host="h", path=path)

            try:
                with pytest.raises(RefusedError, match="404"):
                    await asyncio.to_thread(fetch, "*")
                return await asyncio.to_thread(fetch, "/x")
            finally:
                await server.stop()

        lines = format_placement(asyncio.run(test()))
        assert lines[0] == "GET h/x: route r (prefix /, repeatable), version 3"
        assert len(lines) == 5
        with pytest.raises(RefusedError, match="does not answer"):
            fetch_placement("127.0.0.1:1", method="GET", host="h", path="/x")
