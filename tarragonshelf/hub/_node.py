"""One hub: a replica of the catalogue, the targets' registrar, and the entries' source of news."""

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
from ..replication import (
    CallReceived,
    EmitEvent,
    Join,
    PeerMessageReceived,
    Refused,
    RefusedReason,
    StopRequested,
)
from ._entries import EntriesMixin
from ._messages import (
    AnnounceTarget,
    HubBeat,
    HubBusy,
    HubLoad,
    HubNews,
    SaveMessage,
    SendToPeer,
    SubscriberLost,
    SubscriberReceived,
)
from ._replication import ReplicationMixin
from ._state import CATALOGUE, FIRST_INCARNATION, HUBS, TARGETS
from ._targets import TargetsMixin

REPLICATION = (
    AppendReply,
    AppendRequest,
    ElectNow,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
# Entries leave a hub that is silent for 1.2 s.
BEAT_SECONDS = 0.4
# Hubs compare checksums of their targets so often.
DIGEST_SECONDS = 1.0
# Targets that came or changed are kept on disk at most so often; those that leave at once.
SAVE_SECONDS = 1.0


def create_first_membership(vms: tuple[str, ...], port: int) -> Membership:
    """Return the voters of a system that starts for the first time, equal on all of them."""
    return Membership(
        tuple(Member(f"{vm}/{FIRST_INCARNATION}", vm, f"{vm}:{port}", True) for vm in sorted(vms))
    )


class HubNode(ReplicationMixin, TargetsMixin, EntriesMixin):
    """The decisions of a control process of a site.

    Parameters
    ----------
    record : HubRecord
        Where this hub is reached.
    incarnation : str
        Incarnation of its data folder.
    places : dict of str to str
        Region of each data centre.
    codec : Codec
        Encodes commands and snapshots.
    reader : CatalogueReader
        Reads operators' documents, so that none unsound gets into the log.
    random : Random
        Spreads election timeouts.
    budget : BudgetTerms, optional
        How many repeats the site allows.
    hard_state, snapshot, entries
        What the data folder held.
    """

    def initialize(self, membership: Membership) -> list[Effect]:
        """Form the first voter set of a system that never ran before."""
        self._bootstrap(membership, CatalogueState(index=1))
        self._effects.append(EmitEvent("initialized", {"voters": sorted(membership.voters)}))
        return self._take_effects()

    def restore_saved_messages(self, now: float, memories: dict[str, Message]) -> None:
        """Begin with what was known before this process started, by name."""
        if CATALOGUE in memories:
            self._remembered = memories[CATALOGUE]
        if HUBS in memories:
            self.registrar.note_hubs(now, memories[HUBS].hubs)
        if TARGETS in memories:
            for entry in memories[TARGETS].targets:
                if self.targets.merge(now, entry):
                    self.registrar.note_target(now, entry.identity)
        self._saved_digest = self.targets.digest

    def adopt_volatile_state(self, previous: "HubNode") -> None:
        """Take over what lives in memory of a node whose replica has to start again."""
        self.targets = previous.targets
        self.registrar = previous.registrar
        self.subscribers = previous.subscribers
        self.retry_pool = previous.retry_pool
        self._remembered = previous._remembered

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Take a message of a peer, an entry, a target or an operator in."""
        if isinstance(message, CallReceived):
            self._handle_call(now, message.call, message.message)
        elif isinstance(message, PeerMessageReceived):
            self._handle_peer(now, message.message)
        elif isinstance(message, SubscriberReceived):
            self._handle_subscriber(now, message.subscriber, message.message)
        elif isinstance(message, SubscriberLost):
            if self.subscribers.remove(message.subscriber):
                self._edges_changed = True
        elif isinstance(message, StopRequested):
            self._process_effects(now, self.replica.transfer_leadership(now))
        return self._take_effects()

    def tick(self, now: float) -> list[Effect]:
        """Let time pass."""
        self._process_effects(now, self.replica.tick(now))
        if self.replica.has_committed_in_term:
            self._maintain_voters(now)
        self._answer_drains(now)
        for call in self._drains.take_late(now):
            detail = "no majority of the hubs confirmed in time"
            self._reply(call, Refused(RefusedReason.BUSY, detail=detail))
        self._spread_changes(self.registrar.expire(now, self.targets))
        self.targets.remove_departed(now)
        if now - self._saved_at >= SAVE_SECONDS:
            self._save_targets(now)
        self._exchange_loads(now)
        self._push_edges(now)
        self._beat(now)
        return self._take_effects()

    def flush(self, now: float) -> list[Effect]:
        """End a batch of inputs."""
        self._process_effects(now, self.replica.flush(now))
        self._compact()
        self._pass_on(now)
        return self._take_effects()

    def _handle_call(self, now: float, call: int, message: Message) -> None:
        if isinstance(message, PutCatalogue):
            self._put(now, call, message)
        elif isinstance(message, ReadCatalogue):
            self._start_read(now, call, message)
        elif isinstance(message, AnnounceTarget):
            self._take_announcement(now, call, message)
        elif isinstance(message, Join):
            self._join(now, call, message)
        else:
            detail = f"a hub does not answer {type(message).__name__}"
            self._reply(call, Refused(RefusedReason.UNKNOWN_NAME, detail=detail))

    def _handle_peer(self, now: float, message: Message) -> None:
        if isinstance(message, TargetNews):
            self._take_news(now, message)
        elif isinstance(message, TargetNewsReceived):
            self._drains.confirm(message.number, message.vm)
            self._answer_drains(now)
        elif isinstance(message, TargetDigest):
            self._compare(message)
        elif isinstance(message, EvidenceNews):
            for item in message.items:
                self._evidence_for_entries.add_evidence(now, item)
        elif isinstance(message, HubLoad):
            self.loads.record_away(message)
        elif isinstance(message, HubBusy):
            self.loads.record_busy(message)
        elif isinstance(message, HubNews):
            if self.registrar.note_hubs(now, message.hubs):
                news = self.registrar.describe_hubs()
                self._effects.append(SaveMessage(HUBS, news))
                self._effects += self.subscribers.push_all(news, lookups=True)
        elif isinstance(message, HubBeat):
            self.registrar.note_heard(now, message.vm)
            if self._edges_elsewhere.get(message.vm) != message.edges:
                self._edges_elsewhere[message.vm] = message.edges
                self._edges_changed = True
        elif isinstance(message, REPLICATION):
            self._process_effects(now, self.replica.handle(now, message))
        else:
            self._effects.append(
                EmitEvent("peer_message_unknown", {"kind": type(message).__name__})
            )

    def _beat(self, now: float) -> None:
        is_current = self.is_current(now)
        if is_current != self._was_current:
            self._was_current = is_current
            self._effects.append(EmitEvent("hub_current" if is_current else "hub_isolated", {}))
            self._beat_at = 0.0
        if now - self._beat_at >= BEAT_SECONDS:
            self._beat_at = now
            beat = self._create_beat(now)
            self._effects += self.subscribers.push_all(beat, lookups=True)
        if now - self._digest_at >= DIGEST_SECONDS:
            self._digest_at = now
            self._greet_peers(now)

    def _greet_peers(self, now: float) -> None:
        digest = TargetDigest(self.record.vm, self.targets.digest)
        for address in self.list_peers():
            if self.registrar.needs_greeting(now, address):
                self._effects.append(SendToPeer(address, self.registrar.describe_hubs()))
            self._effects.append(SendToPeer(address, self._create_beat(now)))
            self._effects.append(SendToPeer(address, digest))
