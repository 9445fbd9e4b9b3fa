"""Explains where an entry would send a request now, without sending it."""

from typing import Any

from ..catalogue import Route
from ..forwarding import Balancer, ForwardRequest, ServiceProfile
from ..registry import TargetEntry
from ._catalogue import ActiveCatalogue
from ._node import EdgeNode

# Targets of one service in an answer, so that it stays small at services with thousands of them.
MAXIMUM_LISTED_TARGETS = 32


def explain_placement(
    node: EdgeNode, now: float, *, host: str, path: str, account: str
) -> dict[str, Any] | None:
    """Return where a request would go now and why, or None if it has no route.

    The query has no effect: it neither advances the cycle of a split route nor counts as a trial.
    """
    route = node.active.find_route(host, path)
    if route is None:
        return None
    services = []
    for item in route.services:
        profile = node.profiles.get(item.service, ServiceProfile())
        ranked = _rank_targets(now, node.balancer, route, item.service, profile)
        services.append({"weight": item.weight, **ranked})
    described = _describe_route(node.active, route, account)
    state = {"version": node.version, "path_is_lost": node.path.is_lost}
    return {**described, **state, "services": services}


def _describe_route(active: ActiveCatalogue, route: Route, account: str) -> dict[str, Any]:
    """Return the route of a request, and whether the account may use it."""
    names = {item.name for item in active.catalogue.accounts or ()}
    if account and account not in names:
        problem = f"the version in force has no account {account!r}"
    elif active.needs_keys and not route.is_public and not account:
        problem = "the route needs the key of an account: 401"
    else:
        problem = ""
    return {
        "route": route.name,
        "prefix": route.prefix,
        "is_repeatable": route.is_repeatable,
        "maximum_attempts": route.maximum_attempts,
        "account": account,
        "account_problem": problem,
    }


def _rank_targets(
    now: float, balancer: Balancer, route: Route, service: str, profile: ServiceProfile
) -> dict[str, Any]:
    """Return what the balancer would choose for a service, and its targets by expected cost.

    Ties, and trials of targets that may have recovered, are drawn at random for each request, so
    one that is sent next may go to another target of nearly the same cost.
    """
    request = ForwardRequest("", route, service, now, now + route.timeout)
    usable = balancer.targets.list_usable(service)
    costs = balancer.list_costs(now, request, profile)
    ranked = sorted(usable, key=lambda item: sum(costs[item.identity].values()))
    refused = {item.identity: _find_obstacle(now, balancer, item) for item in usable}
    for item in usable:
        if not refused[item.identity] and not balancer.has_room(now, request, profile, item):
            refused[item.identity] = "full queue"
    open_targets = [item.identity for item in ranked if not refused[item.identity]]
    return {
        "service": service,
        "target": open_targets[0] if open_targets else "",
        "targets_count": len(usable),
        "targets": [
            {
                "target": item.identity,
                "data_centre": item.data_centre,
                "obstacle": refused[item.identity],
                "standing": str(balancer.avoidance.get_standing(now, item.identity)),
                "held": balancer.count_outstanding(item.identity),
                "slots": item.slots,
                "limit": balancer.limits.get_rate(item.identity),
                "costs": {name: round(cost, 4) for name, cost in costs[item.identity].items()},
            }
            for item in ranked[:MAXIMUM_LISTED_TARGETS]
        ],
    }


def _find_obstacle(now: float, balancer: Balancer, target: TargetEntry) -> str:
    if balancer.pauses.is_paused(now, target.identity):
        return "paused"
    return "limit used up" if balancer.limits.is_closed(now, target.identity) else ""
