"""Target selection: near targets first, then the less loaded of two random choices."""

from dataclasses import dataclass
from random import Random

from ..configuration import Document
from ..health import Ejection
from ..membership import TargetRecord, TargetTable

AVOIDANCE_SECONDS = 2.0
FULL_SECONDS = 0.05
SLOW_START_SECONDS = 5.0
MINIMUM_SLOW_START_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class TargetChoice:
    """The selected target, and whether it is in another region than the entry."""

    target: TargetRecord
    is_remote: bool


class Balancer:
    """Selects targets for one entry.

    Parameters
    ----------
    data_centre : str
        Data centre of the entry.
    targets : TargetTable
        Known targets.
    random : Random
        Draws the two candidates, and the share of requests for targets in slow start.

    Notes
    -----
    An ejected target is not selected, unless this entry would otherwise see fewer healthy targets
    of the service than its floor. In that case the ejected ones with the lowest scores are used
    as well.
    """

    def __init__(self, *, data_centre: str, targets: TargetTable, random: Random):
        self.data_centre = data_centre
        self.targets = targets
        self.random = random
        self.document: Document | None = None
        self._floors: dict[str, int] = {}
        self._ejections: dict[str, Ejection] = {}
        self._returned_at: dict[str, float] = {}
        self._outstanding: dict[str, int] = {}
        self._avoided_until: dict[str, float] = {}
        self._full_until: dict[str, float] = {}

    # Queries

    def list_usable(self, service: str) -> list[TargetRecord]:
        """Return the ready targets that are not ejected, plus ejected ones up to the floor."""
        ready = self.targets.list_ready(service)
        if not self._ejections:
            return ready
        healthy = [item for item in ready if not self.is_ejected(item)]
        shortfall = self._floors.get(service, 0) - len(healthy)
        if shortfall > 0:
            ejected = [item for item in ready if self.is_ejected(item)]
            ejected.sort(key=lambda item: self._ejections[item.address].score)
            healthy += ejected[:shortfall]
        return healthy

    def is_ejected(self, target: TargetRecord) -> bool:
        """Return whether an ejection is in force for this incarnation of a target."""
        ejection = self._ejections.get(target.address)
        return ejection is not None and ejection.incarnation == str(target.incarnation)

    def get_outstanding(self, address: str) -> int:
        """Return the number of outstanding requests of this entry at a target."""
        return self._outstanding.get(address, 0)

    # Commands

    def configure(self, document: Document) -> None:
        """Apply the configuration document in force."""
        self.document = document
        self._floors = {service.name: service.floor for service in document.services}

    def set_ejections(self, now: float, ejections: tuple[Ejection, ...]) -> None:
        """Apply the ejections in force; targets no longer ejected go through slow start."""
        current = {item.target: item for item in ejections}
        for address in self._ejections.keys() - current.keys():
            self._returned_at[address] = now
            self._avoided_until.pop(address, None)
        self._ejections = current

    def choose(self, now: float, service: str, tried: frozenset[str]) -> TargetChoice | None:
        """Return a target that was not tried and has a free slot, or None."""
        usable = [item for item in self.list_usable(service) if item.address not in tried]
        free = [
            item
            for item in usable
            if self.get_outstanding(item.address) < item.slots
            and self._full_until.get(item.address, now) <= now
        ]
        preferred = [item for item in free if self._avoided_until.get(item.address, now) <= now]
        # Targets that this entry avoids are used if no other is free.
        for candidates in self._split_by_distance(preferred or free):
            if candidates:
                target = self._pick(now, candidates)
                return TargetChoice(target, self._measure_distance(target) == 2)
        return None

    def acquire(self, address: str) -> None:
        """Count a request that is sent to a target."""
        self._outstanding[address] = self.get_outstanding(address) + 1

    def release(self, address: str) -> None:
        """Count the end of a request at a target."""
        self._outstanding[address] = max(0, self.get_outstanding(address) - 1)

    def record_failed_attempt(self, now: float, address: str) -> None:
        """Avoid a target for ``AVOIDANCE_SECONDS`` after a failed attempt, whatever its cause."""
        self._avoided_until[address] = now + AVOIDANCE_SECONDS

    def record_full(self, now: float, address: str) -> None:
        """Send a target no requests for ``FULL_SECONDS`` after it shed one."""
        self._full_until[address] = now + FULL_SECONDS

    def record_answer(self, address: str) -> None:
        """Stop avoiding a target that answered."""
        self._avoided_until.pop(address, None)
        self._full_until.pop(address, None)

    def _split_by_distance(self, targets: list[TargetRecord]) -> list[list[TargetRecord]]:
        by_distance: list[list[TargetRecord]] = [[], [], []]
        for target in targets:
            by_distance[self._measure_distance(target)].append(target)
        return by_distance

    def _measure_distance(self, target: TargetRecord) -> int:
        if target.data_centre == self.data_centre:
            return 0
        if self.document is None:
            return 1
        own = self.document.find_region(self.data_centre)
        return 1 if self.document.find_region(target.data_centre) == own else 2

    def _pick(self, now: float, candidates: list[TargetRecord]) -> TargetRecord:
        warm = [item for item in candidates if self._draw_warm(now, item.address)]
        pool = warm or candidates
        first, second = self.random.choice(pool), self.random.choice(pool)
        if self.get_outstanding(second.address) < self.get_outstanding(first.address):
            return second
        return first

    def _draw_warm(self, now: float, address: str) -> bool:
        """Return whether a target is warm, at random for one that is still in slow start.

        The probability grows from ``MINIMUM_SLOW_START_SHARE`` to 1 within ``SLOW_START_SECONDS``
        of the last change of the target's record or its return from ejection.
        """
        since = max(
            self._returned_at.get(address, float("-inf")), self.targets.get_changed_at(address)
        )
        share = max(MINIMUM_SLOW_START_SHARE, (now - since) / SLOW_START_SECONDS)
        return share >= 1 or self.random.random() < share
