"""One hub: a replica of the catalogue, registrar of targets and source of updates for entries."""

from ..allowances import RelayedAllowanceReply, RelayedAllowanceRequest
from ..avoidance import EvidenceNews
from ..base import Effect, Message
from ..catalogue import (
    CatalogueState,
    PutCatalogue,
    ReadCatalogue,
)
from ..consensus import (
    AppendReply,
    AppendRequest,
    ElectNow,
    Member,
    Membership,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from ..registry import (
    TargetDigest,
    TargetNews,
    TargetNewsReceived,
)
from ..relaying import RelayList, RelayQuery
from ..replication import (
    CallReceived,
    EmitEvent,
    Join,
    PeerCallEnded,
    PeerMessageReceived,
    Refused,
    RefusedReason,
    Retire,
    SeatRelease,
    StopRequested,
)
from ..throttling import RelayedPermitReply, RelayedPermitRequest
from ._entries import EntriesMixin
from ._messages import (
    REPLICATION_REVISION,
    AnnounceTarget,
    HubBeat,
    HubBusy,
    HubLoad,
    HubNews,
    PushToSubscriber,
    SaveMessage,
    SendToPeer,
    SubscriberLost,
    SubscriberReceived,
)
from ._replication import ReplicationMixin
from ._state import CATALOGUE_FILE, FIRST_INCARNATION, HUBS_FILE, TARGETS_FILE
from ._targets import TargetsMixin

REPLICATION_MESSAGES = (
    AppendReply,
    AppendRequest,
    ElectNow,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
# Entries move to another hub if they receive no heartbeat for 1.2 s.
HEARTBEAT_INTERVAL_SECONDS = 0.4
# Anti-entropy: hubs compare checksums of their targets at this interval.
DIGEST_INTERVAL_SECONDS = 1.0
# New and changed targets are saved to disk at most this often, leaving targets at once.
SAVE_INTERVAL_SECONDS = 1.0


def create_first_membership(vms: tuple[str, ...], port: int) -> Membership:
    """Return the voters of a system that starts for the first time.

    The result is the same on all of these VMs, so that they agree without communication.
    """
    return Membership(
        tuple(Member(f"{vm}/{FIRST_INCARNATION}", vm, f"{vm}:{port}", True) for vm in sorted(vms))
    )


class HubNode(ReplicationMixin, TargetsMixin, EntriesMixin):
    """State machine of a control process of a site.

    Parameters
    ----------
    record : HubRecord
        Addresses of this hub.
    incarnation : str
        Incarnation of its data folder.
    regions : dict of str to str
        Region of each data centre.
    codec : Codec
        Encodes commands and snapshots.
    reader : CatalogueReader
        Parses operators' documents, so that invalid ones are refused before they are logged.
    random : Random
        Randomizes election time-outs.
    budget : RetryBudgetSettings, optional
        Retry budget of the whole site.
    seeds : tuple of str, optional
        Peer addresses of some hubs.
    maximum_targets : int, optional
        Number of targets beyond which an unknown one is refused; by default there is no limit.
    tolerance : FaultTolerance, optional
        What the voters have to bear; the settings of the leader decide.
    hard_state, snapshot, entries
        Content of the data folder.
    """

    def initialize(self, membership: Membership) -> list[Effect]:
        """Create the first voter set of a new system."""
        self._bootstrap(membership, CatalogueState(index=1))
        self._may_lack_targets = False
        self._effects.append(EmitEvent("initialized", {"voters": sorted(membership.voters)}))
        return self._take_effects()

    def restore_saved_messages(self, now: float, messages: dict[str, Message]) -> None:
        """Restore the messages that an earlier process saved, by file name."""
        if CATALOGUE_FILE in messages:
            self._saved_catalogue = messages[CATALOGUE_FILE]
        if HUBS_FILE in messages:
            self.registrar.merge_hubs(now, messages[HUBS_FILE].hubs)
        if TARGETS_FILE in messages:
            for entry in messages[TARGETS_FILE].targets:
                if self.targets.merge(now, entry):
                    self.registrar.record_announcement(now, entry.identity)
        self._saved_revision = self.targets.revision

    def adopt_volatile_state(self, previous: "HubNode") -> None:
        """Take over state of the previous node after its replica was restarted from disk.

        Targets and their limits, hubs, retry budgets, permits, allowances and updates about
        leaving targets are not part of the replicated log. Subscribers are not taken over: what
        the failed batch had for them was not sent, so they have to subscribe again, and then
        receive everything.
        """
        self.targets = previous.targets
        self.registrar = previous.registrar
        self.retry_pool = previous.retry_pool
        self.limits = previous.limits
        self.permits = previous.permits
        self.allowances = previous.allowances
        # Numbers must not begin anew: a late confirmation would count for another update.
        self._drains = previous._drains
        self._saved_catalogue = previous._saved_catalogue
        self._edges_changed = True

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Handle a message of a peer, an entry, a target or an operator."""
        if isinstance(message, CallReceived):
            self._handle_call(now, message.call, message.message)
        elif isinstance(message, PeerMessageReceived):
            self._handle_peer(now, message.message)
        elif isinstance(message, SubscriberReceived):
            self._handle_subscriber(now, message.subscriber, message.message)
        elif isinstance(message, SubscriberLost):
            if self.subscribers.remove(message.subscriber):
                self._edges_changed = True
        elif isinstance(message, PeerCallEnded):
            self._handle_call_result(now, message)
        elif isinstance(message, StopRequested):
            self._seat_release = SeatRelease(self.record.vm, now)
            self._process_effects(now, self.replica.transfer_leadership(now))
        return self._take_effects()

    def tick(self, now: float) -> list[Effect]:
        """Run periodic work and handle time-outs."""
        self._process_effects(now, self.replica.tick(now))
        if self.replica.has_committed_in_term:
            self._maintain_voters(now)
        if self._seat_release is not None:
            # Another hub that stops may have handed its leadership to this one.
            if self.replica.has_committed_in_term:
                self._process_effects(now, self.replica.transfer_leadership(now))
            has_leader = not self.replica.is_leader and self.is_current(now)
            self._effects += self._seat_release.create_requests(
                now,
                leader=self.leader_address if has_leader else "",
                has_seat=self.is_member and len(self.replica.membership.voters) > 1,
                is_leader_trusted=self._is_leader_trusted(),
            )
        if self.needs_to_join(now):
            self._effects += self.joins.create_requests(now, self.list_peers())
        self._answer_drains(now)
        for call in self._drains.pop_timed_out(now):
            detail = "no majority of the hubs confirmed in time"
            self._reply(call, Refused(RefusedReason.BUSY, detail=detail))
        self._expire_targets(now)
        self.targets.remove_departed(now)
        if now - self._saved_at >= SAVE_INTERVAL_SECONDS:
            self._save_targets(now)
        self._end_unanswered_allowances(now)
        self._exchange_loads(now)
        self._record_entry_count(now)
        self._push_edges(now)
        self._exchange_relays(now)
        self._send_heartbeats(now)
        return self._take_effects()

    def flush(self, now: float) -> list[Effect]:
        """Finish a batch of inputs: return its effects and compact the log if necessary."""
        self._process_effects(now, self.replica.flush(now))
        self._compact()
        self._flush_batches(now)
        return self._take_effects()

    def _handle_call(self, now: float, call: int, message: Message) -> None:
        if isinstance(message, PutCatalogue):
            self._put_catalogue(now, call, message)
        elif isinstance(message, ReadCatalogue):
            self._start_read(now, call, message)
        elif isinstance(message, AnnounceTarget):
            self._handle_announcement(now, call, message)
        elif isinstance(message, Join):
            self._join(now, call, message)
        elif isinstance(message, Retire):
            self._release_seat(now, call, message)
        else:
            detail = f"a hub does not answer {type(message).__name__}"
            self._reply(call, Refused(RefusedReason.UNKNOWN_NAME, detail=detail))

    def _is_leader_trusted(self) -> bool:
        """Return whether the leader's build keeps the fault tolerance as it spares a seat."""
        vm = self.replica.leader.partition("/")[0]
        is_newer = self._peer_revisions.get(vm, 0) >= REPLICATION_REVISION
        return is_newer or self.voter_rules.tolerance.is_minimal

    def _handle_peer(self, now: float, message: Message) -> None:
        if isinstance(message, TargetNews):
            self._handle_target_news(now, message)
        elif isinstance(message, TargetNewsReceived):
            self._drains.confirm(message.number, message.vm)
            self._answer_drains(now)
        elif isinstance(message, TargetDigest):
            self._compare_digests(now, message)
        elif isinstance(message, EvidenceNews):
            for item in message.items:
                self._add_evidence(now, item)
        elif isinstance(message, RelayedPermitRequest):
            self._answer_relayed_permit(now, message)
        elif isinstance(message, RelayedPermitReply):
            self._effects.append(PushToSubscriber(message.subscriber, message.reply))
        elif isinstance(message, RelayedAllowanceRequest | RelayedAllowanceReply):
            self._handle_relayed_allowance(now, message)
        elif isinstance(message, RelayQuery):
            self._answer_relay_query(message)
        elif isinstance(message, RelayList):
            self.relay_directory.record(now, message)
            self._exchange_relays(now)
        elif isinstance(message, HubLoad):
            self.loads.record_remote(message)
        elif isinstance(message, HubBusy):
            self.loads.record_busy(message)
        elif isinstance(message, HubNews):
            is_sender_known = message.hubs and self.registrar.find_address(message.hubs[0].vm)
            if is_sender_known and all(item.vm != self.record.vm for item in message.hubs):
                # The sender was away, and does not know this hub any more.
                self.registrar.request_hub_news(message.hubs[0].address)
            if self.registrar.merge_hubs(now, message.hubs):
                news = self.registrar.create_hub_news()
                self._effects.append(SaveMessage(HUBS_FILE, news))
                self._effects += self.subscribers.push_all(news, lookups=True)
        elif isinstance(message, HubBeat):
            self.registrar.record_heartbeat(now, message.vm)
            self._peer_revisions[message.vm] = message.revision
            if self._peer_edge_counts.get(message.vm) != message.edges:
                self._peer_edge_counts[message.vm] = message.edges
                self._edges_changed = True
        elif isinstance(message, REPLICATION_MESSAGES):
            self._process_effects(now, self.replica.handle(now, message))
            is_reply = isinstance(message, AppendReply | SnapshotReply)
            if is_reply and self.replica.has_committed_in_term:
                self._maintain_voters(now)
        else:
            self._effects.append(
                EmitEvent("peer_message_unknown", {"kind": type(message).__name__})
            )

    def _send_heartbeats(self, now: float) -> None:
        is_current = self.is_current(now)
        if is_current != self._was_current:
            self._was_current = is_current
            self._effects.append(EmitEvent("hub_current" if is_current else "hub_isolated", {}))
            self._heartbeat_sent_at = 0.0
        if now - self._heartbeat_sent_at >= HEARTBEAT_INTERVAL_SECONDS:
            self._heartbeat_sent_at = now
            heartbeat = self._create_heartbeat(now)
            self._effects += self.subscribers.push_all(heartbeat, lookups=True)
        if now - self._digest_sent_at >= DIGEST_INTERVAL_SECONDS:
            self._digest_sent_at = now
            self._gossip_to_peers(now)

    def _gossip_to_peers(self, now: float) -> None:
        digest = TargetDigest(self.record.vm, self.targets.digest)
        is_introducing = self.needs_to_join(now)
        for address in self.list_contacts(now):
            if self.registrar.needs_hub_news(now, address) or is_introducing:
                self._effects.append(SendToPeer(address, self.registrar.create_peer_news(now)))
            self._effects.append(SendToPeer(address, self._create_heartbeat(now)))
            self._effects.append(SendToPeer(address, digest))
