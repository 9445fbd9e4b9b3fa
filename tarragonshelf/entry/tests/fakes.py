"""Simulated fleet: entries on a fake network, each with a link to one control machine."""

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
    """A target that announces itself to two registrars while ``is_alive``."""

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

    ``broken_links`` holds pairs of sender and receiver; ``CONTROL`` is the name of the control.
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
        self.broken_links: set[tuple[str, str]] = set()
        self.delay = 0.05
        self.duplicate = 0.0
        self.targets = {}
        for n in range(targets):
            registrars = (names[n % count], names[(n + 1) % count])
            self.targets[f"t{n}"] = FakeTarget(f"t{n}", registrars)
        self._in_flight = []
        self._message_count = 0

    def apply(self, content: dict, change_id: str = "change"):
        """Submit a document to the control."""
        chunks = split_document(content)
        manifest = tuple(chunk.digest for chunk in chunks)
        base = self.machine.register.current.version
        command = ApplyConfiguration(f"{change_id}-{base}", base, "test", manifest, chunks)
        return self._submit(command)

    def drain(self, vm: str) -> None:
        """Submit the command that drains an entry VM."""
        self._submit(SetDrained(vm, True))

    def advance(self, seconds: float, check=lambda: None) -> None:
        """Advance the clock in steps of ``TICK`` seconds, and call ``check`` after each."""
        for _ in range(round(seconds / TICK)):
            self._step()
            check()

    def list_ready(self, vm: str) -> list[str]:
        """Return the targets to which an entry would send new requests."""
        return [item.address for item in self.entries[vm].balancer.list_usable("rondas")]

    def record(self, vm: str, target: str, outcome: Outcome, count: int = 1) -> None:
        """Record outcomes of requests to a target at an entry."""
        record = self.entries[vm].gossip.targets.get_record(target)
        for _ in range(count):
            self.entries[vm].record_outcome(self.now, "rondas", record, outcome)

    def restart(self, vm: str) -> None:
        """Restart an entry with empty state and a new incarnation."""
        incarnation = self.entries[vm].own.incarnation + 1
        self.entries[vm] = self.create(vm, self.seeds, 99, incarnation)
        self.stopped.discard(vm)

    def _submit(self, command):
        self.machine.index += 1
        return self.machine.apply(self.machine.index, self.now, command)

    def _step(self) -> None:
        self.now += TICK
        due = sorted(item for item in self._in_flight if item[0] <= self.now)
        self._in_flight = [item for item in self._in_flight if item[0] > self.now]
        for _, _, destination, message in due:
            if destination not in self.stopped:
                node = self.entries[destination]
                self._execute(destination, node.handle(self.now, message.content))
        for target in self.targets.values():
            self._announce(target)
        for vm, node in self.entries.items():
            if vm not in self.stopped:
                self._follow(vm, node)
                self._execute(vm, node.tick(self.now))

    def _announce(self, target: FakeTarget) -> None:
        if not target.is_alive or self.now < target.next_at:
            return
        target.next_at = self.now + ANNOUNCE_SECONDS
        announcement = target.create_announcement()
        for vm in target.registrars:
            if (target.address, vm) not in self.broken_links and vm not in self.stopped:
                node = self.entries[vm]
                self._execute(vm, node.handle(self.now, announcement))

    def _follow(self, vm: str, node: EntryNode) -> None:
        if {(vm, CONTROL), (CONTROL, vm)} & self.broken_links:
            self._follow_newer_peer(vm, node)
            return
        machine = self.machine
        followed = Followed(
            machine.cluster,
            machine.revision,
            machine.register.current,
            machine.grants.list_ejections(),
            tuple(machine.drained),
        )
        self._execute(vm, node.follow(self.now, CONTROL, followed))

    def _follow_newer_peer(self, vm: str, node: EntryNode) -> None:
        """Follow peers with a newer revision, as the daemon does when gossip names one."""
        for peer, other in self.entries.items():
            newer = other.follower.in_force.revision > node.follower.in_force.revision
            if (
                newer
                and peer not in self.stopped
                and not {(vm, peer), (peer, vm)} & self.broken_links
            ):
                self._execute(vm, node.follow(self.now, peer, other.get_followed_state()))

    def _execute(self, vm: str, effects) -> None:
        for effect in effects:
            if isinstance(effect, SendGossip):
                self._send(vm, effect.address, effect.message)
            elif isinstance(effect, SendEvidence):
                self._send(vm, effect.address, effect.digest)
            elif isinstance(effect, SubmitCommand) and (vm, CONTROL) not in self.broken_links:
                self._submit(effect.message)
            elif isinstance(effect, RequestChunks):
                node = self.entries[vm]
                chunks = self._fetch(effect.source, FetchChunks(effect.digests))
                self._execute(vm, node.receive_chunks(self.now, effect.source, chunks))

    def _fetch(self, source: str, request: FetchChunks) -> Chunks:
        if source == CONTROL:
            held = self.machine.register.capture().chunks
            return Chunks(tuple(item for item in held if item.digest in request.digests))
        return self.entries[source].follower.list_chunks(request.digests)

    def _send(self, source: str, destination: str, content) -> None:
        if (source, destination) in self.broken_links or destination not in self.entries:
            return
        copies = 1 + (self.random.random() < self.duplicate)
        for _ in range(copies):
            self._message_count += 1
            arrival = self.now + 0.005 + self.random.random() * self.delay
            self._in_flight.append((arrival, self._message_count, destination, _Envelope(content)))


class _Envelope:
    """Wraps a message, so that items in flight are ordered by arrival time and number only."""

    def __init__(self, content):
        self.content = content
