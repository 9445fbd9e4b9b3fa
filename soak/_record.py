"""What callers, targets and the operator saw, and the promises that it must keep."""

from dataclasses import dataclass, field

# As the pages of the users' sites state them, in seconds.
DRAIN_SECONDS = 2.5
APPLY_SECONDS = 2.5
# Statuses that promise that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})


@dataclass(slots=True)
class Sent:
    """One request of a caller."""

    identity: str
    is_safe: bool
    entry: str
    sent_at: float
    body: bytes = b""
    status: int | None = None
    ended_at: float | None = None


@dataclass(slots=True)
class Run:
    """One run at a target; ``stamp`` is what the target put on its answer."""

    target: str
    at: float
    stamp: str


@dataclass(slots=True)
class Record:
    """All that was seen, and the broken promises found so far."""

    sent: dict[str, Sent] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    # When a target's word that it leaves was acknowledged.
    left_at: dict[str, float] = field(default_factory=dict)
    # Versions that were acknowledged, with the time, and the content of all that were sent.
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    documents: dict[int, bytes] = field(default_factory=dict)
    # The last moment at which something was done to a VM.
    harmed_at: dict[str, float] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)

    def report(self, promise: str, what: str) -> None:
        """Note a broken promise."""
        self.broken.append(f"{promise}: {what}")

    def is_calm(self, vm: str, since: float) -> bool:
        """Tell whether nothing was done to a VM from a moment on."""
        return self.harmed_at.get(vm, float("-inf")) < since

    def note_run(self, now: float, identity: str, run: Run, body: bytes) -> None:
        """Check what a target was asked to run."""
        sent = self.sent.get(identity)
        if sent is None or sent.body != body:
            self.report("unasked", f"{run.target} ran {identity} as {body!r}")
            return
        runs = self.runs.setdefault(identity, [])
        runs.append(run)
        if not sent.is_safe and len(runs) > 1:
            places = ", ".join(item.target for item in runs)
            self.report("twice", f"order {identity} ran on {places}")
        if sent.status in NOT_RUN:
            self.report("refused", f"{identity} ran after it got {sent.status}")
        left_at = self.left_at.get(run.target)
        if left_at is not None and sent.sent_at > left_at + DRAIN_SECONDS:
            late = now - left_at
            self.report("drain", f"{identity} by {sent.entry} ran on {run.target} {late:.2f} s on")

    def note_answer(self, now: float, sent: Sent, status: int, stamp: str, body: bytes) -> None:
        """Check what a caller got."""
        sent.status, sent.ended_at = status, now
        runs = self.runs.get(sent.identity, [])
        if 200 <= status < 300:
            is_own = any(run.stamp == stamp for run in runs)
            if not is_own or body != sent.identity.encode():
                self.report("mixed", f"{sent.identity} got {body!r} with stamp {stamp!r}")
        elif status in NOT_RUN and runs and not sent.is_safe:
            self.report("refused", f"{sent.identity} ran on {runs[0].target} and got {status}")

    def note_read(self, sent_at: float, version: int, content: bytes) -> None:
        """Check a document that the operator read."""
        due = [number for at, number in self.acknowledged if at + APPLY_SECONDS < sent_at]
        if due and version < max(due):
            self.report("config", f"read {version} after {max(due)} was acknowledged")
        if version in self.documents and self.documents[version] != content:
            self.report("config", f"version {version} is not what was sent")

    def count(self) -> dict[str, int]:
        """Return how requests ended."""
        counts: dict[str, int] = {}
        for sent in self.sent.values():
            name = "open" if sent.status is None else str(sent.status or "closed")
            counts[name] = counts.get(name, 0) + 1
        return counts
