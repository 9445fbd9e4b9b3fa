"""Fake entry that records the calls of one request's state machine."""

from random import Random

from ...admission import Overload
from ...avoidance import EvidenceKind, GrayFailureDetector
from ...catalogue import Route, WeightedService
from ...forwarding import (
    AttemptEnded,
    AttemptOutcome,
    ForwardingContext,
    ForwardRequest,
    LatencyThresholds,
    PermitNeeded,
    RefusalReason,
    RequestMachine,
    Started,
    TargetAnswer,
)
from ...registry import TargetEntry, TargetState
from ...relaying import RelayRecord

RANDOM = Random(1)


def create_route(*, is_repeatable: bool, attempts: int = 2, timeout: float = 2.0) -> Route:
    shares = (WeightedService("s", 1.0),)
    return Route("r", "h", "/", is_repeatable, timeout, 1.0, 1, attempts, shares)


def create_target(name: str, **fields) -> TargetEntry:
    values = {"service": "s", "data_centre": "z", "slots": 3, "address": f"{name}:80"}
    return TargetEntry(name, 1, 1, TargetState.READY, **{**values, **fields})


class FakeContext(ForwardingContext):
    """Returns targets in order and grants ``retries`` retries; ``limited`` ones need a permit."""

    def __init__(
        self, *targets: str, retries: int = 10, limited: frozenset[str] | set[str] = frozenset()
    ):
        self.limited = limited
        self.targets = [create_target(name) for name in targets]
        # While there are relays, this entry has no path to the targets itself.
        self.relays: list[RelayRecord] = []
        self.is_doubted = False
        self.retries = retries
        self.occupied: list[str] = []
        self.evidence: list[tuple[str, EvidenceKind]] = []
        self.departed: list[str] = []
        # Targets that said that they leave, and those that may not receive what chose them.
        self.leaving: list[str] = []
        self.unusable: set[str] = set()
        self.untrusted: set[str] = set()
        self.is_predictive = True
        self.slow_outcomes: list[bool] = []
        self.quarantined: set[int] = set()
        self.limits: list[tuple[str, float | None]] = []
        self.pauses: list[tuple[str, float]] = []
        self.paused: set[str] = set()
        self.avoidance = GrayFailureDetector()
        # Refusals by admission: before the first attempt, and if all targets are full.
        self.overload: Overload | None = None
        self.full_overload: Overload | None = None

    def choose_target(self, now, request, tried):
        if self.relays and not request.is_relayed:
            relays = [item for item in self.relays if item.address not in tried]
            return relays[0] if relays else RefusalReason.NO_PATH
        excluded = self.paused | tried
        remaining = [item for item in self.targets if item.identity not in excluded]
        if not remaining:
            return RefusalReason.NO_TARGET
        if remaining[0].identity not in self.limited:
            return remaining[0]
        limited = tuple(item for item in remaining if item.identity in self.limited)
        return PermitNeeded("s", limited, float(len(limited)), len(limited) < len(remaining))

    def find_overload(self, now, request, *, is_full=False):
        return self.full_overload if is_full else self.overload

    def spend_retry(self, now, service):
        self.retries -= 1
        return self.retries >= 0

    def is_quarantined(self, now, digest):
        return digest in self.quarantined

    def estimate_latency_thresholds(self, now, request, target):
        return LatencyThresholds(0.9, 1.0)

    def is_slowness_predictive(self):
        return self.is_predictive

    def record_slow_outcome(self, *, is_answered):
        self.slow_outcomes.append(is_answered)

    def compute_retry_after(self, now, service):
        return 0.3

    def is_trusted(self, now, target):
        return target.identity not in self.untrusted

    def record_attempt_start(self, now, request, target, kind):
        self.occupied.append(target.identity)

    def record_attempt_end(self, now, target):
        self.occupied.remove(target.identity)

    def is_path_in_doubt(self):
        return self.is_doubted

    def record_relay_start(self, now, relay):
        self.occupied.append(relay.address)

    def record_relay_end(self, now, relay, outcome):
        self.occupied.remove(relay.address)

    def record_evidence(self, now, request, target, kind):
        self.evidence.append((target.identity, kind))

    def record_limit(self, now, target, statement, *, sent_at):
        self.limits.append((target.identity, statement.rate))

    def record_pause(self, now, target, statement, *, sent_at):
        self.pauses.append((target.identity, statement.seconds))

    def is_paused(self, now, target):
        return target.identity in self.paused

    def record_success(self, request, seconds, size):
        pass

    def describe_target(self, now, target):
        return {}

    def record_misdirected(self, now, target):
        self.departed.append(target.identity)

    def is_usable(self, target):
        return target.identity not in self.unusable

    def record_departure(self, now, target):
        self.leaving.append(target.identity)

    def record_relayed_departure(self, now, identity, *, sent_at):
        self.leaving.append(identity)


def start(context: FakeContext, route: Route) -> tuple[RequestMachine, list]:
    request = ForwardRequest("q", route, "s", 0.0, route.timeout, digest=7)
    machine = RequestMachine(request, context)
    return machine, machine.handle(0.0, Started())


def end(machine, number: int, outcome: AttemptOutcome, *, status: int = 0, now: float = 0.1):
    answer = TargetAnswer(status, (), b"") if status else None
    return machine.handle(now, AttemptEnded(number, outcome, now, answer))
