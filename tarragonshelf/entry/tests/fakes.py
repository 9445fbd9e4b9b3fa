"""Entries joined by a fake network, with one control machine behind a link for each."""

from random import Random

from ...configuration import ApplyConfiguration, split_document
from ...control import Chunks, ControlMachine, FetchChunks, Followed, SetDrained
from ...entry import EntryNode, RequestChunks, SendEvidence, SubmitCommand
from ...health import Outcome
from ...membership import Announcement, EntryRecord, EntryState, SendGossip, TargetState

TICK = 0.05
CONTROL = "control"
ANNOUNCE_SECONDS = 1.0


def create_content(*, targets: int = 6, floor: int = 3, **changes) -> dict:
    detection = {"false_ejection_rate": 1e-3, "hang_seconds": 0.5, "probation_seconds": 5.0}
    service = {"name": "rondas", "targets": targets, "floor": floor, "detection": detection}
    return {
        "name": "test",
        "regions": [{"name": "norte", "data_centres": ["n1", "n2"]}],
        "services": [service],
        "routes": [{"path": "/rondas", "service": "rondas"}],
    } | changes


def create_entry(vm: str, seeds: tuple[str, ...], seed: int, incarnation: int = 1) -> EntryNode:
    own = EntryRecord(vm, incarnation, 0, EntryState.ALIVE, f"http {vm}", vm, "n1")
    return EntryNode(own=own, seeds=seeds, random=Random(seed))


class FakeTarget:
    """A target that announces itself to two registrars while it is alive."""

    def __init__(self, address: str, registrars: tuple[str, str], incarnation: int = 1):
        self.address = address
        self.registrars = registrars
        self.incarnation = incarnation
        self.state = TargetState.READY
        self.is_alive = True
        self.sequence = 0
        self.next_at = 0.0

    def create_announcement(self) -> Announcement:
        self.sequence += 1
        return Announcement(
            "rondas",
            self.address,
            "n1",
            3,
            self.state,
            self.incarnation,
            self.sequence,
            self.registrars,
        )


class FakeEntries:
    """A fleet of entries on one clock.

    ``cuts`` holds pairs of sender and receiver; ``CONTROL`` is the control's name in it.
    """

    def __init__(self, count: int, *, targets: int = 6, seed: int = 0, create=create_entry):
        self.random = Random(seed)
        self.now = 100.0
        self.machine = ControlMachine()
        self.machine.cluster = "cluster"
        self.create = create
        names = [f"e{n}" for n in range(count)]
        self.seeds = tuple(names[:2])
        self.entries = {vm: create(vm, self.seeds, seed + n) for n, vm in enumerate(names)}
        self.stopped: set[str] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.delay = 0.05
        self.duplicate = 0.0
        self.targets = {}
        for n in range(targets):
            registrars = (names[n % count], names[(n + 1) % count])
            self.targets[f"t{n}"] = FakeTarget(f"t{n}", registrars)
        self._flying = []
        self._number = 0

    def apply(self, content: dict, change_id: str = "change"):
        """Have a document accepted by the control."""
        chunks = split_document(content)
        manifest = tuple(chunk.digest for chunk in chunks)
        base = self.machine.register.current.version
        command = ApplyConfiguration(f"{change_id}-{base}", base, "test", manifest, chunks)
        return self._submit(command)

    def drain(self, vm: str) -> None:
        """Drain an entry VM by command."""
        self._submit(SetDrained(vm, True))

    def advance(self, seconds: float, check=lambda: None) -> None:
        """Let time pass in small steps, with a check after each."""
        for _ in range(round(seconds / TICK)):
            self._step()
            check()

    def list_ready(self, vm: str) -> list[str]:
        """Return the targets that an entry would give new work."""
        return [item.address for item in self.entries[vm].balancer.list_usable("rondas")]

    def record(self, vm: str, target: str, outcome: Outcome, count: int = 1) -> None:
        """Let an entry see outcomes of requests at a target."""
        record = self.entries[vm].gossip.targets.get_record(target)
        for _ in range(count):
            self.entries[vm].record_outcome(self.now, "rondas", record, outcome)

    def restart(self, vm: str) -> None:
        """Start an entry anew with nothing in memory."""
        incarnation = self.entries[vm].own.incarnation + 1
        self.entries[vm] = self.create(vm, self.seeds, 99, incarnation)
        self.stopped.discard(vm)

    def _submit(self, command):
        self.machine.index += 1
        return self.machine.apply(self.machine.index, self.now, command)

    def _step(self) -> None:
        self.now += TICK
        due = sorted(item for item in self._flying if item[0] <= self.now)
        self._flying = [item for item in self._flying if item[0] > self.now]
        for _, _, destination, message in due:
            if destination not in self.stopped:
                node = self.entries[destination]
                self._carry_out(destination, node.handle(self.now, message.content))
        for target in self.targets.values():
            self._announce(target)
        for vm, node in self.entries.items():
            if vm not in self.stopped:
                self._follow(vm, node)
                self._carry_out(vm, node.tick(self.now))

    def _announce(self, target: FakeTarget) -> None:
        if not target.is_alive or self.now < target.next_at:
            return
        target.next_at = self.now + ANNOUNCE_SECONDS
        announcement = target.create_announcement()
        for vm in target.registrars:
            if (target.address, vm) not in self.cuts and vm not in self.stopped:
                node = self.entries[vm]
                self._carry_out(vm, node.handle(self.now, announcement))

    def _follow(self, vm: str, node: EntryNode) -> None:
        if {(vm, CONTROL), (CONTROL, vm)} & self.cuts:
            self._catch_up(vm, node)
            return
        machine = self.machine
        followed = Followed(
            machine.cluster,
            machine.revision,
            machine.register.current,
            machine.grants.list_ejections(),
            tuple(machine.drained),
        )
        self._carry_out(vm, node.follow(self.now, CONTROL, followed))

    def _catch_up(self, vm: str, node: EntryNode) -> None:
        """Ask a peer that gossip names as newer, as the daemon does."""
        for peer, other in self.entries.items():
            newer = other.follower.in_force.revision > node.follower.in_force.revision
            if newer and peer not in self.stopped and not {(vm, peer), (peer, vm)} & self.cuts:
                self._carry_out(vm, node.follow(self.now, peer, other.get_followed_state()))

    def _carry_out(self, vm: str, effects) -> None:
        for effect in effects:
            if isinstance(effect, SendGossip):
                self._send(vm, effect.address, effect.message)
            elif isinstance(effect, SendEvidence):
                self._send(vm, effect.address, effect.digest)
            elif isinstance(effect, SubmitCommand) and (vm, CONTROL) not in self.cuts:
                self._submit(effect.message)
            elif isinstance(effect, RequestChunks):
                node = self.entries[vm]
                chunks = self._fetch(effect.source, FetchChunks(effect.digests))
                self._carry_out(vm, node.receive_chunks(self.now, effect.source, chunks))

    def _fetch(self, source: str, request: FetchChunks) -> Chunks:
        if source == CONTROL:
            held = self.machine.register.capture().chunks
            return Chunks(tuple(item for item in held if item.digest in request.digests))
        return self.entries[source].follower.list_chunks(request.digests)

    def _send(self, source: str, destination: str, content) -> None:
        if (source, destination) in self.cuts or destination not in self.entries:
            return
        copies = 1 + (self.random.random() < self.duplicate)
        for _ in range(copies):
            self._number += 1
            arrival = self.now + 0.005 + self.random.random() * self.delay
            self._flying.append((arrival, self._number, destination, _Letter(content)))


class _Letter:
    """Wraps a message, so that items in flight are ordered by time and number only."""

    def __init__(self, content):
        self.content = content
