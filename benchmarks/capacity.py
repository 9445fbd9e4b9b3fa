"""Works docs/CAPACITY.md out from measured slopes.

``python -m benchmarks.capacity SLOPES.json PATH.json > docs/CAPACITY.md``
"""

import json
import sys
from dataclasses import dataclass

from tarragonshelf.health._evidence import HEALTHY_PER_DIGEST

NODES, TARGETS, SERVICES = 420, 3900, 160
REQUESTS, ORDER_SHARE = 97_000, 0.05
ROUTES, ACCOUNTS = 4400, 36_000
CHANGES, RESTARTS = 340, 490
CONTROLS, VOTERS = 8, 5
DAY_SECONDS = 86_400
ANNOUNCE_SECONDS, REGISTRARS = 2.0, 2
GOSSIP_SECONDS, FAN_OUT = 0.5, 2
FOLLOW_SECONDS = 1.0
DIGEST_SECONDS, WATCHERS = 0.25, 2
RUMORS = 40
CORE_BOUND, MEMORY_BOUND, BYTES_BOUND = 4.8, 256, 7.0


@dataclass(frozen=True)
class Line:
    """One load of a role: percent of a core, MB, KB/s."""

    what: str
    core: float
    memory: float
    traffic: float
    mechanism: str


class Slopes:
    """Slopes by name."""

    def __init__(self, content: dict):
        self._items = {item["name"]: item for item in content["slopes"]}

    def get(self, name: str) -> float:
        """Return a slope."""
        return self._items[name]["slope"]

    def compute(self, name: str, size: float) -> float:
        """Return the fitted value at a size."""
        return self._items[name]["base"] + self._items[name]["slope"] * size

    def list_items(self) -> list[dict]:
        """Return all slopes."""
        return list(self._items.values())


def list_entry_lines(slopes: Slopes) -> list[Line]:
    """Return the control loads of one entry."""
    announcements = TARGETS * REGISTRARS / ANNOUNCE_SECONDS / NODES
    announcement_bytes = 600.0
    gossip = (1 + FAN_OUT) / GOSSIP_SECONDS
    base = slopes.compute("gossip bytes per target record", 0)
    changes = (RESTARTS * 4 + TARGETS) / DAY_SECONDS
    follow = (slopes.compute("follow answer by accounts", ACCOUNTS) + 120) / FOLLOW_SECONDS
    change = slopes.compute("bytes of a change of one account", ACCOUNTS)
    manifest = slopes.compute("manifest answer by accounts", ACCOUNTS)
    in_force = slopes.compute("put in force per account", ACCOUNTS)
    in_force += slopes.compute("put in force per route", ROUTES)
    items = HEALTHY_PER_DIGEST / DIGEST_SECONDS
    digest_bytes = slopes.compute("evidence bytes per target", 1) * items * WATCHERS
    taken = items * WATCHERS * slopes.get("evidence taken in per target")
    return [
        Line(
            "targets known",
            0.0,
            slopes.get("memory per target") * TARGETS / 1e6,
            0.0,
            "soft state by address; exists",
        ),
        Line(
            "entries known",
            0.0,
            slopes.get("memory per entry") * NODES / 1e6,
            0.0,
            "soft state by VM; exists",
        ),
        Line(
            "ticks, gossip and watching, idle",
            slopes.compute("idle entry by entries", NODES) / 1e4,
            0.0,
            2 * gossip * base / 1e3,
            "rumors and bucket digests; exists (relays per region to be built)",
        ),
        Line(
            "announcements",
            announcements * slopes.get("announcement") / 1e4,
            0.0,
            announcements * announcement_bytes / 1e3,
            "two registrars a target; exists (600 bytes an HTTP post: assumed, not measured)",
        ),
        Line(
            "changes of targets by gossip",
            changes * slopes.get("gossip merge per target record") / 1e4,
            0.0,
            changes * slopes.get("gossip bytes per target record") * 27 * 2 / NODES * 8 / 1e3,
            "each change passed on 3·log2(n) times by each entry; exists",
        ),
        Line(
            "following a control",
            slopes.get("follow call") / 1e4,
            0.0,
            follow / 1e3,
            "held call, manifest only on a change; exists",
        ),
        Line(
            "changes of configuration",
            CHANGES * in_force / DAY_SECONDS / 1e4,
            (slopes.get("memory per account") * ACCOUNTS + slopes.get("memory per route") * ROUTES)
            / 1e6,
            CHANGES * (manifest + change) / DAY_SECONDS / 1e3,
            "content-addressed chunks; exists (manifest as a tree to be built)",
        ),
        Line(
            "evidence sent and summed",
            taken / 1e4,
            0.0,
            2 * digest_bytes / 1e3,
            "counts to two watchers, healthy targets take turns; exists",
        ),
    ]


def list_control_lines(slopes: Slopes) -> list[Line]:
    """Return the loads of one control without orders."""
    followers = NODES / VOTERS / FOLLOW_SECONDS
    follow_bytes = slopes.compute("follow answer by accounts", ACCOUNTS) + 120
    change = slopes.compute("bytes of a change of one account", ACCOUNTS)
    manifest = slopes.compute("manifest answer by accounts", ACCOUNTS)
    fan = NODES / VOTERS * (manifest + change) + VOTERS * change
    return [
        Line(
            "entries that follow",
            followers * slopes.get("follow call") / 1e4,
            slopes.get("memory per attached entry") * NODES / 1e6,
            followers * follow_bytes / 1e3,
            "held calls spread over the controls; exists",
        ),
        Line(
            "changes of configuration",
            0.0,
            slopes.compute("bytes of a whole document per account", ACCOUNTS) * 2 / 1e6,
            CHANGES * fan / DAY_SECONDS / 1e3,
            "chunks in the log, compare-and-set; exists",
        ),
        Line(
            "heartbeats",
            4 * 10 * 60 / 1e4,
            0.0,
            (VOTERS - 1) * 10 * 2 * 70 / 1e3,
            "10 a second to each follower; exists (60 us and 70 bytes a frame: not fitted)",
        ),
    ]


def format_lines(lines: list[Line]) -> list[str]:
    """Return a table with its sum."""
    rows = [
        "| load | % of a core | MB | KB/s | carried by |",
        "|---|---|---|---|---|",
    ]
    for line in lines:
        rows.append(
            f"| {line.what} | {line.core:.2f} | {line.memory:.1f} | {line.traffic:.2f} |"
            f" {line.mechanism} |"
        )
    core = sum(line.core for line in lines)
    memory = sum(line.memory for line in lines)
    traffic = sum(line.traffic for line in lines)
    rows.append(f"| **sum** | **{core:.2f}** | **{memory:.1f}** | **{traffic:.2f}** | |")
    rows.append(
        f"| bound | {CORE_BOUND} {_judge(core, CORE_BOUND)} | {MEMORY_BOUND}"
        f" {_judge(memory, MEMORY_BOUND)} | {BYTES_BOUND:.0f} {_judge(traffic, BYTES_BOUND)} | |"
    )
    return rows


def _judge(value: float, bound: float) -> str:
    return "(met)" if value <= bound else "(**missed**)"


def format_orders(slopes: Slopes) -> list[str]:
    """Return what one log carries of orders, and what must be built."""
    orders = REQUESTS * ORDER_SHARE
    apply = slopes.get("apply per order")
    log_bytes = slopes.get("log bytes per order")
    keys = orders * DAY_SECONDS
    memory = slopes.get("memory per key")
    carried = 0.5 * 1e6 / apply
    restart = slopes.get("restart per key in a snapshot")
    snapshot = slopes.get("snapshot per key")
    held = 256e6 / memory
    return [
        f"At 5% of {REQUESTS:,} requests/s there are {orders:,.0f} orders/s.",
        "",
        "| what | slope | at that size | bound |",
        "|---|---|---|---|",
        f"| applying claim and settlement | {apply:.0f} us an order |"
        f" {orders * apply / 1e4:.0f}% of a core on each replica |"
        f" half a core carries {carried:,.0f} orders/s |",
        f"| log | {log_bytes:.0f} bytes an order | {orders * log_bytes / 1e6:.1f} MB/s to each"
        " follower | not within 7 KB/s; orders are counted as data, not as control |",
        f"| keys in memory | {memory:.0f} bytes a key | {keys / 1e6:.0f} million a day,"
        f" {keys * memory / 1e9:.0f} GB | 256 MB holds {held:,.0f} keys |",
        f"| snapshot | {snapshot:.1f} us a key | stalls the loop"
        f" {held * snapshot / 1e6:.1f} s at {held:,.0f} keys | an election timeout is 0.8 s:"
        f" **missed** above {0.4e6 / snapshot:,.0f} keys |",
        f"| restart | {restart:.1f} us a key | {held * restart / 1e6:.1f} s at {held:,.0f} keys"
        " | |",
        "",
        "**Breaks first:** the snapshot of keys in memory, then memory, then the leader's core.",
        "**To be built, in this order:** settled keys in sqlite3 in the data folder, one"
        " transaction for an applied batch with its log index (snapshots then are incremental);"
        f" ledger groups homed by region, at least {max(2, round(orders / carried + 0.5))} of them"
        " by the core figure above; answers kept apart from the log.",
    ]


def format_path(path: dict) -> list[str]:
    """Return the data path's figures."""
    lookups = path["lookups"]
    rate = REQUESTS / NODES
    cost = lookups["entry"]["processor_ms"]
    return [
        f"At {rate:.0f} requests/s an entry. Measured at {path['rate']} requests/s by"
        " `python -m benchmarks.path`, medians of three alternating rounds:",
        "",
        "| | direct | bare aiohttp pass-through | entry |",
        "|---|---|---|---|",
        *[
            f"| {name} | {lookups['direct'][key]:.2f} | {lookups['bare'][key]:.2f} |"
            f" {lookups['entry'][key]:.2f} |"
            for name, key in (
                ("median, ms", "median_ms"),
                ("p99, ms", "p99_ms"),
                ("processor time a request, ms", "processor_ms"),
            )
        ],
        "",
        f"Added at p99: {lookups['added_p99_ms']:.2f} ms, bound 6.6"
        f" {_judge(lookups['added_p99_ms'], 6.6)}. Processor time against the pass-through:"
        f" {lookups['processor_ratio']:.2f}, goal 1.5 {_judge(lookups['processor_ratio'], 1.5)}."
        f" {rate:.0f} requests/s take {rate * cost / 10:.0f}% of a core."
        f" A caller's idle connection takes {path['connection_bytes'] / 1000:.1f} KB.",
        "",
        "| orders | a second | median, ms | p99, ms | outcomes |",
        "|---|---|---|---|---|",
        *[
            f"| {count} controls | {item['orders_per_second']:.0f} | {item['median_ms']:.0f} |"
            f" {item['p99_ms']:.0f} | {item['outcomes']} |"
            for count, item in ((n, path[f"orders_{n}_controls"]) for n in (3, 5))
        ],
        "",
        "All processes shared one machine of 6 cores, so the order figures are those of the"
        " machine, not of a leader on a VM of its own.",
    ]


def format_page(slopes: Slopes, path: dict) -> str:
    """Return the whole page."""
    table = [
        "| slope | unit | per item | base | largest residual | sizes |",
        "|---|---|---|---|---|---|",
    ]
    for item in slopes.list_items():
        sizes = ", ".join(f"{size:g}" for size in item["sizes"])
        table.append(
            f"| {item['name']} | {item['unit']} | {item['slope']:.3f} | {item['base']:.0f} |"
            f" {item['residual']:.1%} | {sizes} |"
        )
    change = slopes.compute("put in force per account", ACCOUNTS)
    change += slopes.compute("put in force per route", ROUTES)
    return "\n".join(
        [
            "# Capacity at the size of two years",
            "",
            f"{NODES} nodes before {TARGETS:,} targets in {SERVICES} services, {REQUESTS:,}"
            f" requests/s, {ROUTES:,} routes, {ACCOUNTS:,} accounts, {CHANGES} changes and"
            f" {RESTARTS} restarts a day, {VOTERS} voters of at most {CONTROLS} VMs set aside.",
            "",
            "Made by `python -m benchmarks.capacity SLOPES PATH` from the JSON of `python -m"
            " benchmarks.slopes` and `python -m benchmarks.path`. Nothing here was run at full"
            " size: it is arithmetic on slopes measured in one process, whose sizes stand below."
            " Bytes are those of messages, without TCP's. Memory is that of the named state; a"
            " process takes about 60 MB more for the interpreter and libraries (not fitted).",
            "",
            "## Control work of one entry",
            "",
            *format_lines(list_entry_lines(slopes)),
            "",
            "## Control work of one control, without orders",
            "",
            *format_lines(list_control_lines(slopes)),
            "",
            "## Changes in force",
            "",
            f"A change stalls an entry's loop for {change / 1000:.0f} ms while the document is"
            f" checked and indexed, {CHANGES} times a day: above the 6.6 ms, but in"
            f" {CHANGES * change / 1e6 / DAY_SECONDS:.2%} of the time. To be built: only changed"
            " chunks parsed and checked anew. Bound 6 s in force: fetching and checking take well"
            " under a second by these slopes; spreading over 420 entries was not run.",
            "",
            "## Orders",
            "",
            *format_orders(slopes),
            "",
            "## The path of requests",
            "",
            *format_path(path),
            "",
            "## Failures a day",
            "",
            f"{RESTARTS} restarts a day are one every {DAY_SECONDS / RESTARTS:.0f} s. Each moves"
            f" {TARGETS * REGISTRARS / NODES:.0f} registrations and 1/{NODES} of the watched"
            " services. Regions cut for minutes: the side with the majority goes on; the other"
            " serves lookups, refuses orders as `not-run`, and keeps its configuration. Entries"
            " of both sides find each other again by asking a seed now and then. Not run at size.",
            "",
            "## Slopes",
            "",
            *table,
            "",
        ]
    )


if __name__ == "__main__":
    with open(sys.argv[1]) as slopes_file, open(sys.argv[2]) as path_file:
        print(format_page(Slopes(json.load(slopes_file)), json.load(path_file)), end="")
