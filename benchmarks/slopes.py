"""Measures memory, bytes and processor time per target, entry, route, account, change and order.

Each slope is a least-squares fit to measurements at four or more sizes, printed with its largest
relative residual. ``python -m benchmarks.slopes`` prints JSON.
"""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from random import Random

from tarragonshelf.configuration import (
    ApplyConfiguration,
    assemble_document,
    check_document,
    split_document,
)
from tarragonshelf.consensus import Log, LogEntry, Membership, SaveEntries, Snapshot
from tarragonshelf.control import AttachedEntry, CallReceived, ControlMachine, ControlNode, Follow
from tarragonshelf.entry import EntryNode
from tarragonshelf.health import Evidence, EvidenceDigest
from tarragonshelf.ledger import Answer, ClaimId, ClaimKey, Header, OrderKey, SettleKey
from tarragonshelf.limits import AccountRateLimiter
from tarragonshelf.membership import (
    Announcement,
    EntryRecord,
    EntryState,
    Gossip,
    TargetRecord,
    TargetState,
)
from tarragonshelf.routing import RouteTable
from tarragonshelf.storage import ReplicaStore
from tarragonshelf.storage.tests.fakes import FakeFileSystem
from tarragonshelf.transport import create_codec

SEED = 7
CODEC = create_codec()
SERVICES = 160
DATA_CENTRES = 6
SIMULATED_SECONDS = 10.0
TICK_SECONDS = 0.05
REPEATS = 3


@dataclass(frozen=True)
class Slope:
    """A fitted line ``value = base + slope * size`` and its measurements.

    ``residual`` is the largest absolute residual relative to the largest absolute value.
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    base: float
    residual: float


def fit_slope(name: str, unit: str, sizes, measure: Callable[[int], float]) -> Slope:
    """Measure at each size, minimum of ``REPEATS`` runs, and fit a line by least squares."""
    values = [min(measure(size) for _ in range(REPEATS)) for size in sizes]
    count = len(sizes)
    mean_x, mean_y = sum(sizes) / count, sum(values) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x in sizes)
    pairs = zip(sizes, values, strict=True)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / sum_of_squares
    base = mean_y - slope * mean_x
    largest = max(abs(value) for value in values) or 1.0
    pairs = zip(sizes, values, strict=True)
    residual = max(abs(y - base - slope * x) for x, y in pairs) / largest
    return Slope(name, unit, tuple(sizes), tuple(values), slope, base, residual)


def measure_seconds(work: Callable[[], object]) -> float:
    """Return the processor time of a function in seconds, with garbage collection disabled."""
    gc.collect()
    gc.disable()
    started = time.process_time()
    work()
    spent = time.process_time() - started
    gc.enable()
    return spent


def measure_memory(create: Callable[[], object]) -> float:
    """Return the memory in bytes that an object retains after its creation."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = create()
    gc.collect()
    spent = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return float(spent)


def create_entry_record(n: int) -> EntryRecord:
    """Return the membership record of the ``n``-th entry."""
    address = f"10.0.{n // 250}.{n % 250}"
    return EntryRecord(
        f"entry-{n}",
        1_790_000_000_000,
        0,
        EntryState.ALIVE,
        f"{address}:8080",
        f"{address}:9000",
        f"dc-{n % DATA_CENTRES}",
    )


def create_target_record(n: int, entries: int = 420) -> TargetRecord:
    """Return the registry record of the ``n``-th target."""
    return TargetRecord(
        f"service-{n % SERVICES}",
        f"10.1.{n // 250}.{n % 250}:8080",
        f"dc-{n % DATA_CENTRES}",
        3,
        TargetState.READY,
        1_790_000_000_000,
        100,
        (f"entry-{n % entries}", f"entry-{(n + 7) % entries}"),
    )


def create_content(routes: int, accounts: int, services: int = SERVICES) -> dict:
    """Return a configuration document with the given numbers of routes, accounts and services."""
    centres = [f"dc-{n}" for n in range(DATA_CENTRES)]
    return {
        "name": "large",
        "regions": [
            {"name": "one", "data_centres": centres[:3]},
            {"name": "two", "data_centres": centres[3:]},
        ],
        "services": [
            {"name": f"service-{n}", "targets": 24, "floor": 16} for n in range(services)
        ],
        "routes": [
            {"path": f"/path-{n}", "service": f"service-{n % services}"} for n in range(routes)
        ],
        "accounts": [{"name": f"account-{n}", "rate": 50} for n in range(accounts)],
    }


def create_node(entries: int, targets: int, document=None) -> EntryNode:
    """Return an entry with records of the given numbers of entries and targets."""
    node = EntryNode(own=create_entry_record(0), seeds=("10.0.0.1:9000",), random=Random(SEED))
    for n in range(1, entries):
        node.gossip.entries.merge(0.0, create_entry_record(n))
    for n in range(targets):
        node.gossip.targets.merge(0.0, create_target_record(n, entries))
    if document is not None:
        node._configure(document)
    return node


def exchange_gossip(node: EntryNode, now: float) -> list:
    """Run a tick and answer each gossip message on behalf of its peer; return the effects."""
    sent = node.tick(now)
    by_address = {record.peer: record for record in node.gossip.entries.list_peers()}
    for effect in sent:
        source = by_address.get(getattr(effect, "address", ""))
        if source is not None:
            buckets = node.gossip._list_buckets()
            node.handle(now, Gossip(source, buckets=buckets, is_reply=True))
    return sent


def measure_idle_work(node: EntryNode) -> float:
    """Return the processor time of an idle entry's control work, in seconds per second.

    The first simulated period is a warm-up and is not measured.
    """
    now = 0.0
    while now < SIMULATED_SECONDS:
        now += TICK_SECONDS
        exchange_gossip(node, now)
    started = time.process_time()
    end = now + SIMULATED_SECONDS
    while now < end:
        now += TICK_SECONDS
        for effect in exchange_gossip(node, now):
            message = getattr(effect, "message", None)
            if isinstance(message, Gossip):
                CODEC.decode(CODEC.encode(message))
    return (time.process_time() - started) / SIMULATED_SECONDS


def create_claim(n: int) -> ClaimKey:
    """Return the claim of the ``n``-th order."""
    key = OrderKey(f"account-{n % 36_000}", "POST /path-17", f"0193a5c2-7a1e-7c3b-8e2f-{n:012d}")
    claim = ClaimId(f"entry-{n % 420}", "1790000000000", n)
    return ClaimKey(claim, key, f"{n:032x}", "service-17", 20.0, 86_400.0)


def create_settle(claim: ClaimKey) -> SettleKey:
    """Return the settlement of a claim, with an answer of 300 bytes."""
    answer = Answer(201, (Header("Content-Type", "application/json"),), b"x" * 300)
    return SettleKey(claim.claim, claim.key, answer, claim.digest, claim.service, claim.window)


def run_orders(count: int) -> ControlMachine:
    """Return a state machine after the claims and settlements of ``count`` orders."""
    machine = ControlMachine()
    for n in range(count):
        claim = create_claim(n)
        machine.apply(2 * n + 1, n / 1000, claim)
        machine.apply(2 * n + 2, n / 1000, create_settle(claim))
    return machine


def measure_membership() -> list[Slope]:
    """Measure the costs of entries, targets, gossip and announcements."""
    records = [create_target_record(n) for n in range(3900)]

    def keep_targets(count: int) -> float:
        return measure_memory(lambda: create_node(2, count))

    def announce(count: int) -> float:
        node = create_node(420, 3900)
        items = [
            Announcement(**{**asdict(record), "sequence": 200 + n})
            for n, record in enumerate(records[:count])
        ]
        return measure_seconds(lambda: [node.handle(1.0, item) for item in items]) * 1e6

    def gossip_bytes(count: int) -> float:
        own = create_entry_record(0)
        message = Gossip(own, (), tuple(records[:count]), buckets=(1 << 55,) * 17)
        return float(len(CODEC.encode(message)))

    def merge(count: int) -> float:
        node = create_node(420, 0)
        message = Gossip(create_entry_record(1), (), tuple(records[:count]), is_reply=True)
        content = CODEC.encode(message)
        return measure_seconds(lambda: node.handle(1.0, CODEC.decode(content))) * 1e6

    def run_idle(entries: int, targets: int) -> float:
        document = check_document(create_content(100, 100)).ok
        return measure_idle_work(create_node(entries, targets, document)) * 1e6

    sizes = (500, 1000, 2000, 3900)
    return [
        fit_slope("memory per target", "bytes", sizes, keep_targets),
        fit_slope(
            "memory per entry", "bytes", (50, 100, 200, 420),
            lambda count: measure_memory(lambda: create_node(count, 1)),
        ),
        fit_slope("announcement", "us", sizes, announce),
        fit_slope("gossip bytes per target record", "bytes", (10, 20, 40, 80), gossip_bytes),
        fit_slope("gossip merge per target record", "us", (40, 500, 2000, 3900), merge),
        fit_slope(
            "idle entry by entries", "us/s", (50, 100, 200, 420), lambda n: run_idle(n, 3900)
        ),
        fit_slope(
            "idle entry by targets", "us/s", (500, 1000, 2000, 3900), lambda n: run_idle(420, n)
        ),
    ]  # fmt: skip


def measure_configuration() -> list[Slope]:
    """Measure the costs of routes, accounts and changes."""

    def activate(routes: int, accounts: int) -> float:
        chunks = [chunk.content for chunk in split_document(create_content(routes, accounts))]

        def activate_document():
            document = check_document(assemble_document(chunks)).ok
            return RouteTable(document), AccountRateLimiter(document)

        return measure_seconds(activate_document) * 1e6

    def keep_configuration(routes: int, accounts: int) -> float:
        text = json.dumps(create_content(routes, accounts))

        def create():
            document = check_document(json.loads(text)).ok
            return document, RouteTable(document), AccountRateLimiter(document)

        return measure_memory(create)

    def change_bytes(accounts: int) -> float:
        content = create_content(4400, accounts)
        stored_digests = {chunk.digest for chunk in split_document(content)}
        content["accounts"][5]["rate"] = 51
        chunks = split_document(content)
        new_chunks = tuple(chunk for chunk in chunks if chunk.digest not in stored_digests)
        manifest = tuple(chunk.digest for chunk in chunks)
        command = ApplyConfiguration("0193a5c2-7a1e", 7, "operator", manifest, new_chunks)
        return float(len(CODEC.encode(command)))

    def document_bytes(accounts: int) -> float:
        chunks = split_document(create_content(4400, accounts))
        return float(sum(len(chunk.content) for chunk in chunks))

    routes, accounts = (550, 1100, 2200, 4400), (4500, 9000, 18_000, 36_000)
    return [
        fit_slope("put in force per route", "us", routes, lambda n: activate(n, 100)),
        fit_slope("put in force per account", "us", accounts, lambda n: activate(100, n)),
        fit_slope("memory per route", "bytes", routes, lambda n: keep_configuration(n, 100)),
        fit_slope("memory per account", "bytes", accounts, lambda n: keep_configuration(100, n)),
        fit_slope("bytes of a change of one account", "bytes", accounts, change_bytes),
        fit_slope("bytes of a whole document per account", "bytes", accounts, document_bytes),
    ]


def measure_health() -> list[Slope]:
    """Measure the costs of evidence digests."""

    def create_digest(count: int) -> EvidenceDigest:
        items = tuple(
            Evidence("service-17", f"10.1.0.{n}:8080", "1790000000000", 7, 1, 0)
            for n in range(count)
        )
        return EvidenceDigest("entry-17", items)

    def size(count: int) -> float:
        return float(len(CODEC.encode(create_digest(count))))

    def handle_digest(count: int) -> float:
        document = check_document(create_content(10, 10)).ok
        node = create_node(420, 3900, document)
        content = CODEC.encode(create_digest(count))
        return measure_seconds(lambda: node.handle(1.0, CODEC.decode(content))) * 1e6

    sizes = (3, 6, 12, 24)
    return [
        fit_slope("evidence bytes per target", "bytes", sizes, size),
        fit_slope("evidence taken in per target", "us", sizes, handle_digest),
    ]


def measure_control() -> list[Slope]:
    """Measure the costs of orders, snapshots, restarts and followers."""

    def order_bytes(count: int) -> float:
        total = 0
        for n in range(count):
            claim = create_claim(n)
            for command in (claim, create_settle(claim)):
                entry = LogEntry(n, 3, payload=CODEC.encode(command), time=1.0)
                total += len(CODEC.encode(entry))
        return float(total)

    def apply_orders(count: int) -> float:
        payloads = []
        for n in range(count):
            claim = create_claim(n)
            payloads += [CODEC.encode(claim), CODEC.encode(create_settle(claim))]
        machine = ControlMachine()

        def apply():
            for index, payload in enumerate(payloads):
                machine.apply(index + 1, index / 1000, CODEC.decode(payload))

        return measure_seconds(apply) * 1e6

    def keep_keys(count: int) -> float:
        return measure_memory(lambda: run_orders(count))

    def snapshot(count: int) -> float:
        machine = run_orders(count)
        return measure_seconds(lambda: CODEC.encode(machine.capture())) * 1e6

    def snapshot_bytes(count: int) -> float:
        return float(len(CODEC.encode(run_orders(count).capture())))

    def restart_from_log(count: int) -> float:
        files = FakeFileSystem()
        store = ReplicaStore(files, CODEC)
        store.restore(lambda: "1")
        log = Log()
        for n in range(count):
            log.append(LogEntry(n + 1, 1, payload=CODEC.encode(create_claim(n))))
            if n % 50 == 49:
                store.save(_create_save_effects(log))

        def restart():
            entries = ReplicaStore(files, CODEC).restore(lambda: "1").entries
            machine = ControlMachine()
            for entry in entries:
                machine.apply(entry.index, 0.0, CODEC.decode(entry.payload))

        return measure_seconds(restart) * 1e6

    def restart_from_snapshot(count: int) -> float:
        data = CODEC.encode(run_orders(count).capture())
        content = CODEC.encode(Snapshot(1, 1, Membership(), data))

        def restart():
            ControlMachine().restore(CODEC.decode(CODEC.decode(content).data))

        return measure_seconds(restart) * 1e6

    def answer_follow(accounts: int, *, has_current_version: bool) -> bytes:
        chunks = split_document(create_content(4400, accounts))
        manifest = tuple(chunk.digest for chunk in chunks)
        node = ControlNode(vm="c", incarnation="1", address="c", codec=CODEC, random=Random(SEED))
        node.machine.apply(1, 0.0, ApplyConfiguration("c", 0, "o", manifest, chunks))
        version = 1 if has_current_version else 0
        request = Follow("e", "1", 0, version, "10.0.0.17:8080", "10.0.0.17:9000", "dc-1")
        (reply,) = node.handle(0.0, CallReceived(1, request))
        return CODEC.encode(reply.message)

    def follow(count: int) -> float:
        node = ControlNode(vm="c", incarnation="1", address="c", codec=CODEC, random=Random(SEED))
        request = CODEC.encode(
            Follow("entry-17", "1", 1, 1, "10.0.0.17:8080", "10.0.0.17:9000", "dc-1")
        )

        def answer():
            for call in range(count):
                (reply,) = node.handle(0.0, CallReceived(call, CODEC.decode(request)))
                CODEC.encode(reply.message)

        return measure_seconds(answer) * 1e6

    def follow_bytes(accounts: int) -> float:
        return float(len(answer_follow(accounts, has_current_version=True)))

    def manifest_bytes(accounts: int) -> float:
        return float(len(answer_follow(accounts, has_current_version=False)))

    keys = (2500, 5000, 10_000, 20_000)
    return [
        fit_slope("log bytes per order", "bytes", (250, 500, 1000, 2000), order_bytes),
        fit_slope("apply per order", "us", (500, 1000, 2000, 4000), apply_orders),
        fit_slope("memory per key", "bytes", keys, keep_keys),
        fit_slope("snapshot per key", "us", keys, snapshot),
        fit_slope("snapshot bytes per key", "bytes", keys, snapshot_bytes),
        fit_slope("restart per log entry", "us", (500, 1000, 2000, 4000), restart_from_log),
        fit_slope("restart per key in a snapshot", "us", keys, restart_from_snapshot),
        fit_slope("follow call", "us", (25, 50, 100, 200), follow),
        fit_slope(
            "follow answer by accounts", "bytes", (4500, 9000, 18_000, 36_000), follow_bytes
        ),
        fit_slope(
            "manifest answer by accounts", "bytes", (4500, 9000, 18_000, 36_000), manifest_bytes
        ),
        fit_slope(
            "memory per attached entry", "bytes", (50, 100, 200, 420),
            lambda n: measure_memory(
                lambda: [AttachedEntry(f"e{i}", f"h{i}", f"p{i}", "d", 1, 0.0) for i in range(n)]
            ),
        ),
    ]  # fmt: skip


def _create_save_effects(log: Log) -> list:
    first = log.unsaved_from
    return [SaveEntries(first, log.take_unsaved())]


def measure_all() -> list[Slope]:
    """Measure every slope."""
    return [
        *measure_membership(),
        *measure_configuration(),
        *measure_health(),
        *measure_control(),
    ]


if __name__ == "__main__":
    print(json.dumps({"seed": SEED, "slopes": [asdict(item) for item in measure_all()]}, indent=1))
