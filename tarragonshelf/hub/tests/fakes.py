"""Hubs joined by a fake network, with a fake clock and fake disks."""

from random import Random

from ...catalogue import (
    Catalogue,
    CatalogueReader,
    PutCatalogue,
    ReadCatalogue,
    Route,
    ServiceSpec,
    UnreadableCatalogueError,
    WeightedService,
    compress_content,
)
from ...consensus import SaveEntries, SaveHardState, SaveSnapshot, Send, Timing
from ...forwarding import RetryBudgetSettings
from ...hub import (
    SAVED_MESSAGE_NAMES,
    HubNode,
    HubRecord,
    PushToSubscriber,
    SaveMessage,
    SendToPeer,
    Subscribe,
    SubscriberReceived,
    create_first_membership,
)
from ...registry import TargetNews
from ...replication import CallReceived, EmitEvent, Join, PeerMessageReceived, Reply
from ...storage import MessageFile, ReplicaStore
from ...storage.tests.fakes import FakeFileSystem
from ...transport import create_codec

CODEC = create_codec()
TICK = 0.05
PORT = 7000
SAVES = (SaveHardState, SaveEntries, SaveSnapshot)
PLACES = {f"z{index}": f"r{index % 3}" for index in range(11)}


class FakeReader(CatalogueReader):
    """Reads ``VERSION`` or ``VERSION bad`` as a small catalogue."""

    def read(self, content: bytes) -> Catalogue:
        try:
            version = int(content.split()[0])
        except (ValueError, IndexError) as error:
            raise UnreadableCatalogueError("no number") from error
        service = "unknown" if b"bad" in content else "s"
        shares = (WeightedService(service, 1.0),)
        route = Route("r", "h", "/", True, 1.0, 1.0, 1, 2, shares)
        return Catalogue(version, (route,), (ServiceSpec("s", 10),))


class FakeHub:
    """One VM: its disk, and its process while it runs."""

    def __init__(self, vm: str, data_centre: str):
        address = f"{vm}:{PORT}"
        self.record = HubRecord(vm, address, f"{vm}:80", data_centre)
        self.files = FakeFileSystem()
        self.node: HubNode | None = None
        self.store: ReplicaStore | None = None
        self.memories: dict[str, MessageFile] = {}
        self.is_refusing = False


class FakeSite:
    """Hubs on one clock; the first three form the system at its first start."""

    def __init__(self, count: int, *, seed: int = 0, centres: int | None = None):
        self.random = Random(seed)
        self.now = 100.0
        self.hubs: dict[str, FakeHub] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.lose_next = 0
        self.replies: dict[int, object] = {}
        self.pushed: list[tuple[str, int, object]] = []
        self.traces: list[EmitEvent] = []
        self.seeds = tuple(f"vm{index}" for index in range(min(3, count)))
        self._flying: list[tuple[float, int, str, object]] = []
        self._number = 0
        self._calls = 0
        for index in range(count):
            self.add(f"vm{index}", f"z{index % (centres or 9)}")
        for vm in self.hubs:
            self.start(vm, is_first=True)
        self.advance(8.0)

    def add(self, vm: str, data_centre: str) -> None:
        """Add a VM with an empty disk."""
        self.hubs[vm] = FakeHub(vm, data_centre)

    def start(self, vm: str, *, is_first: bool = False) -> None:
        """Start a hub from what its disk holds."""
        hub = self.hubs[vm]
        hub.store = ReplicaStore(hub.files, CODEC)
        hub.memories = {name: MessageFile(hub.files, CODEC, name) for name in SAVED_MESSAGE_NAMES}
        is_first = is_first and vm in self.seeds
        restored = hub.store.restore(lambda: "first" if is_first else self._mint())
        hub.node = HubNode(
            record=hub.record,
            incarnation=restored.incarnation,
            places=PLACES,
            codec=CODEC,
            reader=FakeReader(),
            random=Random(self.random.random()),
            hard_state=restored.hard_state,
            snapshot=restored.snapshot,
            entries=restored.entries,
            timing=Timing(
                heartbeat_interval=0.3, election_timeout=1.0, initial_election_timeout=0.35
            ),
            budget=RetryBudgetSettings(ratio=0.2, slack=40.0, window=10.0),
        )
        found = {name: file.load()[0] for name, file in hub.memories.items()}
        memories = {name: item for name, item in found.items() if item is not None}
        hub.node.restore_saved_messages(self.now, memories)
        if is_first and restored.snapshot is None:
            membership = create_first_membership(self.seeds, PORT)
            self._carry_out(hub, hub.node.initialize(membership))

    def stop(self, vm: str, *, loses_power: bool = False, loses_disk: bool = False) -> None:
        """End a hub's process at once."""
        hub = self.hubs[vm]
        hub.node = None
        if loses_power:
            hub.files.crash()
        if loses_disk:
            hub.files = FakeFileSystem()

    def advance(self, seconds: float) -> None:
        """Let time pass, with frames and ticks."""
        end = self.now + seconds
        joined_at = self.now
        while self.now < end:
            self.now += TICK
            self._deliver()
            for hub in list(self.hubs.values()):
                self._run(hub, None)
            if self.now - joined_at >= 0.5:
                joined_at = self.now
                self._ask_to_join()

    def call(self, vm: str, message) -> int:
        """Make a call at a hub and return its number."""
        self._calls += 1
        self._run(self.hubs[vm], CallReceived(self._calls, message))
        return self._calls

    def put(self, version: int) -> bool:
        """Put a version at the leader, and tell whether it was acknowledged."""
        leader = self.leader
        if leader is None:
            return False
        number = self.call(leader, PutCatalogue(version, compress_content(str(version).encode())))
        self.advance(0.5)
        return hasattr(self.replies.get(number), "version")

    def read(self) -> object:
        """Read the newest catalogue at the leader."""
        leader = self.leader
        if leader is None:
            return None
        number = self.call(leader, ReadCatalogue())
        self.advance(0.5)
        return self.replies.get(number)

    def subscribe(self, vm: str, number: int, entry: str, data_centre: str = "z0") -> None:
        """Let an entry follow a hub."""
        record = Subscribe(entry, f"{entry}:80", data_centre, 0, True)
        self._run(self.hubs[vm], SubscriberReceived(number, record))

    def receive(self, vm: str, message) -> None:
        """Hand a message to a hub."""
        self._run(self.hubs[vm], message)

    def cut(self, *vms: str) -> None:
        """Cut some VMs off from all others."""
        for vm in vms:
            for other in self.hubs:
                if other not in vms:
                    self.cuts |= {(vm, other), (other, vm)}

    @property
    def leader(self) -> str | None:
        """The VM of the hub that leads with a quorum."""
        for vm, hub in self.hubs.items():
            node = hub.node
            leads = node is not None and node.replica.has_committed_in_term
            if leads and node.is_current(self.now):
                return vm
        return None

    @property
    def voters(self) -> set[str]:
        """The VMs that vote, as the leader sees it."""
        return {name.partition("/")[0] for name in self._leading.replica.membership.voters}

    @property
    def _leading(self) -> HubNode:
        return self.hubs[self.leader].node

    # Steps

    def _mint(self) -> str:
        self._number += 1
        return f"n{self._number}"

    def _ask_to_join(self) -> None:
        for hub in self.hubs.values():
            if hub.node is None or not hub.node.needs_to_join(self.now):
                continue
            own = Join(hub.node.identity, hub.record.vm, hub.record.address)
            for other in self.hubs.values():
                is_cut = (hub.record.vm, other.record.vm) in self.cuts
                if other is not hub and other.node is not None and not is_cut:
                    self.call(other.record.vm, own)

    def _run(self, hub: FakeHub, message) -> None:
        if hub.node is None:
            return
        effects = hub.node.handle(self.now, message) if message else hub.node.tick(self.now)
        effects += hub.node.flush(self.now)
        self._carry_out(hub, effects)

    def _carry_out(self, hub: FakeHub, effects) -> None:
        saves = [effect for effect in effects if isinstance(effect, SAVES)]
        if saves:
            hub.store.save(saves)
        for effect in effects:
            if isinstance(effect, SaveMessage):
                hub.memories[effect.name].save(effect.message)
        for effect in effects:
            if isinstance(effect, Send | SendToPeer):
                self._send(hub.record.vm, effect.address.partition(":")[0], effect.message)
            elif isinstance(effect, Reply):
                self.replies[effect.call] = effect.message
            elif isinstance(effect, EmitEvent):
                self.traces.append(effect)
            elif isinstance(effect, PushToSubscriber):
                self.pushed.append((hub.record.vm, effect.subscriber, effect.message))

    def _send(self, source: str, destination: str, message) -> None:
        if self.lose_next and isinstance(message, TargetNews):
            self.lose_next -= 1
            return
        if (source, destination) not in self.cuts:
            at = self.now + self.random.uniform(0.0, 0.04)
            self._number += 1
            self._flying.append((at, self._number, destination, CODEC.encode(message)))

    def _deliver(self) -> None:
        due = sorted(item for item in self._flying if item[0] <= self.now)
        self._flying = [item for item in self._flying if item[0] > self.now]
        for _, _, destination, content in due:
            if destination in self.hubs:
                self._run(self.hubs[destination], PeerMessageReceived(CODEC.decode(content)))
