"""Creates the hedging policy of an entry."""

from ..forwarding import Balancer, HedgingPolicy, HedgingSettings


def create_hedging_policy(
    settings: HedgingSettings | None, balancer: Balancer
) -> HedgingPolicy | None:
    """Return the policy for the targets of a balancer, or None without settings."""
    if settings is None:
        return None
    return HedgingPolicy(
        settings,
        targets=balancer.targets,
        avoidance=balancer.avoidance,
        limits=balancer.limits,
        pauses=balancer.pauses,
        count_outstanding=balancer.count_outstanding,
    )
