"""Controls on a fake network, with a fake clock and fake disks."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from ...configuration import ApplyConfiguration, split_document
from ...consensus import (
    EntryKind,
    Member,
    Membership,
    SaveEntries,
    SaveHardState,
    SaveSnapshot,
    Send,
)
from ...control import CallReceived, ControlNode, Initialize, PeerMessageReceived, Reply
from ...ledger import AbandonKey, ClaimId, ClaimKey, ClaimState, OrderKey, SettleKey
from ...ledger import Answer as StoredAnswer
from ...replication import CallPeer, PeerCallEnded
from ...storage import ReplicaStore
from ...storage.tests.fakes import FakeFileSystem
from ...transport import create_codec

CODEC = create_codec()
TICK_SECONDS = 0.05
CLAIM_TIMEOUT_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 0.5
SAVES = (SaveHardState, SaveEntries, SaveSnapshot)


def create_change(change_id: str, base: int, name: str) -> ApplyConfiguration:
    """Return a change that replaces version ``base`` by a small document called ``name``.

    The author has the same name as the change.
    """
    content = {
        "name": name,
        "regions": [{"name": "norte", "data_centres": ["n1"]}],
        "services": [{"name": "rondas", "targets": 3, "floor": 2}],
        "routes": [{"path": "/rondas", "service": "rondas"}],
    }
    chunks = split_document(content)
    manifest = tuple(chunk.digest for chunk in chunks)
    return ApplyConfiguration(change_id, base, change_id, manifest, chunks)


@dataclass
class FakeControl:
    """One control VM: its disk, and its process while it runs."""

    vm: str
    files: FakeFileSystem = field(default_factory=FakeFileSystem)
    node: ControlNode | None = None
    store: ReplicaStore | None = None
    is_frozen: bool = False
    queued: list = field(default_factory=list)


class FakeFleet:
    """Controls on one clock; each step checks the safety invariants of replication.

    Parameters
    ----------
    names : list of str
        The control VMs.
    seed : int
        Seed of all random decisions.
    create_store, create_node : callable
        Classes of store and node, which tests replace by faulty ones.
    """

    def __init__(self, names, *, seed=0, create_store=ReplicaStore, create_node=ControlNode):
        self.random = Random(seed)
        self.now = 100.0
        self.controls = {name: FakeControl(name) for name in names}
        self.blocked_links: set[tuple[str, str]] = set()
        self.drop = 0.0
        self.duplicate = 0.0
        self.delay = 0.0
        self.replies: dict[int, object] = {}
        self.create_store = create_store
        self.create_node = create_node
        self.snapshot_entries = 40
        self._in_flight: list[tuple[float, int, str, str, object]] = []
        self._number = 0
        self._calls = 0
        # Calls between controls: those that end without a reply, with the time, and open ones.
        self._failed_calls: list[tuple[float, str, ControlNode, CallPeer]] = []
        self._peer_calls: dict[int, tuple[str, ControlNode, CallPeer]] = {}
        self._incarnations = 0
        self._leaders: dict[int, str] = {}
        self._committed: dict[int, tuple[int, bytes]] = {}

    # Operations

    def start(self, vm: str) -> None:
        """Start a control's process from what its disk holds."""
        control = self.controls[vm]
        control.store = self.create_store(control.files, CODEC)
        restored = control.store.restore(self._create_incarnation)
        control.node = self.create_node(
            vm=vm,
            incarnation=restored.incarnation,
            address=vm,
            codec=CODEC,
            random=Random(self.random.random()),
            hard_state=restored.hard_state,
            snapshot=restored.snapshot,
            entries=restored.entries,
            snapshot_entries=self.snapshot_entries,
            seeds=tuple(name for name in self.controls if name != vm),
        )
        control.is_frozen = False
        control.queued = []

    def start_all(self) -> None:
        """Start all controls and initialize them as the first voter set."""
        for vm in self.controls:
            self.start(vm)
        members = tuple(
            Member(item.node.identity, vm, vm, voting=True) for vm, item in self.controls.items()
        )
        for vm in self.controls:
            self.call(vm, Initialize("cluster", Membership(members)))

    def crash(self, vm: str) -> None:
        """Kill a process; its disk keeps what was synced."""
        control = self.controls[vm]
        control.node = None
        control.files.crash()

    def lose_disk(self, vm: str) -> None:
        """Kill a process and empty its disk."""
        self.crash(vm)
        self.controls[vm].files = FakeFileSystem()

    def call(self, vm: str, message) -> int:
        """Deliver a call to a control and return its key in ``replies``."""
        self._calls += 1
        self._deliver(vm, CallReceived(self._calls, message))
        return self._calls

    def heal(self) -> None:
        """Restore all links, and start or thaw all controls."""
        self.blocked_links = set()
        self.drop = self.duplicate = self.delay = 0.0
        for vm, control in self.controls.items():
            if control.node is None:
                self.start(vm)
            self.thaw(vm)

    def freeze(self, vm: str) -> None:
        """Suspend a process; messages to it are queued."""
        self.controls[vm].is_frozen = True

    def thaw(self, vm: str) -> None:
        """Resume a frozen process, which then handles the queued messages."""
        control = self.controls[vm]
        control.is_frozen = False
        queued, control.queued = control.queued, []
        for message in queued:
            self._deliver(vm, message)

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps of ``TICK_SECONDS``."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self._step()

    def find_leader(self) -> str | None:
        """Return the control that leads the highest term, or None."""
        leading = [
            (item.node.replica.term, vm)
            for vm, item in self.controls.items()
            if item.node is not None and not item.is_frozen and item.node.replica.is_leader
        ]
        return max(leading)[1] if leading else None

    def wait_for_leader(self, seconds: float = 30.0) -> str:
        """Advance until a control leads and has committed in its term, and return it."""
        for _ in range(round(seconds / TICK_SECONDS)):
            leader = self.find_leader()
            if leader and self.controls[leader].node.replica.has_committed_in_term:
                return leader
            self._step()
        raise AssertionError(f"no leader within {seconds} s")

    def submit(self, message, seconds: float = 10.0):
        """Submit a command to the leader until it is carried out, and return the result."""
        for _ in range(round(seconds / CLAIM_TIMEOUT_SECONDS)):
            call = self.call(self.wait_for_leader(), message)
            for _ in range(round(CLAIM_TIMEOUT_SECONDS / TICK_SECONDS)):
                self._step()
                if call in self.replies:
                    break
            reply = self.replies.get(call)
            if reply is not None and type(reply).__name__ != "Refused":
                return reply
        raise AssertionError(f"{message} got no result within {seconds} s")

    # Steps

    def _step(self) -> None:
        self.now += TICK_SECONDS
        due = [item for item in self._in_flight if item[0] <= self.now]
        self._in_flight = [item for item in self._in_flight if item[0] > self.now]
        for _, _, source, destination, message in sorted(due, key=lambda item: item[:2]):
            if (source, destination) not in self.blocked_links:
                self._deliver(destination, PeerMessageReceived(message))
        for vm, control in self.controls.items():
            if control.node is not None and not control.is_frozen:
                self._execute_effects(
                    vm, control.node.tick(self.now) + control.node.flush(self.now)
                )
        self._finish_peer_calls()
        self.check()

    def _call_peer(self, vm: str, effect: CallPeer) -> None:
        """Call another control, which answers unless it is not running or a link is blocked."""
        links = {(vm, effect.address), (effect.address, vm)}
        caller = self.controls[vm].node
        if links & self.blocked_links or self.controls[effect.address].node is None:
            self._failed_calls.append((self.now + CALL_TIMEOUT_SECONDS, vm, caller, effect))
            return
        self._peer_calls[self.call(effect.address, effect.message)] = (vm, caller, effect)

    def _finish_peer_calls(self) -> None:
        due = [item for item in self._failed_calls if item[0] <= self.now]
        self._failed_calls = [item for item in self._failed_calls if item[0] > self.now]
        ended = [(item[1:], None) for item in due]
        for number in [item for item in self._peer_calls if item in self.replies]:
            ended.append((self._peer_calls.pop(number), self.replies[number]))
        for (vm, caller, effect), reply in ended:
            if self.controls[vm].node is caller:
                self._deliver(vm, PeerCallEnded(effect.address, effect.message, reply))

    def _deliver(self, vm: str, message) -> None:
        control = self.controls[vm]
        if control.node is None:
            return
        if control.is_frozen:
            control.queued.append(message)
            return
        node = control.node
        self._execute_effects(vm, node.handle(self.now, message) + node.flush(self.now))

    def _execute_effects(self, vm: str, effects) -> None:
        saves = [effect for effect in effects if isinstance(effect, SAVES)]
        if saves:
            self.controls[vm].store.save(saves)
        for effect in effects:
            if isinstance(effect, Send):
                self._send(vm, effect)
            elif isinstance(effect, Reply):
                self.replies[effect.call] = effect.message
            elif isinstance(effect, CallPeer):
                self._call_peer(vm, effect)

    def _send(self, vm: str, effect: Send) -> None:
        destination = effect.identity.partition("/")[0]
        node = self.controls[destination].node
        if node is None or node.identity != effect.identity:
            return
        copies = 1 + (self.random.random() < self.duplicate)
        for _ in range(copies):
            if self.random.random() >= self.drop:
                self._number += 1
                arrival = self.now + 0.001 + self.random.random() * self.delay
                item = (arrival, self._number, vm, destination, effect.message)
                self._in_flight.append(item)

    def _create_incarnation(self) -> str:
        self._incarnations += 1
        return str(self._incarnations)

    # Invariants

    def check(self) -> None:
        """Check election safety, state machine safety and leader completeness."""
        for vm, control in self.controls.items():
            if control.node is not None:
                self._check_election(vm, control.node.replica)
                self._check_log(vm, control.node.replica)

    def _check_election(self, vm: str, replica) -> None:
        if replica.is_leader:
            leader = self._leaders.setdefault(replica.term, replica.identity)
            assert leader == replica.identity, f"two leaders in term {replica.term}"
            for index, (term, _) in self._committed.items():
                is_newer = replica.term > term
                if is_newer and index > replica.log.base_index:
                    held = replica.log.get_term(index)
                    assert held == term, f"leader {vm} lacks committed entry {index}"

    def _check_log(self, vm: str, replica) -> None:
        log = replica.log
        for entry in log.get_entries(log.base_index + 1, replica.commit):
            content = (entry.term, entry.payload if entry.kind == EntryKind.COMMAND else b"")
            known = self._committed.setdefault(entry.index, content)
            assert known == content, f"{vm} committed a different entry at index {entry.index}"


class FakeEntry:
    """An entry that claims, runs and settles orders, as the real one does."""

    def __init__(self, fleet: FakeFleet, vm: str):
        self.fleet = fleet
        self.vm = vm
        self.runs: Counter = Counter()
        self.answers: dict[OrderKey, StoredAnswer] = {}
        self._number = 0
        self._open: list[tuple[int, ClaimKey, float]] = []
        self._commands: list[tuple[object, int]] = []

    def claim(self, control: str, key: str) -> None:
        """Send a claim to one control."""
        self._number += 1
        claim = ClaimId(self.vm, "1", self._number)
        order = OrderKey("account", "POST /orders", key)
        command = ClaimKey(claim, order, "digest", "service", 20.0, 600.0)
        self._open.append((self.fleet.call(control, command), command, self.fleet.now))

    def process_claims(self) -> None:
        """Run claims granted in time, abandon late ones, and resend unanswered commands."""
        for item in list(self._open):
            call, command, sent_at = item
            reply = self.fleet.replies.get(call)
            if self.fleet.now - sent_at > CLAIM_TIMEOUT_SECONDS:
                self._open.remove(item)
                self._commands.append((AbandonKey(command.claim, command.key), 0))
            elif reply is not None and getattr(reply, "state", None) is not None:
                self._open.remove(item)
                self._handle_reply(command, reply)
        leader = self.fleet.find_leader()
        for item in list(self._commands):
            command, call = item
            self._commands.remove(item)
            if getattr(self.fleet.replies.get(call), "state", None) is None:
                resent = self.fleet.call(leader, command) if leader else 0
                self._commands.append((command, resent))

    def _handle_reply(self, command: ClaimKey, reply) -> None:
        if reply.state == ClaimState.GRANTED:
            self.runs[command.key] += 1
            answer = StoredAnswer(200, (), f"{self.vm}.{command.claim.number}".encode())
            self.answers[command.key] = answer
            settle = SettleKey(
                command.claim, command.key, answer, command.digest, command.service, command.window
            )
            self._commands.append((settle, 0))
