"""Which membership follows as replicas come and go, one voter at a time."""

from collections.abc import Callable
from dataclasses import replace

from expression import Error, Ok, Result

from ..consensus import Member, Membership
from ._messages import Join, Refused, RefusedReason

CATCH_UP_ENTRIES = 16
# All VMs with a disk vote: a site has up to 11, and their replacements for a while.
MAXIMUM_VOTERS = 15

# Below so many voters one that fell silent stays, as a quorum may still need it back.
MINIMUM_VOTERS_TO_REPLACE = 3


def plan_join(membership: Membership, message: Join) -> Result[Membership, Refused]:
    """Return the membership with a new learner, in place of an earlier learner of its VM."""
    own = _find_by_vm(membership, message.vm)
    if len(membership.voters) >= MAXIMUM_VOTERS and not own:
        detail = f"there are {MAXIMUM_VOTERS} voters already"
        return Error(Refused(RefusedReason.BUSY, detail=detail))
    stale = [item for item in own if not item.voting]
    kept = tuple(item for item in membership.members if item not in stale)
    learner = Member(message.identity, message.vm, message.address, voting=False)
    return Ok(Membership((*kept, learner)))


def plan_retirement(membership: Membership, vm: str) -> Result[Membership, Refused]:
    """Return the membership without a VM's replicas, unless no voter would be left."""
    if not _find_by_vm(membership, vm):
        detail = f"VM {vm!r} holds no replica"
        return Error(Refused(RefusedReason.UNKNOWN_NAME, detail=detail))
    left = Membership(tuple(item for item in membership.members if item.vm != vm))
    if not left.voters:
        detail = f"VM {vm!r} holds the last voter"
        return Error(Refused(RefusedReason.UNKNOWN_NAME, detail=detail))
    return Ok(left)


def plan_admission(
    membership: Membership,
    count_behind: Callable[[str], int],
    *,
    is_deferred: Callable[[str], bool] = lambda identity: False,
    replaceable_voters: frozenset[str] = frozenset(),
) -> Membership | None:
    """Return the next step for a learner that has caught up, or None without one.

    The old incarnation is removed before the new one votes: a majority of a set that swaps two
    voters at once need not meet a majority of the set before.

    Parameters
    ----------
    membership : Membership
        The committed membership.
    count_behind : callable
        Returns how many committed entries a replica still lacks.
    must_wait : callable
        Tells whether a replica may not vote yet, however short the log.
    replaceable : frozenset of str
        Voters whose place a learner of another VM takes, as they fell silent.
    """
    for learner in membership.members:
        if learner.voting or count_behind(learner.identity) > CATCH_UP_ENTRIES:
            continue
        if is_deferred(learner.identity):
            continue
        lost = [item for item in _find_by_vm(membership, learner.vm) if item.voting]
        if not lost and len(membership.voters) > MINIMUM_VOTERS_TO_REPLACE:
            gone = (item for item in membership.members if item.identity in replaceable_voters)
            lost = list(gone)[:1]
        if lost:
            return Membership(tuple(item for item in membership.members if item not in lost))
        admitted = replace(learner, voting=True)
        members = (admitted if item == learner else item for item in membership.members)
        return Membership(tuple(members))
    return None


def _find_by_vm(membership: Membership, vm: str) -> list[Member]:
    return [member for member in membership.members if member.vm == vm]
