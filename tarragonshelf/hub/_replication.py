"""Replication of the catalogue: log entries, linearizable reads and membership changes."""

from math import inf

from expression import Result

from ..base import Effect, Message
from ..catalogue import (
    CatalogueStored,
    PutCatalogue,
    UnreadableCatalogueError,
    decompress_content,
    find_validation_errors,
)
from ..consensus import (
    EntryKind,
    LogEntry,
    Membership,
    ReadReady,
    RoleChanged,
    Send,
)
from ..replication import (
    Done,
    EmitEvent,
    Refused,
    RefusedReason,
    Retire,
    plan_admission,
    plan_expiry,
    plan_release,
    plan_removal,
)
from ._messages import (
    REPLICATION_REVISION,
    SaveMessage,
)
from ._state import CATALOGUE_FILE, HubState

# A learner may become a voter after this delay. It exceeds ``REPLACEABLE_AFTER_SECONDS``, so it is
# known by then whether the learner replaces a lost voter.
LEARNER_DELAY_SECONDS = 1.7
# A voter that has not replied for this long may be replaced by a learner.
REPLACEABLE_AFTER_SECONDS = 1.5
# A replica that replied within this time counts as running when another one is about to stop.
RESPONSIVE_SECONDS = 1.0
# A learner that has not replied for this long is removed. If it comes back, it joins again.
LOST_LEARNER_SECONDS = 3.0
# A voter that has not replied for this long is removed without a replacement. If it comes back, it
# joins again.
REMOVED_AFTER_SECONDS = 20.0
SNAPSHOT_INTERVAL_ENTRIES = 60


class ReplicationMixin(HubState):
    """Replicates the catalogue to the other hubs."""

    def _forward_effect(self, effect: Effect) -> None:
        if isinstance(effect, Send) and not effect.address:
            address = self._derive_address(effect.identity)
            effect = Send(effect.identity, address, effect.message)
        super()._forward_effect(effect)

    def _restore_state(self, state: Message) -> None:
        self.register.restore(state)
        self._push_catalogue()

    def _derive_address(self, identity: str) -> str:
        """Return the address of a replica that is not in the membership of this one yet.

        The name of a VM is its host name, and hubs listen on the same port on all VMs of a site.
        """
        port = self.record.address.rpartition(":")[2]
        return f"{identity.partition('/')[0]}:{port}"

    def _apply(self, now: float, entries: tuple[LogEntry, ...]) -> None:
        version = self.register.copy.latest_version
        for entry in entries:
            is_command = entry.kind == EntryKind.COMMAND
            command = self.codec.decode(entry.payload) if is_command else None
            stored = self.register.apply(entry.index, command)
            call = self._pending_calls.pop_proposal(entry.index, entry.term)
            if call is not None:
                self._reply(call, stored if is_command else Done(entry.index))
        if self.register.copy.latest_version != version:
            self._effects.append(
                EmitEvent("catalogue_committed", {"version": self.register.state.version})
            )
            self._push_catalogue()
            if self.replica.is_leader:
                # Followers receive the new commit index at once, not with the next heartbeat.
                self._process_effects(now, self.replica.broadcast_commit(now))

    def _push_catalogue(self) -> None:
        copy = self.register.copy
        if copy.latest_version > self._saved_catalogue.latest_version:
            self._saved_catalogue = copy
            self._effects.append(SaveMessage(CATALOGUE_FILE, copy))
            self._effects += self.subscribers.push_all(copy)

    def _change_role(self, effect: RoleChanged) -> None:
        super()._change_role(effect)
        self._learner_since = {}
        self._reported_tolerance = {}

    def _compact(self) -> None:
        applied = self.register.state.index
        if applied - self.replica.log.base_index >= SNAPSHOT_INTERVAL_ENTRIES:
            data = self.codec.encode(self.register.state)
            self._effects.extend(self.replica.compact(applied, data))

    def _maintain_voters(self, now: float) -> None:
        """Promote learners that have caught up, and remove voters that do not reply.

        Called for each reply of a replica, so that no change waits for the next tick.
        """
        replica = self.replica
        if replica.membership_index > replica.commit:
            return
        self._report_fault_tolerance()
        unresponsive = replica.list_unresponsive_voters(now, REPLACEABLE_AFTER_SECONDS)
        planned = plan_admission(
            replica.membership,
            lambda name: self._count_missing_entries(now, name),
            is_deferred=lambda name: self._is_learner_deferred(now, name, unresponsive),
            replaceable_voters=unresponsive,
            rules=self.voter_rules,
        )
        if planned is None:
            planned = plan_removal(replica.membership, unresponsive, self.voter_rules)
        lost = replica.list_unresponsive(now, LOST_LEARNER_SECONDS) - replica.membership.voters
        if planned is None and lost:
            planned = replica.membership.exclude(lost)
        if planned is None:
            expired = replica.list_unresponsive_voters(now, REMOVED_AFTER_SECONDS)
            planned = plan_expiry(replica.membership, expired, self.voter_rules)
        if planned is not None and replica.propose_membership(now, planned) is not None:
            self._effects.append(EmitEvent("voters_changing", {"voters": sorted(planned.voters)}))

    def _report_fault_tolerance(self) -> None:
        """Log whether the voters bear the loss that the settings name, when that changes."""
        spare = self.voter_rules.compute_spare(self.replica.membership)
        tolerance = self.voter_rules.tolerance
        fields = {
            "voters": len(self.replica.membership.voters),
            "spare": spare,
            "machines": tolerance.machines,
            "data_centres": tolerance.data_centres,
            "regions": tolerance.regions,
        }
        if fields == self._reported_tolerance:
            return
        self._reported_tolerance = fields
        event = "fault_tolerance_missed" if spare < 0 else "fault_tolerance_kept"
        self._effects.append(EmitEvent(event, fields))

    def _count_missing_entries(self, now: float, identity: str) -> float:
        """Return how many committed entries a learner lacks, infinite unless it replies just now.

        Once a learner is a voter beside the one that it replaces, a quorum may need it.
        """
        matched = self.replica.get_match_index(identity)
        has_replied = matched > 0 and self.replica.get_last_contact(identity) >= now
        return self.replica.commit - matched if has_replied else inf

    def _release_seat(self, now: float, call: int, message: Retire) -> None:
        """Remove a replica whose process is about to stop, if its seat can be spared."""
        replica = self.replica
        if not replica.has_committed_in_term:
            self._refuse_call(call)
        elif message.vm not in {item.vm for item in replica.membership.members}:
            self._reply(call, Done(replica.commit))
        else:
            responsive = replica.list_responsive(now, RESPONSIVE_SECONDS)
            planned = plan_release(replica.membership, message.vm, responsive, self.voter_rules)
            if planned.is_error():
                self._seat_refused_at = now
                self._reply(call, planned.error)
            else:
                self._propose_membership(now, call, planned)

    def _is_learner_deferred(
        self, now: float, identity: str, unresponsive: frozenset[str]
    ) -> bool:
        """Return whether a learner has to wait, unless a voter waits for a replacement.

        That voter is lost, or is about to stop and was refused to give its seat back.
        """
        since = self._learner_since.setdefault(identity, now)
        is_early = now - since < LEARNER_DELAY_SECONDS
        is_needed = unresponsive or now - self._seat_refused_at < RESPONSIVE_SECONDS
        return is_early and not is_needed

    def _put_catalogue(self, now: float, call: int, message: PutCatalogue) -> None:
        try:
            errors = find_validation_errors(self.reader.read(decompress_content(message.content)))
        except UnreadableCatalogueError as error:
            errors = (str(error),)
        if errors:
            self._reply(call, Refused(RefusedReason.INVALID, detail="\n".join(errors)))
            return
        latest = self.register.copy.latest_version
        if self.replica.has_committed_in_term and message.version <= latest:
            # The version is not newer, so nothing is logged. The reply contains the newest
            # version, which only a leader with a quorum knows, so it takes a linearizable read.
            self._start_read(now, call, message)
            return
        if message.version == 0 and (names := self._list_older_members(now)):
            detail = f"{', '.join(names)} may be of a build that does not store version 0"
            self._reply(call, Refused(RefusedReason.BUSY, detail=detail))
            return
        self._propose(now, call, message)

    def _list_older_members(self, now: float) -> list[str]:
        """Return the VMs of members that run, and may apply commands by the rules of revision 0.

        Replicas that apply a command in different ways would hold different states for good.
        """
        unresponsive = self.replica.list_unresponsive(now, REPLACEABLE_AFTER_SECONDS)
        return sorted(
            item.vm
            for item in self.replica.membership.members
            if item.identity not in unresponsive | {self.identity}
            and self._peer_revisions.get(item.vm, 0) < REPLICATION_REVISION
        )

    def _answer_read(self, ready: ReadReady) -> None:
        call, message = self._pending_calls.pop_read(ready.number)
        if call is None:
            return
        if isinstance(message, PutCatalogue):
            self._reply(call, CatalogueStored(self.register.state.version))
        else:
            self._reply(call, self.register.copy)

    def _propose_membership(
        self, now: float, call: int, planned: Result[Membership, Refused]
    ) -> None:
        index = None
        if planned.is_ok():
            index = self.replica.propose_membership(now, planned.ok)
        if index is None:
            detail = "another change of the voters is under way"
            self._reply(call, Refused(RefusedReason.BUSY, detail=detail))
        else:
            self._pending_calls.add_proposal(index, self.replica.term, call)

    def _refuse_call(self, call: int) -> None:
        self._reply(call, Refused(RefusedReason.NOT_LEADER, self.leader_address))
