"""Announcements of targets, and their replication to entries and other hubs."""

from dataclasses import replace

from ..registry import (
    TargetDigest,
    TargetEntry,
    TargetNews,
    TargetNewsReceived,
    TargetState,
)
from ..replication import EmitEvent, Refused, RefusedReason
from ._messages import (
    AnnounceReply,
    AnnounceTarget,
    SaveMessage,
    SendToPeer,
)
from ._state import TARGETS_FILE, HubState

# All targets are requested from a peer after this number of digest mismatches in a row.
MISMATCH_THRESHOLD = 2
# A request to one peer postpones those to the others for this long, up to so many mismatches.
REQUEST_INTERVAL_SECONDS = 0.5
MAXIMUM_MISMATCHES = 4


class TargetsMixin(HubState):
    """Handles announcements of targets and reconciles targets with the other hubs."""

    def _find_displaced(self, announced: TargetEntry) -> TargetEntry | None:
        """Return the target in use that an announcement of an unknown service would displace.

        Such an announcement may come from another writer. A target that really changes its
        service is heard once the catalogue names that service.
        """
        for held in (self.targets.get(announced.identity), self.targets.get_at(announced.address)):
            if held is None or not held.is_usable or not announced.service:
                continue
            if announced.service != held.service:
                self._read_catalogue()
                if held.service in self._services and announced.service not in self._services:
                    return held
        return None

    def _handle_announcement(self, now: float, call: int, message: AnnounceTarget) -> None:
        announced = message.target
        is_known = self.targets.get(announced.identity) is not None
        if not is_known and self.targets.count >= self.maximum_targets:
            detail = f"there are {self.targets.count} targets already"
            fields = {"target": announced.identity, "maximum": self.maximum_targets}
            self._effects.append(EmitEvent("target_refused", fields))
            self._reply(call, Refused(RefusedReason.BUSY, detail=detail))
            return
        displaced = self._find_displaced(announced)
        if displaced is not None:
            fields = {"target": displaced.identity, "service": announced.service}
            self._effects.append(EmitEvent("announcement_ignored", fields))
            detail = f"{displaced.identity} is in use, and no service is {announced.service!r}"
            self._reply(call, Refused(RefusedReason.BUSY, detail=detail))
            return
        is_leaving = announced.state != TargetState.READY
        if is_leaving:
            self._emit_departure(announced)
        self.registrar.record_announcement(now, announced.identity)
        entry = announced
        if announced.state != TargetState.LEFT:
            entry = replace(announced, registrar=self.record.vm)
        is_new = self._merge_target(now, entry)
        held = self.targets.get(announced.identity)
        if is_new:
            self._emit_target_change(held)
        if not is_leaving:
            if is_new:
                self._broadcast_changes([held])
            address = self.registrar.choose_announcement_address(now, announced.data_centre)
            self._reply(call, AnnounceReply(address))
            return
        self._save_targets(now)
        # Other hubs may know the target, or a later incarnation of it, even if this one does not:
        # without a start each of them has to find the incarnation.
        records = (held,) if held is not None else ()
        if records:
            self._effects += self.subscribers.push_all(TargetNews(records))
        unresolved = (announced,) if announced.is_unresolved else ()
        news = self._drains.add(now, call, TargetNews((*records, *unresolved)))
        self._effects += (SendToPeer(address, news) for address in self.list_peers())
        self._answer_drains(now)

    def _emit_departure(self, announced: TargetEntry) -> None:
        """Emit an event that tells what a target announced and what this hub holds of it."""
        held = self.targets.get(announced.identity)
        fields = {
            "target": announced.identity,
            "state": announced.state,
            "started": announced.started,
            "held": held.state if held else "unknown",
            "held_started": held.started if held else 0,
        }
        self._effects.append(EmitEvent("departure_announced", fields))

    def _emit_target_change(self, entry: TargetEntry) -> None:
        fields = {"target": entry.identity, "state": entry.state, "service": entry.service}
        self._effects.append(EmitEvent("target_changed", fields))

    def _answer_drains(self, now: float) -> None:
        # A hub that has just started has not heard of all others yet. They may be alive.
        membership = self.replica.membership
        unheard = {
            item.vm: item.address
            for item in membership.members
            if not self.registrar.find_address(item.vm)
        }
        alive = self.registrar.list_alive(now) | unheard.keys()
        for drain in self._drains.pop_confirmed(now, membership=membership, alive=alive):
            fields = {
                "target": drain.target,
                "hubs": list(drain.hubs),
                "seconds": round(drain.seconds, 3),
            }
            self._effects.append(EmitEvent("departure_confirmed", fields))
            self._reply(drain.call, AnnounceReply(self.record.announcements))
        for vm, news in self._drains.list_resends(now, alive):
            address = unheard.get(vm) or self.registrar.find_address(vm)
            self._effects.append(SendToPeer(address, news))

    def _handle_target_news(self, now: float, news: TargetNews) -> None:
        changed = [item for item in news.targets if self._merge_target(now, item)]
        held = tuple(self.targets.get(item.identity) for item in changed)
        if held and news.number:
            self._effects += self.subscribers.push_all(TargetNews(held))
        for entry in held:
            if not news.number:
                self._targets_for_entries.add_target(entry)
            self.registrar.watch(now, entry)
        # The sender lacks what these records say: that a target which it takes for ready left, or
        # which incarnation a departure without a start concerns, or that a target is still heard.
        for item in news.targets:
            if self._is_outdated(item):
                self._targets_for_hubs.add_target(self.targets.get(item.identity))
        if news.number:
            self._save_targets(now)
            sender = self.registrar.find_address(news.sender)
            if sender:
                received = TargetNewsReceived(news.number, self.record.vm)
                self._effects.append(SendToPeer(sender, received))

    def _is_outdated(self, entry: TargetEntry) -> bool:
        """Return whether this hub knows more of a target's state than the sender of a record."""
        held = self.targets.get(entry.identity)
        if held is None or entry.started > held.started:
            return False
        if held.state == TargetState.LEFT:
            return entry.is_usable or entry.is_unresolved
        return entry.is_expired

    def _expire_targets(self, now: float) -> None:
        """Mark the targets of this hub as gone whose heartbeats stopped.

        They may go to another hub by now. So this hub acts on its claims only while it has contact
        with the others, and only after a majority of the voters held the same claims.
        """
        if not self.is_current(now):
            self._agreeing_hubs.clear()
            return
        agreeing = self._agreeing_hubs | {self.record.vm}
        if self.replica.membership.is_quorum_of_vms(agreeing):
            self._broadcast_changes(self.registrar.expire_targets(now, self.targets))

    def _handle_departures(self, now: float, news: TargetNews) -> None:
        """Mark targets that told an entry in a response that they leave.

        Only the incarnation that this hub knows is marked, and nothing else of it is changed.
        """
        for item in news.targets:
            held = self.targets.get(item.identity)
            if held is None or (held.started, held.state) != (item.started, TargetState.READY):
                continue
            if item.state != TargetState.DRAINING:
                continue
            entry = replace(held, state=TargetState.DRAINING)
            if self._merge_target(now, entry):
                self._emit_target_change(entry)
                self._broadcast_changes([entry])

    def _compare_digests(self, now: float, digest: TargetDigest) -> None:
        address = self.registrar.find_address(digest.vm)
        if not address:
            return
        if digest.wants_all:
            self._effects.append(SendToPeer(address, TargetNews(self.targets.list_all())))
            return
        if digest.digest == self.targets.digest:
            self._mismatch_counts[digest.vm] = 0
            self._agreeing_hubs.add(digest.vm)
            return
        # A single mismatch is mostly caused by an update that is still in transit. At the first
        # comparison since its start a hub may lack what happened while it was away.
        first = MISMATCH_THRESHOLD - 1 if self._may_lack_targets else 0
        self._mismatch_counts[digest.vm] = self._mismatch_counts.get(digest.vm, first) + 1
        count = self._mismatch_counts[digest.vm]
        is_recent = now - self._registry_requested_at < REQUEST_INTERVAL_SECONDS
        # Most peers hold the same: once the registry of one is merged, the others agree.
        if count < MISMATCH_THRESHOLD or (is_recent and count < MAXIMUM_MISMATCHES):
            return
        self._mismatch_counts[digest.vm] = 0
        self._registry_requested_at = now
        wanted = TargetDigest(self.record.vm, self.targets.digest, wants_all=True)
        self._effects.append(SendToPeer(address, wanted))

    def _save_targets(self, now: float) -> None:
        """Save the targets to disk, so that an acknowledged drain outlasts a restart."""
        if self.targets.revision == self._saved_revision:
            return
        self._saved_revision, self._saved_at = self.targets.revision, now
        news = TargetNews(self.targets.list_all(), is_whole=True)
        self._effects.append(SaveMessage(TARGETS_FILE, news))

    def _broadcast_changes(self, entries: list) -> None:
        for entry in entries:
            self._targets_for_entries.add_target(entry)
            self._targets_for_hubs.add_target(entry)
