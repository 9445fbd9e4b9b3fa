"""Fake entry around one request: targets, evidence and a retry budget."""

from ...configuration import Route, Service
from ...execution import Request, RequestContext
from ...ledger import ClaimId
from ...membership import TargetRecord, TargetState
from ...routing import TargetChoice

SERVICE = Service(name="repuestos", targets=3, floor=1)
LOOKUP = Route(path="/repuestos", service="repuestos")
ORDER = Route(path="/repuestos", service="repuestos", methods=("POST",), not_repeatable=True)


def create_target(address: str, **changes) -> TargetRecord:
    values = {
        "service": "repuestos",
        "address": address,
        "data_centre": "norte-1",
        "slots": 3,
        "state": TargetState.READY,
        "incarnation": 1,
        "sequence": 1,
    }
    return TargetRecord(**values | changes)


def create_request(route: Route, *, key: str = "", digest: str = "d", deadline: float = 10.0):
    return Request(
        number=1,
        method=route.methods[0],
        path="/repuestos",
        account="mancora",
        key=key,
        digest=digest,
        route=route,
        service=SERVICE,
        deadline=deadline,
    )


class FakeContext(RequestContext):
    """Three targets and a budget of ``retries``; records outcomes and crashes."""

    def __init__(self, vm: str = "e1", *, retries: int = 10):
        self.vm = vm
        self.retries = retries
        self.targets = [create_target(f"t{n}:1") for n in range(3)]
        self.outcomes = []
        self.crashes = []
        self.quarantined = False
        self._claims = 0

    def choose_target(self, now, service, tried):
        remaining = [item for item in self.targets if item.address not in tried]
        return TargetChoice(remaining[0], False) if remaining else None

    def spend_retry(self, cost):
        self.retries -= 1
        return self.retries >= 0

    def compute_hang_timeout(self, service):
        return 1.0

    def create_claim_id(self):
        self._claims += 1
        return ClaimId(self.vm, "1", self._claims)

    def is_quarantined(self, now, digest):
        return self.quarantined

    def record_outcome(self, now, service, target, outcome):
        self.outcomes.append((target.address, outcome))

    def record_response_time(self, service, seconds):
        pass

    def record_crash(self, now, digest, target):
        self.crashes.append(target.address)
