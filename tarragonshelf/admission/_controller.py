"""Decides which requests are admitted while a service is short of room."""

from bisect import bisect_left
from collections.abc import Mapping
from random import Random

from ._demand import MEMORY_SECONDS, MINIMUM_REQUESTS, AccountDemand, FadingSum
from ._messages import Overload, OverloadCause, ServiceLoad
from ._pressure import ServicePressure

# Share of the queue at which the least urgent rank is refused altogether; the most urgent one may
# use all of it, and the ranks between are spaced evenly. Refusals begin at RAMP_START of a rank's
# share and grow, since all entries see the same load and would otherwise start and stop together.
# In simulated bursts to 0.96 of the slots of 4 to 20 targets, 0.4 and 0.5 served 0.971 to 0.998 of
# all requests, these values 0.994 to 1.000, and all urgent ones either way.
LOWEST_QUEUE_SHARE = 0.6
RAMP_START = 0.7
# The room that a rank leaves free shrinks while fewer than this share of the service's recent
# requests are more urgent: room that nobody more urgent uses would be refused for nothing.
FULL_RESERVE_DEMAND = 0.25
# The most urgent rank always admits this share of the requests of an account above its fair share,
# so that no account is shut out.
MINIMUM_ADMITTED_SHARE = 0.25
# Refused callers that are expected back are counted for this long.
RETURN_SECONDS = 3.0
# Bounds of the time over which the refused callers of one rank return, and of that of all ranks.
MINIMUM_SPREAD_SECONDS = 0.2
MAXIMUM_SPREAD_SECONDS = 3.0
MINIMUM_RETRY_AFTER_SECONDS = 0.1
# Lowest rate of answers from which the spread is computed.
MINIMUM_ANSWER_RATE = 0.5


class _RankState:
    """Recent requests of one rank, and those of them that were refused."""

    def __init__(self):
        self.demand = AccountDemand()
        self.requests = FadingSum(MEMORY_SECONDS)
        self.refused = FadingSum(RETURN_SECONDS)


class _ServiceState:
    def __init__(self):
        self.pressure = ServicePressure()
        self._by_rank: dict[int, _RankState] = {}

    def get_rank(self, rank: int) -> _RankState:
        return self._by_rank.setdefault(rank, _RankState())

    def get_urgent_share(self, now: float, rank: int) -> float:
        """Return the share of recent requests that are more urgent than a rank; 1 if unknown."""
        counts = {item: state.requests.read(now) for item, state in self._by_rank.items()}
        total = sum(counts.values())
        if total < MINIMUM_REQUESTS:
            return 1.0
        return sum(count for item, count in counts.items() if item < rank) / total

    def keep_ranks(self, ranks: tuple[int, ...]) -> None:
        self._by_rank = {rank: state for rank, state in self._by_rank.items() if rank in ranks}


class AdmissionController:
    """Admits everybody while a service has room, and then by rank and by share.

    Parameters
    ----------
    random : Random
        Chooses the refused requests and spreads the return of their callers.

    Notes
    -----
    Each rank may use a share of the queue of the service's targets, the less urgent the smaller.
    From ``RAMP_START`` of this share on, a growing part of the rank's requests is shed, first
    those of accounts above their max-min fair share of the rank's recent requests. The part
    follows from the load alone, not from how much was served before, so refusals cause no further
    ones.
    """

    def __init__(self, random: Random):
        self.random = random
        self._ranks: dict[str, tuple[int, ...]] = {}
        self._services: dict[str, _ServiceState] = {}

    def update_ranks(self, ranks: Mapping[str, tuple[int, ...]]) -> None:
        """Replace the ranks in use at each service; services not named admit every request."""
        self._ranks = {service: tuple(sorted(values)) for service, values in ranks.items()}
        kept = self._services.keys() & self._ranks.keys()
        self._services = {service: self._services[service] for service in kept}
        for service, state in self._services.items():
            state.keep_ranks(self._ranks[service])

    def covers(self, service: str) -> bool:
        """Return whether requests for a service may be refused."""
        return service in self._ranks

    def decide(
        self, now: float, service: str, rank: int, account: str, load: ServiceLoad
    ) -> Overload | None:
        """Count a request, and return None if it is admitted.

        ``account`` is empty if the request belongs to none.
        """
        if not self.covers(service):
            return None
        state = self._get_state(service)
        rank_state = state.get_rank(rank)
        rank_state.requests.add(now)
        if account:
            rank_state.demand.record(now, account)
        level = state.pressure.estimate_level(now, load)
        urgent_share = state.get_urgent_share(now, rank)
        stop = self._get_queue_share(service, rank, urgent_share=urgent_share)
        start = RAMP_START * stop
        if level <= start:
            return None
        shed = min(1.0, (level - start) / (stop - start))
        is_most_urgent = self._get_position(service, rank) == 0
        if shed == 1 and not is_most_urgent:
            return self._refuse(now, service, rank, load, level, OverloadCause.RANK)
        if account:
            probability = rank_state.demand.estimate_excess(now, account, shed)
            cause = OverloadCause.ACCOUNT
        else:
            probability = 0.0 if is_most_urgent else shed
            cause = OverloadCause.RANK
        if is_most_urgent:
            probability = min(probability, 1 - MINIMUM_ADMITTED_SHARE)
        if self.random.random() >= probability:
            return None
        return self._refuse(now, service, rank, load, level, cause)

    def refuse_full(
        self, now: float, service: str, rank: int, load: ServiceLoad
    ) -> Overload | None:
        """Return the refusal of a request that no target could start in time.

        None if requests for this service are not subject to admission.
        """
        if not self.covers(service):
            return None
        level = self._get_state(service).pressure.estimate_level(now, load)
        return self._refuse(now, service, rank, load, level, OverloadCause.FULL)

    def record_start(self, now: float, service: str) -> None:
        """Count an attempt at a target of a service."""
        if self.covers(service):
            self._get_state(service).pressure.record_start(now)

    def record_refusal(self, now: float, service: str) -> None:
        """Count a refusal by a full target of a service."""
        if self.covers(service):
            self._get_state(service).pressure.record_refusal(now)

    def record_end(self, now: float, service: str, seconds: float, objective: float) -> None:
        """Record the response time of a successful request, and the objective of its route."""
        if self.covers(service):
            self._get_state(service).pressure.record_answer(now, seconds, objective)

    def _get_state(self, service: str) -> _ServiceState:
        return self._services.setdefault(service, _ServiceState())

    def _get_position(self, service: str, rank: int) -> int:
        """Return how many ranks in use at a service are more urgent, without the last one."""
        ranks = self._ranks[service]
        return min(bisect_left(ranks, rank), len(ranks) - 1)

    def _get_queue_share(self, service: str, rank: int, *, urgent_share: float = 1.0) -> float:
        """Return the share of a service's queue at which a rank is refused altogether.

        ``urgent_share`` is the share of the recent requests that are more urgent.
        """
        last = max(1, len(self._ranks[service]) - 1)
        reserve = (1 - LOWEST_QUEUE_SHARE) * min(1.0, urgent_share / FULL_RESERVE_DEMAND)
        return 1 - reserve * self._get_position(service, rank) / last

    def _refuse(
        self,
        now: float,
        service: str,
        rank: int,
        load: ServiceLoad,
        level: float,
        cause: OverloadCause,
    ) -> Overload:
        state = self._get_state(service)
        state.get_rank(rank).refused.add(now)
        start = RAMP_START * self._get_queue_share(service, rank)
        # Time in which the targets work off what waits above the share of this rank, and in which
        # at least one request ends.
        excess = max(0.0, level - start) * load.queue
        room_in = load.work_seconds * max(0.5, excess / load.slots if load.slots else 0.0)
        # Callers of more urgent ranks return before; each rank gets the time in which this entry
        # can serve those that it has refused.
        ranks = self._ranks[service]
        position = self._get_position(service, rank)
        spreads = [self._get_spread_seconds(now, service, item) for item in ranks[: position + 1]]
        retry_after = room_in + sum(spreads[:-1]) + self.random.uniform(0.0, spreads[-1])
        retry_after = max(MINIMUM_RETRY_AFTER_SECONDS, retry_after)
        return Overload(rank, cause, level, load.age, retry_after)

    def _get_spread_seconds(self, now: float, service: str, rank: int) -> float:
        state = self._get_state(service)
        rate = max(MINIMUM_ANSWER_RATE, state.pressure.get_answer_rate(now))
        seconds = state.get_rank(rank).refused.read(now) / rate
        longest = max(MINIMUM_SPREAD_SECONDS, MAXIMUM_SPREAD_SECONDS / len(self._ranks[service]))
        return max(MINIMUM_SPREAD_SECONDS, min(longest, seconds))
