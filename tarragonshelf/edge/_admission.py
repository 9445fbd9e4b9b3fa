"""What an entry tells admission of its catalogue, its targets and its requests."""

from random import Random

from ..admission import AdmissionController, Overload, ServiceLoad
from ..avoidance import Standing
from ..catalogue import NO_VERSION, Catalogue
from ..forwarding import (
    MAXIMUM_QUEUE_PER_SLOT,
    WARMING_SLOT_FACTOR,
    Balancer,
    ForwardRequest,
    ServiceProfile,
)
from ._catalogue import ActiveCatalogue

# Lower bound of the queue of a slot, for requests whose time is almost up.
MINIMUM_QUEUE_PER_SLOT = 0.5

# Age that is told if no hub has sent the load of other entries for longer, or ever.
MAXIMUM_AGE_SECONDS = 600.0


class EntryAdmission:
    """Decides on admission with the catalogue in force and the load that the entry knows.

    Parameters
    ----------
    active : ActiveCatalogue
        Ranks of routes and accounts.
    balancer : Balancer
        Targets and their outstanding requests.
    random : Random
        Chooses the refused requests.
    """

    def __init__(self, active: ActiveCatalogue, balancer: Balancer, random: Random):
        self.active = active
        self.balancer = balancer
        # When a hub last sent the outstanding requests of other entries.
        self.load_received_at = float("-inf")
        self._controller = AdmissionController(random)
        self._version = NO_VERSION
        self._account_ranks: dict[str, int] = {}

    def find_overload(
        self, now: float, request: ForwardRequest, profile: ServiceProfile, *, is_full: bool
    ) -> Overload | None:
        """Return the refusal of a request, or None if it is admitted.

        ``is_full`` is whether no target could start it in time. A request of another entry was
        admitted there.
        """
        controller = self._update()
        if request.is_relayed or not controller.covers(request.service):
            return None
        rank = self._account_ranks.get(request.account, request.route.priority)
        load = self.measure_load(now, request, profile)
        if is_full:
            return controller.refuse_full(now, request.service, rank, load)
        return controller.decide(now, request.service, rank, request.account, load)

    def record_start(self, now: float, service: str) -> None:
        """Count an attempt at a target of a service."""
        self._controller.record_start(now, service)

    def record_refusal(self, now: float, service: str) -> None:
        """Count a refusal by a full target of a service."""
        self._controller.record_refusal(now, service)

    def record_success(self, request: ForwardRequest, seconds: float) -> None:
        """Record the response time of a successful attempt."""
        ended_at = request.arrived_at + seconds
        objective = request.route.objective
        self._controller.record_end(ended_at, request.service, seconds, objective)

    def measure_load(
        self, now: float, request: ForwardRequest, profile: ServiceProfile
    ) -> ServiceLoad:
        """Return the load of the trusted targets that a request could be sent to.

        A target that refused a request a moment ago has no free slot.
        """
        balancer = self.balancer
        slots, free, outstanding = 0.0, 0.0, 0
        for target in balancer.targets.list_usable(request.service):
            name = target.identity
            is_trusted = balancer.avoidance.get_standing(now, name) == Standing.TRUSTED
            if not is_trusted or balancer.pauses.is_paused(now, name):
                continue
            is_warming = balancer.targets.is_warming(now, name)
            own_slots = target.slots * (WARMING_SLOT_FACTOR if is_warming else 1.0)
            count = balancer.count_outstanding(name)
            slots += own_slots
            outstanding += count
            if not balancer.avoidance.is_full(now, name):
                free += max(0.0, own_slots - count)
        work = profile.work_seconds
        startable = (request.deadline - now) / work - 0.5
        queue_per_slot = max(MINIMUM_QUEUE_PER_SLOT, min(MAXIMUM_QUEUE_PER_SLOT, startable))
        age = min(MAXIMUM_AGE_SECONDS, now - self.load_received_at)
        return ServiceLoad(slots, free, outstanding, queue_per_slot * slots, work, age)

    def _update(self) -> AdmissionController:
        """Return the controller with the ranks of the catalogue in force."""
        if self.active.version != self._version:
            self._version = self.active.version
            self._account_ranks = {
                account.name: account.priority
                for account in self.active.catalogue.accounts or ()
                if account.priority is not None
            }
            self._controller.update_ranks(list_ranks(self.active.catalogue))
        return self._controller


def list_ranks(catalogue: Catalogue) -> dict[str, tuple[int, ...]]:
    """Return the ranks in use at each service that is subject to admission.

    A service is if there are client accounts, or if its routes have different priorities. The
    priority of a route counts if it is public or if an account has none of its own.
    """
    accounts = catalogue.accounts or ()
    own_ranks = {item.priority for item in accounts if item.priority is not None}
    all_have_own = bool(accounts) and all(item.priority is not None for item in accounts)
    ranks: dict[str, set[int]] = {}
    for route in catalogue.routes:
        for item in route.services:
            in_use = ranks.setdefault(item.service, set(own_ranks))
            if item.weight > 0 and (route.is_public or not all_have_own):
                in_use.add(route.priority)
    return {
        service: tuple(sorted(values))
        for service, values in ranks.items()
        if values and (accounts or len(values) > 1)
    }
