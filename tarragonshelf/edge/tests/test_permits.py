"""Permits that were given back."""

from random import Random

from ...forwarding import PermitDecided, PermitNeeded
from ...registry import TargetEntry, TargetState
from ...throttling import DeclaredLimits
from .._permits import UNUSED_PERMIT_SECONDS, PendingPermitRequests

TARGETS = tuple(
    TargetEntry(name, 1, 1, TargetState.READY, f"{name}:80", "s", "z", 3) for name in ("a", "b")
)
NEEDED = PermitNeeded("s", TARGETS, 1.0, False)


class TestUnusedPermits:
    def create_requests(self) -> PendingPermitRequests:
        limits = DeclaredLimits()
        for target in TARGETS:
            limits.record(0.0, target.identity, 1.0)
        return PendingPermitRequests(limits, Random(1))

    def decide(self, requests: PendingPermitRequests, now: float) -> PermitDecided | None:
        return requests.decide_with_unused(now, requests.add(now, NEEDED).number)

    def test_next_request_uses_it_once(self):
        requests = self.create_requests()
        requests.give_back(10.0, "b")
        assert self.decide(requests, 10.1) == PermitDecided("b")
        assert self.decide(requests, 10.1) is None

    def test_it_expires(self):
        requests = self.create_requests()
        requests.give_back(10.0, "b")
        assert self.decide(requests, 10.01 + UNUSED_PERMIT_SECONDS) is None

    def test_it_counts_for_its_target_only(self):
        requests = self.create_requests()
        requests.give_back(10.0, "other")
        assert self.decide(requests, 10.1) is None
