"""Membership changes as replicas join and leave, one voter at a time."""

from collections.abc import Callable
from dataclasses import replace

from expression import Error, Ok, Result

from ..consensus import Member, Membership
from ._fault_tolerance import VoterRules
from ._messages import Join, Refused, RefusedReason

MAXIMUM_LEARNER_LAG_ENTRIES = 16
# Every VM with a disk holds a voter: a site has up to 11, and for a while their replacements.
MAXIMUM_VOTERS = 15


def plan_join(membership: Membership, message: Join) -> Result[Membership, Refused]:
    """Return the membership with a new learner, which replaces earlier learners of its VM.

    A VM that holds no replica yet is refused once there are ``MAXIMUM_VOTERS`` voters.
    """
    own = _find_by_vm(membership, message.vm)
    if len(membership.voters) >= MAXIMUM_VOTERS and not own:
        detail = f"there are {MAXIMUM_VOTERS} voters already"
        return Error(Refused(RefusedReason.BUSY, detail=detail))
    stale = [item for item in own if not item.voting]
    kept = tuple(item for item in membership.members if item not in stale)
    learner = Member(message.identity, message.vm, message.address, voting=False)
    return Ok(Membership((*kept, learner)))


def plan_retirement(
    membership: Membership, vm: str, rules: VoterRules = VoterRules()
) -> Result[Membership, Refused]:
    """Return the membership without the replicas of a VM, if the others do without its vote."""
    if not _find_by_vm(membership, vm):
        detail = f"VM {vm!r} holds no replica"
        return Error(Refused(RefusedReason.UNKNOWN_NAME, detail=detail))
    remaining = _exclude_vm(membership, vm)
    if not rules.is_kept(membership, remaining):
        detail = (
            f"{len(remaining.voters)} voters would remain without VM {vm!r}, too few to bear "
            "the loss of a disk; add its successor first"
        )
        return Error(Refused(RefusedReason.INVALID, detail=detail))
    return Ok(remaining)


def plan_admission(
    membership: Membership,
    count_missing_entries: Callable[[str], int],
    *,
    is_deferred: Callable[[str], bool] = lambda identity: False,
    replaceable_voters: frozenset[str] = frozenset(),
    rules: VoterRules = VoterRules(),
) -> Membership | None:
    """Return the next membership towards admitting a caught-up learner as a voter, or None.

    The voter that the learner replaces is removed in a change of its own: if one change swapped
    two voters, a majority of the new set might not overlap with a majority of the old one. An
    earlier incarnation of the learner's VM has lost its disk, so it is removed first. A voter of
    another VM may return with its disk. It is removed first only if the others bear the loss of
    disks without it; else the learner is admitted first, and ``plan_removal`` follows.

    Parameters
    ----------
    membership : Membership
        The committed membership.
    count_missing_entries : callable
        Returns how many committed entries a replica lacks.
    is_deferred : callable
        Returns whether a replica may not become a voter yet, even if it has caught up. It is not
        asked about a learner that replaces an incarnation of its own VM, nor while the voters are
        too few.
    replaceable_voters : frozenset of str
        Unresponsive voters, which a learner of another VM may replace.
    rules : VoterRules
        Fault tolerance that the voters have to keep.
    """
    is_weak = rules.compute_spare(membership) < 0
    for learner in membership.members:
        if learner.voting or count_missing_entries(learner.identity) > MAXIMUM_LEARNER_LAG_ENTRIES:
            continue
        earlier = [item for item in _find_by_vm(membership, learner.vm) if item.voting]
        if earlier:
            return membership.exclude([item.identity for item in earlier])
        if not is_weak and is_deferred(learner.identity):
            continue
        found = (item for item in membership.members if item.identity in replaceable_voters)
        replaced = [item.identity for item in found][:1]
        if replaced and rules.is_removable(membership, replaced):
            return membership.exclude(replaced)
        admitted = replace(learner, voting=True)
        members = (admitted if item == learner else item for item in membership.members)
        planned = Membership(tuple(members))
        if rules.is_kept(membership, planned.exclude(replaced)):
            return planned
    return None


def plan_removal(
    membership: Membership, unresponsive: frozenset[str], rules: VoterRules = VoterRules()
) -> Membership | None:
    """Return the membership without one unresponsive voter, or None if it has to stay.

    Among an even number of voters one that is lost only raises the quorum: without it fewer
    have to agree. Among an odd number it may come back, and its removal gains nothing.
    """
    if len(membership.voters) % 2:
        return None
    return plan_expiry(membership, unresponsive, rules)


def plan_expiry(
    membership: Membership, lost: frozenset[str], rules: VoterRules = VoterRules()
) -> Membership | None:
    """Return the membership without one of the lost voters, or None if all have to stay."""
    for item in membership.members:
        is_lost = item.voting and item.identity in lost
        if is_lost and rules.is_removable(membership, [item.identity]):
            return membership.exclude([item.identity])
    return None


def plan_release(
    membership: Membership,
    vm: str,
    responsive: frozenset[str],
    rules: VoterRules = VoterRules(),
) -> Result[Membership, Refused]:
    """Return the membership without a VM that is about to stop, if its seat can be spared.

    Parameters
    ----------
    membership : Membership
        The committed membership.
    vm : str
        VM whose process was asked to stop.
    responsive : frozenset of str
        Identities of the replicas that reply.
    rules : VoterRules
        Fault tolerance that the remaining voters have to keep.
    """
    remaining = _exclude_vm(membership, vm)
    is_quorum_responsive = remaining.is_quorum(responsive & remaining.voters)
    released = membership.voters - remaining.voters
    is_spared = not released or rules.is_removable(membership, released)
    if is_spared and is_quorum_responsive:
        return Ok(remaining)
    if remaining.identities <= responsive and remaining.identities == remaining.voters:
        detail = f"{len(remaining.voters)} voters would remain, and no other replica is joining"
        return Error(Refused(RefusedReason.INVALID, detail=detail))
    detail = "other replicas do not reply or are joining, so the seat is needed"
    return Error(Refused(RefusedReason.BUSY, detail=detail))


def _exclude_vm(membership: Membership, vm: str) -> Membership:
    return membership.exclude([item.identity for item in _find_by_vm(membership, vm)])


def _find_by_vm(membership: Membership, vm: str) -> list[Member]:
    return [member for member in membership.members if member.vm == vm]
