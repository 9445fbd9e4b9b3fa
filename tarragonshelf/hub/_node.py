"""One hub: a replica of the catalogue, the targets' registrar, and the entries' source of news."""

from random import Random

from ..avoidance import EvidenceNews
from ..base import Codec, Effect, Message, StateMachine
from ..catalogue import (
    CatalogueCopy,
    CatalogueReader,
    CatalogueRegister,
    CatalogueState,
    CatalogueStored,
    PutCatalogue,
    ReadCatalogue,
    UnreadableCatalogueError,
    find_faults,
    unpack_content,
)
from ..consensus import (
    Commit,
    EntryKind,
    HardState,
    InstallSnapshot,
    Log,
    LogEntry,
    Member,
    Membership,
    ReadReady,
    Replica,
    Role,
    RoleChanged,
    SaveSnapshot,
    Send,
    Snapshot,
    Timing,
)
from ..registry import (
    TargetBook,
    TargetDigest,
    TargetNews,
    TargetNewsReceived,
    TargetState,
)
from ..replication import (
    CallReceived,
    Done,
    Join,
    PeerReceived,
    Refused,
    RefusedReason,
    Reply,
    StopRequested,
    Trace,
    Waiters,
    plan_admission,
    plan_join,
)
from ._drains import PendingDrains
from ._loads import LoadBook
from ._messages import (
    Announce,
    Announced,
    HubBeat,
    HubBusy,
    HubLoad,
    HubNews,
    HubRecord,
    LoadReport,
    Push,
    Remember,
    SendHub,
    Subscribe,
    SubscriberLost,
    SubscriberReceived,
)
from ._registrar import Registrar
from ._subscribers import Subscribers

FIRST_INCARNATION = "first"
# What a hub remembers on disk besides the log.
TARGETS = "targets"
CATALOGUE = "catalogue"
HUBS = "hubs"
MEMORIES = (TARGETS, CATALOGUE, HUBS)
# Entries leave a hub that is silent for 1.2 s.
BEAT_SECONDS = 0.4
# Hubs compare checksums of their targets so often.
DIGEST_SECONDS = 1.0
# So often in a row two books must differ before one is asked for as a whole.
DIFFERENCES = 2
# A follower that heard no leader for so long may miss what the others acknowledge.
CURRENT_SECONDS = 1.0
# A learner waits so long for its vote: by then it is known whether it replaces a lost voter.
LEARNER_SECONDS = 1.7
# A voter that was silent so long gives way to one that takes its place.
REPLACED_SILENT_SECONDS = 1.5
# A voter that was silent so long is removed without one; if it comes back it joins again.
REMOVED_SILENT_SECONDS = 20.0
MINIMUM_VOTERS = 3
SNAPSHOT_ENTRIES = 60
# Targets that came or changed are kept on disk at most so often; those that leave at once.
SAVE_SECONDS = 1.0
# Changes among the entries are told together: many come at a start.
EDGES_SECONDS = 0.2


def create_first_membership(vms: tuple[str, ...], port: int) -> Membership:
    """Return the voters of a system that starts for the first time, equal on all of them."""
    return Membership(
        tuple(Member(f"{vm}/{FIRST_INCARNATION}", vm, f"{vm}:{port}", True) for vm in sorted(vms))
    )


class HubNode(StateMachine):
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
    first_membership : Membership or None
        Voters of a first start, if this is one and this hub is among them.
    random : Random
        Spreads election timeouts.
    hard_state, snapshot, entries
        What the data folder held.
    """

    def __init__(
        self,
        *,
        record: HubRecord,
        incarnation: str,
        places: dict[str, str],
        codec: Codec,
        reader: CatalogueReader,
        random: Random,
        hard_state: HardState = HardState(),
        snapshot: Snapshot | None = None,
        entries: tuple[LogEntry, ...] = (),
        timing: Timing = Timing(),
    ):
        self.record = record
        self.identity = f"{record.vm}/{incarnation}"
        self.codec = codec
        self.reader = reader
        self.register = CatalogueRegister()
        if snapshot is not None:
            self.register.restore(codec.decode(snapshot.data))
        self.replica = Replica(
            identity=self.identity,
            log=Log(snapshot=snapshot, entries=entries),
            hard_state=hard_state,
            random=random,
            timing=timing,
        )
        self.targets = TargetBook()
        self.registrar = Registrar(record, places)
        self.subscribers = Subscribers(record.data_centre)
        self.loads = LoadBook(record.vm)
        self._drains = PendingDrains(record.vm)
        self._waiters = Waiters()
        self._effects: list[Effect] = []
        self._beat_at = 0.0
        self._digest_at = 0.0
        self._was_current = False
        self._learning_since: dict[str, float] = {}
        self._edges_elsewhere: dict[str, int] = {}
        self._differences: dict[str, int] = {}
        # The newest document that was ever committed here, which a restart does not forget.
        self._remembered = CatalogueCopy(0)
        self._saved_digest = self.targets.digest
        self._saved_at = 0.0
        self._edges_changed = False
        self._edges_at = 0.0

    # Queries

    @property
    def leader_address(self) -> str:
        """Where the leader is reached, or an empty text if none is known."""
        member = self.replica.membership.get_member(self.replica.leader)
        return member.address if member else ""

    def is_current(self, now: float) -> bool:
        """Tell whether this hub leads a quorum or heard a leader a moment ago."""
        if self.replica.is_leader:
            return self.replica.is_current(now)
        if not self.replica.log.last_index:
            return False
        return now - self.replica.heard_leader_at < CURRENT_SECONDS

    def needs_to_join(self, now: float) -> bool:
        """Tell whether no leader counts this hub among its replicas."""
        return not self.is_current(now)

    def list_peers(self) -> list[str]:
        """Return the addresses of all other hubs."""
        members = {item.address for item in self.replica.membership.members}
        return sorted((members | self.registrar.list_addresses()) - {self.record.address})

    # Commands

    def initialize(self, membership: Membership) -> list[Effect]:
        """Form the first voter set of a system that never ran before."""
        state = CatalogueState(index=1)
        snapshot = Snapshot(1, 0, membership, self.codec.encode(state))
        self.replica.log.compact(snapshot)
        self.replica.commit = 1
        self.replica.membership_index, self.replica.membership = 1, membership
        self.register.restore(state)
        return [
            SaveSnapshot(snapshot),
            Trace("initialized", {"voters": sorted(membership.voters)}),
        ]

    def restore_memory(self, now: float, memories: dict[str, Message]) -> None:
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

    def take_memory(self, previous: "HubNode") -> None:
        """Take over what lives in memory of a node whose replica has to start again."""
        self.targets = previous.targets
        self.registrar = previous.registrar
        self.subscribers = previous.subscribers
        self._remembered = previous._remembered

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Take a message of a peer, an entry, a target or an operator in."""
        if isinstance(message, CallReceived):
            self._handle_call(now, message.call, message.message)
        elif isinstance(message, PeerReceived):
            self._handle_peer(now, message.message)
        elif isinstance(message, SubscriberReceived):
            self._handle_subscriber(now, message.subscriber, message.message)
        elif isinstance(message, SubscriberLost):
            if self.subscribers.remove(message.subscriber):
                self._edges_changed = True
        elif isinstance(message, StopRequested):
            self._carry(now, self.replica.transfer_leadership(now))
        return self._take_effects()

    def tick(self, now: float) -> list[Effect]:
        """Let time pass."""
        self._carry(now, self.replica.tick(now))
        if self.replica.has_committed_in_term:
            self._maintain_voters(now)
        self._answer_drains(now)
        for call in self._drains.take_late(now):
            detail = "no majority of the hubs confirmed in time"
            self._reply(call, Refused(RefusedReason.BUSY, detail=detail))
        self._spread_changes(now, self.registrar.expire(now, self.targets))
        self.targets.forget_departed(now)
        if now - self._saved_at >= SAVE_SECONDS:
            self._save_targets(now)
        self._exchange_loads(now)
        self._push_edges(now)
        self._beat(now)
        return self._take_effects()

    def flush(self, now: float) -> list[Effect]:
        """End a batch of inputs."""
        self._carry(now, self.replica.flush(now))
        self._compact()
        return self._take_effects()

    # Replication

    def _carry(self, now: float, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Commit):
                self._apply(now, effect.entries)
            elif isinstance(effect, InstallSnapshot):
                self.register.restore(self.codec.decode(effect.snapshot.data))
                self._push_catalogue()
            elif isinstance(effect, ReadReady):
                self._answer_read(effect)
            elif isinstance(effect, RoleChanged):
                self._change_role(effect)
            elif isinstance(effect, Send) and not effect.address:
                address = self._derive_address(effect.identity)
                self._effects.append(Send(effect.identity, address, effect.message))
            else:
                self._effects.append(effect)

    def _derive_address(self, identity: str) -> str:
        """Return where a replica is that this one's membership does not name yet.

        A VM's name is its host, and hubs listen on the same port on all VMs of a site.
        """
        port = self.record.address.rpartition(":")[2]
        return f"{identity.partition('/')[0]}:{port}"

    def _apply(self, now: float, entries: tuple[LogEntry, ...]) -> None:
        version = self.register.state.version
        for entry in entries:
            is_command = entry.kind == EntryKind.COMMAND
            command = self.codec.decode(entry.payload) if is_command else None
            stored = self.register.apply(entry.index, command)
            call = self._waiters.take_proposal(entry.index, entry.term)
            if call is not None:
                self._reply(call, stored if is_command else Done(entry.index))
        if self.register.state.version != version:
            self._effects.append(
                Trace("catalogue_committed", {"version": self.register.state.version})
            )
            self._push_catalogue()
            if self.replica.is_leader:
                # Followers learn of the commit at once, not with the next heartbeat.
                self._carry(now, self.replica.announce_commit(now))

    def _push_catalogue(self) -> None:
        copy = self.register.copy
        if copy.version > self._remembered.version:
            self._remembered = copy
            self._effects.append(Remember(CATALOGUE, copy))
            self._effects += self.subscribers.push_all(copy)

    def _change_role(self, effect: RoleChanged) -> None:
        fields = {"replica_role": effect.role, "term": effect.term, "leader": effect.leader}
        self._effects.append(Trace("replica_role_changed", fields))
        self._learning_since = {}
        if effect.role != Role.LEADER:
            refused = Refused(RefusedReason.LEADERSHIP_LOST, self.leader_address)
            for call in self._waiters.take_all_of_leader():
                self._reply(call, refused)

    def _compact(self) -> None:
        applied = self.register.state.index
        if applied - self.replica.log.base_index >= SNAPSHOT_ENTRIES:
            data = self.codec.encode(self.register.state)
            self._effects.extend(self.replica.compact(applied, data))

    def _maintain_voters(self, now: float) -> None:
        """Admit caught-up learners, and let go of voters that are gone."""
        replica = self.replica
        if replica.membership_index > replica.commit:
            return
        silent = replica.list_silent_voters(now, REPLACED_SILENT_SECONDS)
        planned = plan_admission(
            replica.membership,
            lambda name: replica.commit - replica.get_match_index(name),
            must_wait=lambda name: self._must_learner_wait(now, name),
            replaceable=silent,
        )
        if planned is None:
            gone = replica.list_silent_voters(now, REMOVED_SILENT_SECONDS)
            if len(gone) == 1 and len(replica.membership.voters) > MINIMUM_VOTERS:
                kept = (item for item in replica.membership.members if item.identity not in gone)
                planned = Membership(tuple(kept))
        if planned is not None and replica.propose_membership(now, planned) is not None:
            self._effects.append(Trace("voters_changing", {"voters": sorted(planned.voters)}))

    def _must_learner_wait(self, now: float, identity: str) -> bool:
        since = self._learning_since.setdefault(identity, now)
        return now - since < LEARNER_SECONDS or self.replica.get_match_index(identity) == 0

    # Calls

    def _handle_call(self, now: float, call: int, message: Message) -> None:
        if isinstance(message, PutCatalogue):
            self._put(now, call, message)
        elif isinstance(message, ReadCatalogue):
            self._start_read(now, call, message)
        elif isinstance(message, Announce):
            self._take_announcement(now, call, message)
        elif isinstance(message, Join):
            self._join(now, call, message)
        else:
            detail = f"a hub does not answer {type(message).__name__}"
            self._reply(call, Refused(RefusedReason.UNKNOWN_NAME, detail=detail))

    def _put(self, now: float, call: int, message: PutCatalogue) -> None:
        try:
            faults = find_faults(self.reader.read(unpack_content(message.content)))
        except UnreadableCatalogueError as error:
            faults = (str(error),)
        if faults:
            self._reply(call, Refused(RefusedReason.INVALID, detail="\n".join(faults)))
            return
        if self.replica.has_committed_in_term and message.version <= self.register.state.version:
            # It changes nothing, but only the leader with a quorum knows the newest version.
            self._start_read(now, call, message)
            return
        index = self.replica.propose(now, self.codec.encode(message))
        if index is None:
            self._refuse_as_follower(call)
        else:
            self._waiters.add_proposal(index, self.replica.term, call)

    def _start_read(self, now: float, call: int, message: Message) -> None:
        if not self.replica.has_committed_in_term:
            self._refuse_as_follower(call)
            return
        number = self._waiters.add_read(call, message)
        self._carry(now, self.replica.start_read(now, number))

    def _answer_read(self, ready: ReadReady) -> None:
        call, message = self._waiters.take_read(ready.number)
        if call is None:
            return
        if isinstance(message, PutCatalogue):
            self._reply(call, CatalogueStored(self.register.state.version))
        else:
            self._reply(call, self.register.copy)

    def _join(self, now: float, call: int, message: Join) -> None:
        membership = self.replica.membership
        if not self.replica.has_committed_in_term:
            self._refuse_as_follower(call)
        elif message.identity in membership.identities:
            self._reply(call, Done(self.replica.commit))
        else:
            planned = plan_join(membership, message)
            index = None
            if planned.is_ok():
                index = self.replica.propose_membership(now, planned.ok)
            if index is None:
                detail = "another change of the voters is under way"
                self._reply(call, Refused(RefusedReason.BUSY, detail=detail))
            else:
                self._waiters.add_proposal(index, self.replica.term, call)

    def _take_announcement(self, now: float, call: int, message: Announce) -> None:
        entry = self.registrar.complete(now, message.target, self.targets)
        is_new = entry is not None and self.targets.merge(now, entry)
        is_leaving = message.target.state != TargetState.READY
        if entry is None:
            # It leaves and was never heard of, so nobody sends it anything.
            self._reply(call, Announced(self.record.announcements))
            return
        if is_new:
            held = self.targets.get(entry.identity)
            self._effects.append(
                Trace(
                    "target_changed",
                    {"target": held.identity, "state": held.state, "service": held.service},
                )
            )
        if not is_leaving:
            if is_new:
                self._spread_changes(now, [self.targets.get(entry.identity)])
            address = self.registrar.choose_hub(now, entry.data_centre)
            self._reply(call, Announced(address))
            return
        self._save_targets(now)
        news = self._drains.add(now, call, TargetNews((self.targets.get(entry.identity),)))
        self._effects += self.subscribers.push_all(TargetNews(news.targets))
        self._effects += (SendHub(address, news) for address in self.list_peers())
        self._answer_drains(now)

    def _answer_drains(self, now: float) -> None:
        membership = self.replica.membership
        voters = frozenset(item.vm for item in membership.members if item.voting)
        heard = self.registrar.list_heard(now)
        for call in self._drains.take_confirmed(now, voters=voters, heard=heard):
            self._reply(call, Announced(self.record.announcements))
        for vm, news in self._drains.list_resends(now, heard):
            self._effects.append(SendHub(self.registrar.find_address(vm), news))

    def _refuse_as_follower(self, call: int) -> None:
        self._reply(call, Refused(RefusedReason.NOT_LEADER, self.leader_address))

    # Other hubs

    def _handle_peer(self, now: float, message: Message) -> None:
        if isinstance(message, TargetNews):
            self._take_news(now, message)
        elif isinstance(message, TargetNewsReceived):
            self._drains.confirm(message.number, message.vm)
            self._answer_drains(now)
        elif isinstance(message, TargetDigest):
            self._compare(message)
        elif isinstance(message, EvidenceNews):
            self._effects += self.subscribers.push_all(message)
        elif isinstance(message, HubLoad):
            self.loads.record_away(message)
        elif isinstance(message, HubBusy):
            self.loads.record_busy(message)
        elif isinstance(message, HubNews):
            if self.registrar.note_hubs(now, message.hubs):
                news = self.registrar.describe_hubs()
                self._effects.append(Remember(HUBS, news))
                self._effects += self.subscribers.push_all(news, lookups=True)
        elif isinstance(message, HubBeat):
            self.registrar.note_heard(now, message.vm)
            if self._edges_elsewhere.get(message.vm) != message.edges:
                self._edges_elsewhere[message.vm] = message.edges
                self._edges_changed = True
        else:
            self._carry(now, self.replica.handle(now, message))

    def _take_news(self, now: float, news: TargetNews) -> None:
        changed = [item for item in news.targets if self.targets.merge(now, item)]
        if changed:
            held = tuple(self.targets.get(item.identity) for item in changed)
            self._effects += self.subscribers.push_all(TargetNews(held))
        if news.number:
            self._save_targets(now)
            sender = self.registrar.find_address(news.sender)
            if sender:
                received = TargetNewsReceived(news.number, self.record.vm)
                self._effects.append(SendHub(sender, received))

    def _compare(self, digest: TargetDigest) -> None:
        address = self.registrar.find_address(digest.vm)
        if not address:
            return
        if digest.wants_all:
            self._effects.append(SendHub(address, TargetNews(self.targets.list_all())))
            return
        if digest.digest == self.targets.digest:
            self._differences[digest.vm] = 0
            return
        # A single difference is mostly news on its way.
        self._differences[digest.vm] = self._differences.get(digest.vm, 0) + 1
        if self._differences[digest.vm] >= DIFFERENCES:
            self._differences[digest.vm] = 0
            wanted = TargetDigest(self.record.vm, self.targets.digest, wants_all=True)
            self._effects.append(SendHub(address, wanted))

    def _save_targets(self, now: float) -> None:
        """Keep the targets, so that a drain that is acknowledged outlasts a restart."""
        if self.targets.digest == self._saved_digest:
            return
        self._saved_digest, self._saved_at = self.targets.digest, now
        news = TargetNews(self.targets.list_all(), is_whole=True)
        self._effects.append(Remember(TARGETS, news))

    def _spread_changes(self, now: float, entries: list) -> None:
        if not entries:
            return
        news = TargetNews(tuple(entries))
        self._effects += self.subscribers.push_all(news)
        self._effects += (SendHub(address, news) for address in self.list_peers())

    # Entries

    def _handle_subscriber(self, now: float, number: int, message: Message) -> None:
        if isinstance(message, Subscribe):
            self._subscribe(now, number, message)
        elif isinstance(message, LoadReport):
            self.subscribers.record_load(number, message)
        elif isinstance(message, EvidenceNews):
            relayed = EvidenceNews(message.items, True, message.source)
            self._effects += self.subscribers.push_all(relayed, besides=number)
            self._effects += (SendHub(address, relayed) for address in self.list_peers())

    def _subscribe(self, now: float, number: int, message: Subscribe) -> None:
        is_known = number in self.subscribers.numbers
        if message.is_lookup:
            self.subscribers.put_lookup(number)
            self._effects.append(Push(number, self._create_beat(now)))
            self._effects.append(Push(number, self.registrar.describe_hubs()))
            return
        if self.subscribers.put(number, message):
            self._edges_changed = True
        if is_known:
            return
        pushed: list[Message] = [self._create_beat(now), self.registrar.describe_hubs()]
        if self._remembered.version > message.version:
            pushed.append(self._remembered)
        pushed.append(TargetNews(self.targets.list_all(), is_whole=True))
        self._effects += (Push(number, item) for item in pushed)
        self._edges_changed = True

    def _push_edges(self, now: float) -> None:
        """Tell entries who serves, several changes at once."""
        if not self._edges_changed or now - self._edges_at < EDGES_SECONDS:
            return
        self._edges_changed, self._edges_at = False, now
        total = len(self.subscribers.serving) + sum(self._edges_elsewhere.values())
        self._effects += self.subscribers.push_edges(total)

    def _exchange_loads(self, now: float) -> None:
        self.loads.set_own(self.subscribers.compute_load())
        for vm in self.registrar.list_silent(now):
            self.loads.forget_hub(vm)
        targets = self.targets.list_all()
        homes = {}
        for data_centre in {item.data_centre for item in targets}:
            homes[data_centre] = self.registrar.find_home(now, data_centre)
        away, busy = self.loads.exchange(
            now,
            {item.identity: homes[item.data_centre] for item in targets},
            {item.identity: item.slots for item in targets},
        )
        for vm, news in away.items():
            self._effects.append(SendHub(self.registrar.find_address(vm), news))
        if busy is not None:
            self._effects += (SendHub(address, busy) for address in self.list_peers())
        self._effects += self.subscribers.push_load(now, self.loads.compute_totals())

    # Time

    def _create_beat(self, now: float) -> HubBeat:
        return HubBeat(self.record.vm, self.is_current(now), len(self.subscribers.serving))

    def _beat(self, now: float) -> None:
        is_current = self.is_current(now)
        if is_current != self._was_current:
            self._was_current = is_current
            self._effects.append(Trace("hub_current" if is_current else "hub_isolated", {}))
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
                self._effects.append(SendHub(address, self.registrar.describe_hubs()))
            self._effects.append(SendHub(address, self._create_beat(now)))
            self._effects.append(SendHub(address, digest))

    def _reply(self, call: int, message: Message) -> None:
        self._effects.append(Reply(call, message))

    def _take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects
