"""Computes docs/CAPACITY.md from measured slopes.

``python -m benchmarks.capacity SLOPES.json PATH.json > docs/CAPACITY.md``
"""

import json
import sys
from dataclasses import dataclass

from tarragonshelf.health._evidence import HEALTHY_PER_DIGEST

NODES, TARGETS, SERVICES = 420, 3900, 160
REQUESTS_PER_SECOND, ORDER_SHARE = 97_000, 0.05
ROUTES, ACCOUNTS = 4400, 36_000
CHANGES_PER_DAY, RESTARTS_PER_DAY = 340, 490
CONTROLS, VOTERS = 8, 5
DAY_SECONDS = 86_400
ANNOUNCE_INTERVAL_SECONDS, REGISTRARS = 2.0, 2
GOSSIP_INTERVAL_SECONDS, GOSSIP_FAN_OUT = 0.5, 2
FOLLOW_INTERVAL_SECONDS = 1.0
DIGEST_INTERVAL_SECONDS, WATCHERS = 0.25, 2
RUMORS = 40
MAXIMUM_CORE_PERCENT, MAXIMUM_MEMORY_MB, MAXIMUM_TRAFFIC_KB_PER_SECOND = 4.8, 256, 7.0


@dataclass(frozen=True)
class LoadCost:
    """Resources that one kind of work takes in a process, and the mechanism behind it."""

    name: str
    core_percent: float
    memory_mb: float
    traffic_kb_per_second: float
    mechanism: str


class Slopes:
    """Measured slopes, looked up by name."""

    def __init__(self, content: dict):
        self._items = {item["name"]: item for item in content["slopes"]}

    def get(self, name: str) -> float:
        """Return the cost per item."""
        return self._items[name]["slope"]

    def compute(self, name: str, size: float) -> float:
        """Return the value of the fitted line at a size."""
        return self._items[name]["base"] + self._items[name]["slope"] * size

    def list_items(self) -> list[dict]:
        """Return all slopes with their measurements."""
        return list(self._items.values())


def list_entry_loads(slopes: Slopes) -> list[LoadCost]:
    """Return the costs of the control work of one entry."""
    announcements = TARGETS * REGISTRARS / ANNOUNCE_INTERVAL_SECONDS / NODES
    announcement_bytes = 600.0
    gossip = (1 + GOSSIP_FAN_OUT) / GOSSIP_INTERVAL_SECONDS
    base = slopes.compute("gossip bytes per target record", 0)
    changes = (RESTARTS_PER_DAY * 4 + TARGETS) / DAY_SECONDS
    follow = (
        slopes.compute("follow answer by accounts", ACCOUNTS) + 120
    ) / FOLLOW_INTERVAL_SECONDS
    change = slopes.compute("bytes of a change of one account", ACCOUNTS)
    manifest = slopes.compute("manifest answer by accounts", ACCOUNTS)
    activation_us = slopes.compute("put in force per account", ACCOUNTS)
    activation_us += slopes.compute("put in force per route", ROUTES)
    items = HEALTHY_PER_DIGEST / DIGEST_INTERVAL_SECONDS
    digest_bytes = slopes.compute("evidence bytes per target", 1) * items * WATCHERS
    evidence_cost_us = items * WATCHERS * slopes.get("evidence taken in per target")
    return [
        LoadCost(
            "targets known",
            0.0,
            slopes.get("memory per target") * TARGETS / 1e6,
            0.0,
            "soft state by address; exists",
        ),
        LoadCost(
            "entries known",
            0.0,
            slopes.get("memory per entry") * NODES / 1e6,
            0.0,
            "soft state by VM; exists",
        ),
        LoadCost(
            "ticks, gossip and watching, idle",
            slopes.compute("idle entry by entries", NODES) / 1e4,
            0.0,
            2 * gossip * base / 1e3,
            "rumors and bucket digests; exists (relays per region to be built)",
        ),
        LoadCost(
            "announcements",
            announcements * slopes.get("announcement") / 1e4,
            0.0,
            announcements * announcement_bytes / 1e3,
            "two registrars a target; exists (600 bytes an HTTP post: assumed, not measured)",
        ),
        LoadCost(
            "changes of targets by gossip",
            changes * slopes.get("gossip merge per target record") / 1e4,
            0.0,
            changes * slopes.get("gossip bytes per target record") * 27 * 2 / NODES * 8 / 1e3,
            "each change passed on 3·log2(n) times by each entry; exists",
        ),
        LoadCost(
            "following a control",
            slopes.get("follow call") / 1e4,
            0.0,
            follow / 1e3,
            "held call, manifest only on a change; exists",
        ),
        LoadCost(
            "changes of configuration",
            CHANGES_PER_DAY * activation_us / DAY_SECONDS / 1e4,
            (slopes.get("memory per account") * ACCOUNTS + slopes.get("memory per route") * ROUTES)
            / 1e6,
            CHANGES_PER_DAY * (manifest + change) / DAY_SECONDS / 1e3,
            "content-addressed chunks; exists (manifest as a tree to be built)",
        ),
        LoadCost(
            "evidence sent and summed",
            evidence_cost_us / 1e4,
            0.0,
            2 * digest_bytes / 1e3,
            "counts to two watchers, healthy targets take turns; exists",
        ),
    ]


def list_control_loads(slopes: Slopes) -> list[LoadCost]:
    """Return the costs of one control, without orders."""
    followers = NODES / VOTERS / FOLLOW_INTERVAL_SECONDS
    follow_bytes = slopes.compute("follow answer by accounts", ACCOUNTS) + 120
    change = slopes.compute("bytes of a change of one account", ACCOUNTS)
    manifest = slopes.compute("manifest answer by accounts", ACCOUNTS)
    bytes_per_change = NODES / VOTERS * (manifest + change) + VOTERS * change
    return [
        LoadCost(
            "entries that follow",
            followers * slopes.get("follow call") / 1e4,
            slopes.get("memory per attached entry") * NODES / 1e6,
            followers * follow_bytes / 1e3,
            "held calls spread over the controls; exists",
        ),
        LoadCost(
            "changes of configuration",
            0.0,
            slopes.compute("bytes of a whole document per account", ACCOUNTS) * 2 / 1e6,
            CHANGES_PER_DAY * bytes_per_change / DAY_SECONDS / 1e3,
            "chunks in the log, compare-and-set; exists",
        ),
        LoadCost(
            "heartbeats",
            4 * 10 * 60 / 1e4,
            0.0,
            (VOTERS - 1) * 10 * 2 * 70 / 1e3,
            "10 a second to each follower; exists (60 us and 70 bytes a frame: not fitted)",
        ),
    ]


def format_loads(loads: list[LoadCost]) -> list[str]:
    """Return a table of the costs, their sum and its bounds."""
    rows = [
        "| load | % of a core | MB | KB/s | carried by |",
        "|---|---|---|---|---|",
    ]
    for load in loads:
        rows.append(
            f"| {load.name} | {load.core_percent:.2f} | {load.memory_mb:.1f} |"
            f" {load.traffic_kb_per_second:.2f} | {load.mechanism} |"
        )
    core = sum(load.core_percent for load in loads)
    memory = sum(load.memory_mb for load in loads)
    traffic = sum(load.traffic_kb_per_second for load in loads)
    rows.append(f"| **sum** | **{core:.2f}** | **{memory:.1f}** | **{traffic:.2f}** | |")
    rows.append(
        f"| bound | {MAXIMUM_CORE_PERCENT} {_format_verdict(core, MAXIMUM_CORE_PERCENT)} |"
        f" {MAXIMUM_MEMORY_MB} {_format_verdict(memory, MAXIMUM_MEMORY_MB)} |"
        f" {MAXIMUM_TRAFFIC_KB_PER_SECOND:.0f}"
        f" {_format_verdict(traffic, MAXIMUM_TRAFFIC_KB_PER_SECOND)} | |"
    )
    return rows


def _format_verdict(value: float, bound: float) -> str:
    return "(met)" if value <= bound else "(**missed**)"


def format_orders(slopes: Slopes) -> list[str]:
    """Return the limits of order processing by one log, and the work that raises them."""
    orders = REQUESTS_PER_SECOND * ORDER_SHARE
    apply_us = slopes.get("apply per order")
    log_bytes = slopes.get("log bytes per order")
    keys = orders * DAY_SECONDS
    bytes_per_key = slopes.get("memory per key")
    orders_per_second = 0.5 * 1e6 / apply_us
    restart = slopes.get("restart per key in a snapshot")
    snapshot = slopes.get("snapshot per key")
    keys_in_memory = 256e6 / bytes_per_key
    return [
        f"At 5% of {REQUESTS_PER_SECOND:,} requests/s there are {orders:,.0f} orders/s.",
        "",
        "| what | slope | at that size | bound |",
        "|---|---|---|---|",
        f"| applying claim and settlement | {apply_us:.0f} us an order |"
        f" {orders * apply_us / 1e4:.0f}% of a core on each replica |"
        f" half a core carries {orders_per_second:,.0f} orders/s |",
        f"| log | {log_bytes:.0f} bytes an order | {orders * log_bytes / 1e6:.1f} MB/s to each"
        " follower | not within 7 KB/s; orders are counted as data, not as control |",
        f"| keys in memory | {bytes_per_key:.0f} bytes a key | {keys / 1e6:.0f} million a day,"
        f" {keys * bytes_per_key / 1e9:.0f} GB | 256 MB holds {keys_in_memory:,.0f} keys |",
        f"| snapshot | {snapshot:.1f} us a key | stalls the loop"
        f" {keys_in_memory * snapshot / 1e6:.1f} s at {keys_in_memory:,.0f} keys |"
        f" an election timeout is 0.8 s: **missed** above {0.4e6 / snapshot:,.0f} keys |",
        f"| restart | {restart:.1f} us a key | {keys_in_memory * restart / 1e6:.1f} s at"
        f" {keys_in_memory:,.0f} keys | |",
        "",
        "**Limits in the order in which they are reached:** the snapshot of keys in memory, then"
        " memory, then the leader's core.",
        "**To be built, in this order:** settled keys in sqlite3 in the data folder, one"
        " transaction for an applied batch with its log index (snapshots then are incremental);"
        " several ledger groups, each with a home region, at least"
        f" {max(2, round(orders / orders_per_second + 0.5))} of them by the core figure above;"
        " answers stored outside of the log.",
    ]


def format_path(path: dict) -> list[str]:
    """Return the measurements of the request path."""
    lookups = path["lookups"]
    rate = REQUESTS_PER_SECOND / NODES
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
        f" {_format_verdict(lookups['added_p99_ms'], 6.6)}."
        f" Processor time relative to the pass-through: {lookups['processor_ratio']:.2f}, goal 1.5"
        f" {_format_verdict(lookups['processor_ratio'], 1.5)}."
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
        "All processes shared one machine with 6 cores, so the figures of orders describe that"
        " machine and not a leader on a VM of its own.",
    ]


def format_page(slopes: Slopes, path: dict) -> str:
    """Return the text of docs/CAPACITY.md."""
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
            f"{NODES} nodes in front of {TARGETS:,} targets in {SERVICES} services,"
            f" {REQUESTS_PER_SECOND:,} requests/s, {ROUTES:,} routes, {ACCOUNTS:,} accounts,"
            f" {CHANGES_PER_DAY} changes and {RESTARTS_PER_DAY} restarts a day, {VOTERS} voters"
            f" out of at most {CONTROLS} reserved VMs.",
            "",
            "Computed by `python -m benchmarks.capacity SLOPES PATH` from the JSON of `python -m"
            " benchmarks.slopes` and `python -m benchmarks.path`. Nothing was run at full size:"
            " the figures are extrapolated from slopes measured in one process, at the sizes"
            " listed below. Bytes are those of messages, without the overhead of TCP. Memory is"
            " that of the named state; a process takes about 60 MB more for the interpreter and"
            " libraries (not fitted).",
            "",
            "## Control work of one entry",
            "",
            *format_loads(list_entry_loads(slopes)),
            "",
            "## Control work of one control, without orders",
            "",
            *format_loads(list_control_loads(slopes)),
            "",
            "## Changes in force",
            "",
            f"A change blocks the event loop of an entry for {change / 1000:.0f} ms while the"
            f" document is validated and indexed, {CHANGES_PER_DAY} times a day: more than the"
            f" 6.6 ms bound, but only {CHANGES_PER_DAY * change / 1e6 / DAY_SECONDS:.2%} of the"
            " time. To be built: parsing and validating only changed chunks. Bound of 6 s until"
            " a change is in force: fetching and validating take well under a second by these"
            " slopes; the rollout to 420 entries was not run.",
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
            f"{RESTARTS_PER_DAY} restarts a day are one every {DAY_SECONDS / RESTARTS_PER_DAY:.0f}"
            f" s. Each moves {TARGETS * REGISTRARS / NODES:.0f} registrations and 1/{NODES} of the"
            " watched services. When regions are partitioned for minutes, the side with the"
            " majority continues to work; the other side serves lookups, refuses orders as"
            " `not-run` and keeps its configuration. Entries of both sides find each other again"
            " because each contacts a seed from time to time. Not run at full size.",
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
