"""Replicated state machine that grants ejections; it is deterministic."""

from ._messages import (
    Ejection,
    GrantsState,
    HealthResult,
    ReadyTarget,
    ReportHealth,
    WatcherReport,
)

REPORT_LIFETIME_SECONDS = 15.0


class EjectionGrants:
    """Grants ejections that leave at least the floor of healthy targets in every watcher's view.

    Notes
    -----
    All grants of a service pass through one replicated log, so that entries and regions that
    are partitioned from each other cannot each use up the capacity above the floor. Healthy
    capacity is the number of ready targets that are not ejected; of several views the one with
    the lowest number counts.
    """

    def __init__(self, state: GrantsState = GrantsState()):
        self._ejections = {(item.service, item.target): item for item in state.ejections}
        self._reports = {(item.service, item.watcher): item for item in state.reports}

    # Queries

    def list_ejections(self, service: str | None = None) -> tuple[Ejection, ...]:
        """Return the ejections in force of one service, or of all services."""
        items = self._ejections.values()
        return tuple(item for item in items if service in (None, item.service))

    def capture(self) -> GrantsState:
        """Return a snapshot of the state."""
        return GrantsState(tuple(self._ejections.values()), tuple(self._reports.values()))

    def count_healthy(self, service: str, time: float) -> int | None:
        """Return the lowest healthy capacity of all views, or None without a view."""
        ejected = {item.target for item in self.list_ejections(service)}
        views = self._list_views(service, time)
        return min((_count_not_ejected(view, ejected) for view in views), default=None)

    # Commands

    def report(self, time: float, floor: int, command: ReportHealth) -> HealthResult:
        """Store a watcher's view, end and grant ejections, and return those in force."""
        service = command.service
        report = WatcherReport(service, command.watcher, time, command.ready)
        self._reports[service, command.watcher] = report
        self._remove_expired_reports(service, time)
        self._end_recovered_ejections(command)
        self._release_below_floor(service, time, floor)
        self._grant(time, floor, command)
        return HealthResult(self.list_ejections(service))

    def release_below_floors(self, time: float, floors: dict[str, int]) -> None:
        """End ejections that changed floors no longer allow, and those of removed services."""
        for service in {item.service for item in self.list_ejections()}:
            if service not in floors:
                self._drop_service(service)
            else:
                self._release_below_floor(service, time, floors[service])

    def _grant(self, time: float, floor: int, command: ReportHealth) -> None:
        ready = {(item.address, item.incarnation) for item in command.ready}
        for suspect in sorted(command.suspects, key=lambda item: (-item.score, item.address)):
            key = (command.service, suspect.address)
            if key in self._ejections or (suspect.address, suspect.incarnation) not in ready:
                continue
            ejection = Ejection(
                command.service,
                suspect.address,
                suspect.incarnation,
                suspect.score,
                suspect.reason,
                time,
            )
            self._ejections[key] = ejection
            if self.count_healthy(command.service, time) < floor:
                del self._ejections[key]

    def _release_below_floor(self, service: str, time: float, floor: int) -> None:
        ejections = sorted(
            self.list_ejections(service), key=lambda item: (item.score, item.target)
        )
        for ejection in ejections:
            healthy = self.count_healthy(service, time)
            if healthy is None or healthy >= floor:
                return
            del self._ejections[service, ejection.target]

    def _end_recovered_ejections(self, command: ReportHealth) -> None:
        incarnations = {item.address: item.incarnation for item in command.ready}
        for ejection in self.list_ejections(command.service):
            seen = incarnations.get(ejection.target, ejection.incarnation)
            if ejection.target in command.recovered or seen != ejection.incarnation:
                del self._ejections[command.service, ejection.target]

    def _remove_expired_reports(self, service: str, time: float) -> None:
        for key, report in list(self._reports.items()):
            if key[0] == service and time - report.time > REPORT_LIFETIME_SECONDS:
                del self._reports[key]

    def _list_views(self, service: str, time: float) -> list[tuple[ReadyTarget, ...]]:
        reports = self._reports.values()
        return [
            report.ready
            for report in reports
            if report.service == service and time - report.time <= REPORT_LIFETIME_SECONDS
        ]

    def _drop_service(self, service: str) -> None:
        self._ejections = {k: v for k, v in self._ejections.items() if k[0] != service}
        self._reports = {k: v for k, v in self._reports.items() if k[0] != service}


def _count_not_ejected(view: tuple[ReadyTarget, ...], ejected: set[str]) -> int:
    return sum(1 for item in view if item.address not in ejected)
