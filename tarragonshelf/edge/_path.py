"""Path of an entry to the targets: evidence that depends on it, and relays while it is lost."""

from collections.abc import Callable
from random import Random

from ..avoidance import EvidenceItem, EvidenceKind, GrayFailureDetector, Standing
from ..base import Effect, Message
from ..catalogue import NO_VERSION
from ..forwarding import RelayOutcome, Topology
from ..registry import TargetEntry, TargetRegistry
from ..relaying import (
    CloseIdleConnections,
    DeclineReason,
    PathDoubted,
    PathMonitor,
    PathState,
    RelayRecord,
    RelaySelector,
)
from ..replication import EmitEvent

# Failures that a lost path of this entry explains as well as a failed target.
AMBIGUOUS_EVIDENCE = frozenset(
    {
        EvidenceKind.BROKEN,
        EvidenceKind.HUNG,
        EvidenceKind.SLOW,
        EvidenceKind.UNHEARD,
        EvidenceKind.UNREACHABLE,
    }
)
# Requests of other entries in flight, and the bytes of their bodies. The number is about twice
# that of own requests in flight at the size that an entry is designed for.
MAXIMUM_RELAYED_REQUESTS = 128
MAXIMUM_RELAYED_BYTES = 32 << 20
# Targets among which those to check are chosen, so that a choice takes as long in large sites.
MAXIMUM_CANDIDATES = 64
UNAVAILABLE_OUTCOMES = frozenset(
    {RelayOutcome.DECLINED, RelayOutcome.NOT_SENT, RelayOutcome.BROKEN}
)


class TargetPath:
    """Whether this entry reaches the targets, and through which entries it does otherwise.

    Parameters
    ----------
    topology : Topology
        Data centre of the entry and region of each data centre.
    targets : TargetRegistry
        Targets that announced themselves.
    avoidance : GrayFailureDetector
        Standing of each target.
    random : Random
        Spreads checks and relayed requests.
    report : callable
        Receives evidence once the path is known to be open.
    emit : callable
        Receives effects.
    announce : callable
        Called when the path is lost or open again.
    """

    def __init__(
        self,
        *,
        topology: Topology,
        targets: TargetRegistry,
        avoidance: GrayFailureDetector,
        random: Random,
        report: Callable[[float, EvidenceItem], None],
        emit: Callable[[Effect], None],
        announce: Callable[[], None],
    ):
        self.topology = topology
        self.targets = targets
        self.avoidance = avoidance
        self.random = random
        self.report = report
        self.emit = emit
        self.announce = announce
        self.monitor = PathMonitor(self._choose_targets)
        self.relays = RelaySelector(topology.get_distance, random)
        # Requests of other entries that this entry forwards at the moment, and their bytes.
        self.relayed_requests = 0
        self._relayed_bytes = 0
        # Highest version of the catalogue that a relay had in force.
        self.relay_version = NO_VERSION
        self._withheld: list[EvidenceItem] = []

    @property
    def is_lost(self) -> bool:
        """Whether no target can be reached."""
        return self.monitor.state == PathState.LOST

    @property
    def is_open(self) -> bool:
        """Whether nothing speaks against the path."""
        return self.monitor.state == PathState.OPEN

    @property
    def is_in_doubt(self) -> bool:
        """Whether checks are under way that tell a lost path from a failed target."""
        return self.monitor.state == PathState.DOUBTED

    def handle(self, now: float, message: Message) -> None:
        """Handle a new connection to a target, a slow one, or the result of a check."""
        before, seconds = self.monitor.state, self.monitor.get_seconds(now)
        effects = self.monitor.handle(now, message)
        self._apply(now, before, seconds, effects)

    def tick(self, now: float) -> None:
        """Start the checks that are due."""
        before, seconds = self.monitor.state, self.monitor.get_seconds(now)
        self._apply(now, before, seconds, self.monitor.tick(now))

    def record_failure(self, now: float, item: EvidenceItem) -> None:
        """Withhold evidence that a lost path would explain until the path is known to be open.

        Otherwise the other entries would avoid targets that work.
        """
        if self.is_lost:
            return
        self._withheld.append(item)
        self.handle(now, PathDoubted(item.target))
        if self.monitor.state == PathState.OPEN:
            self._release(now)

    def choose_relay(self, now: float, excluded: frozenset[str]) -> RelayRecord | None:
        """Return the entry that relays the next request, or None if there is none."""
        return self.relays.choose(now, excluded)

    def record_relay_end(
        self, now: float, relay: RelayRecord, outcome: RelayOutcome | None
    ) -> None:
        """Record how an attempt at a relay ended; None if this entry cancelled it."""
        self.relays.release(relay)
        if outcome in UNAVAILABLE_OUTCOMES:
            self.relays.avoid(now, relay)

    def acquire_relayed(self, size: int) -> None:
        """Count a request of another entry with a body of some bytes."""
        self.relayed_requests += 1
        self._relayed_bytes += size

    def release_relayed(self, size: int) -> None:
        """Count the end of a request of another entry."""
        self.relayed_requests -= 1
        self._relayed_bytes -= size

    def find_decline_reason(
        self, *, is_stopping: bool, version: int, minimum_version: int, size: int
    ) -> DeclineReason | None:
        """Return why a request of another entry is not taken, or None if it is."""
        if is_stopping:
            return DeclineReason.STOPPING
        if self.is_lost:
            return DeclineReason.ISOLATED
        if version < minimum_version:
            return DeclineReason.OUTDATED
        is_full = self.relayed_requests >= MAXIMUM_RELAYED_REQUESTS
        if is_full or self._relayed_bytes + size > MAXIMUM_RELAYED_BYTES:
            return DeclineReason.BUSY
        return None

    def _apply(self, now: float, before: PathState, seconds: float, effects: list[Effect]) -> None:
        for effect in effects:
            self.emit(effect)
        state = self.monitor.state
        if state == before:
            return
        if state == PathState.LOST:
            fields = {"withheld": len(self._withheld), "seconds": round(seconds, 3)}
            self.emit(EmitEvent("path_lost", fields))
            self._withheld.clear()
            self.emit(CloseIdleConnections())
        elif state == PathState.OPEN:
            self._release(now)
            if before == PathState.LOST:
                self.emit(EmitEvent("path_restored", {"seconds": round(seconds, 3)}))
        if PathState.LOST in (before, state):
            self.announce()

    def _release(self, now: float) -> None:
        withheld, self._withheld = self._withheld, []
        for item in withheld:
            self.report(now, item)

    def _choose_targets(
        self, now: float, count: int, excluded: frozenset[str]
    ) -> tuple[TargetEntry, ...]:
        """Return targets that are likely to respond, near ones and of different data centres."""

        def rank(target: TargetEntry) -> tuple[bool, int, float]:
            standing = self.avoidance.get_standing(now, target.identity)
            distance = self.topology.get_distance(target.data_centre)
            return standing != Standing.TRUSTED, distance, self.random.random()

        candidates = [
            item
            for item in self.targets.list_all()
            if item.is_usable and item.identity not in excluded
        ]
        if len(candidates) > MAXIMUM_CANDIDATES:
            candidates = self.random.sample(candidates, MAXIMUM_CANDIDATES)
        chosen: list[TargetEntry] = []
        for target in sorted(candidates, key=rank):
            if len(chosen) == count:
                break
            if target.data_centre not in {item.data_centre for item in chosen}:
                chosen.append(target)
        rest = (item for item in candidates if item not in chosen)
        chosen += list(rest)[: count - len(chosen)]
        return tuple(chosen)
