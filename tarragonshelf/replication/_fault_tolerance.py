"""What a site bears to lose at once, and whether a set of voters does."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..consensus import Membership

# A set of voters is never made smaller than this: of fewer no disk may be lost.
MINIMUM_REMAINING_VOTERS = 3


@dataclass(frozen=True, slots=True)
class Place:
    """Data centre and region of a VM."""

    data_centre: str
    region: str


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """How many VMs with a replica, data centres or regions may lose their disks at once.

    After such a loss a quorum has to be left among the voters that still have their disks, some of
    which may be stopped meanwhile. So ``machines`` needs ``2 * machines + 1`` voters.
    """

    machines: int = 1
    data_centres: int = 0
    regions: int = 0

    @property
    def is_minimal(self) -> bool:
        """Whether ``MINIMUM_REMAINING_VOTERS`` voters bear it, wherever they are."""
        return self.machines <= 1 and not self.data_centres and not self.regions

    def compute_spare(self, vms: Iterable[str], locate: Callable[[str], Place | None]) -> int:
        """Return how many voters more than a quorum are left after the worst tolerated loss.

        Parameters
        ----------
        vms : iterable of str
            VMs of the voters, one for each voter.
        locate : callable
            Returns the place of a VM; one whose place is unknown counts as a place of its own.

        Returns
        -------
        int
            Negative if the set does not bear the loss.
        """
        vms = list(vms)
        places = {vm: locate(vm) or Place(vm, vm) for vm in vms}
        data_centres = Counter(places[vm].data_centre for vm in vms)
        regions = Counter(places[vm].region for vm in vms)
        lost = max(
            max(1, self.machines),
            sum(count for _, count in data_centres.most_common(self.data_centres)),
            sum(count for _, count in regions.most_common(self.regions)),
        )
        return len(vms) - lost - (len(vms) // 2 + 1)


class VoterRules:
    """Decides whether a change of the voters keeps the fault tolerance of the site.

    Parameters
    ----------
    tolerance : FaultTolerance, optional
        What the site has to bear.
    locate : callable, optional
        Returns the place of a VM, or None if it is unknown.
    """

    def __init__(
        self,
        tolerance: FaultTolerance = FaultTolerance(),
        locate: Callable[[str], Place | None] = lambda vm: None,
    ):
        self.tolerance = tolerance
        self.locate = locate

    def compute_spare(self, membership: Membership) -> int:
        """Return how many voters could be spared after the worst tolerated loss."""
        vms = [item.vm for item in membership.members if item.voting]
        return self.tolerance.compute_spare(vms, self.locate)

    def is_kept(self, before: Membership, after: Membership) -> bool:
        """Return whether a change keeps the tolerance, or leaves no fewer voters spare."""
        return self.compute_spare(after) >= min(0, self.compute_spare(before))

    def is_removable(self, membership: Membership, identities: Iterable[str]) -> bool:
        """Return whether the set of voters can do without some of them."""
        remaining = membership.exclude(list(identities))
        is_large_enough = len(remaining.voters) >= MINIMUM_REMAINING_VOTERS
        return is_large_enough and self.is_kept(membership, remaining)
