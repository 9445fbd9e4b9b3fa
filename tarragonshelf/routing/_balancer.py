"""Choice of a target: near first, least loaded of two, avoiding what fails."""

from dataclasses import dataclass
from random import Random

from ..configuration import Document
from ..health import Ejection
from ..membership import TargetRecord, TargetTable

AVOID_SECONDS = 2.0
FULL_SECONDS = 0.05
SLOW_START_SECONDS = 5.0
SLOW_START_FLOOR = 0.1


@dataclass(frozen=True, slots=True)
class TargetChoice:
    """A target that was chosen, and whether it is in another region than the entry."""

    target: TargetRecord
    is_remote: bool


class Balancer:
    """Chooses targets for one entry.

    Parameters
    ----------
    data_centre : str
        Where the entry is.
    targets : TargetTable
        The targets that are known.
    random : Random
        Draws the two candidates.

    Notes
    -----
    An ejected target is not chosen, unless the service's targets in this entry's own view
    would then be fewer than the floor: the least bad ejected ones are used again.
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
        """Return the targets that an ejection does not bar, keeping the floor."""
        ready = self.targets.list_ready(service)
        if not self._ejections:
            return ready
        healthy = [item for item in ready if not self.is_ejected(item)]
        missing = self._floors.get(service, 0) - len(healthy)
        if missing > 0:
            barred = [item for item in ready if self.is_ejected(item)]
            barred.sort(key=lambda item: self._ejections[item.address].score)
            healthy += barred[:missing]
        return healthy

    def is_ejected(self, target: TargetRecord) -> bool:
        """Tell whether a granted ejection names this incarnation of a target."""
        ejection = self._ejections.get(target.address)
        return ejection is not None and ejection.incarnation == str(target.incarnation)

    def get_outstanding(self, address: str) -> int:
        """Return how many requests of this entry a target holds."""
        return self._outstanding.get(address, 0)

    # Commands

    def configure(self, document: Document) -> None:
        """Take a document in force."""
        self.document = document
        self._floors = {service.name: service.floor for service in document.services}

    def set_ejections(self, now: float, ejections: tuple[Ejection, ...]) -> None:
        """Take the ejections in force; a target that returns starts slowly."""
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
        calm = [item for item in free if self._avoided_until.get(item.address, now) <= now]
        # Without any other, a target that this entry avoids is better than none.
        for candidates in self._split_by_distance(calm or free):
            if candidates:
                target = self._pick(now, candidates)
                return TargetChoice(target, self._measure_distance(target) == 2)
        return None

    def acquire(self, address: str) -> None:
        """Count a request that is handed to a target."""
        self._outstanding[address] = self.get_outstanding(address) + 1

    def release(self, address: str) -> None:
        """Count a request that a target no longer holds."""
        self._outstanding[address] = max(0, self.get_outstanding(address) - 1)

    def record_failed_attempt(self, now: float, address: str) -> None:
        """Avoid a target for a while, whoever is at fault."""
        self._avoided_until[address] = now + AVOID_SECONDS

    def record_full(self, now: float, address: str) -> None:
        """Leave a target alone for a moment after it shed a request."""
        self._full_until[address] = now + FULL_SECONDS

    def record_answer(self, address: str) -> None:
        """End the avoidance of a target that answered."""
        self._avoided_until.pop(address, None)
        self._full_until.pop(address, None)

    def _split_by_distance(self, targets: list[TargetRecord]) -> list[list[TargetRecord]]:
        near: list[list[TargetRecord]] = [[], [], []]
        for target in targets:
            near[self._measure_distance(target)].append(target)
        return near

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
        """Tell by chance whether a target that is new or came back gets this request."""
        since = max(
            self._returned_at.get(address, float("-inf")), self.targets.get_changed_at(address)
        )
        share = max(SLOW_START_FLOOR, (now - since) / SLOW_START_SECONDS)
        return share >= 1 or self.random.random() < share
