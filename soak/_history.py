"""The requests, executions and reads of a run, and the guarantees checked on them."""

from dataclasses import dataclass, field
from typing import Any

# Limits of the users' specification: a request sent this time after a drain was acknowledged does
# not reach the target, and a read this time after a version was acknowledged returns no older one.
DRAIN_SECONDS = 2.5
APPLY_SECONDS = 2.5
# While controls are disturbed, but a majority is not, versions may take so much longer to apply.
OUTER_SECONDS = 5.0
# An entry that used a version handles no request sent this time later by an older one.
STALE_READ_SECONDS = 0.25
# From LIMIT_SETTLE_SECONDS after a target first named a limit, it receives in LIMIT_WINDOW_SECONDS
# at most LIMIT_FACTOR times what the limit allows, and LIMIT_SLACK requests more, from the entries
# that passed on such a response at least TOLD_SECONDS before. A disturbed entry does not count
# until it was undisturbed for LIMIT_SETTLE_SECONDS.
LIMIT_SETTLE_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
TOLD_SECONDS = 0.5
# While some entries are cut off from all targets, from STABLE_SECONDS after it began, requests
# to them are served at least PATH_SHARE times as often as those to the others, or at most
# PATH_FAILURES and one in PATH_FAILURE_DIVISOR of all requests fail there. Disturbed entries do
# not count, nor does the time in which half of the controls or more are disturbed, or all entries
# that are not cut off.
STABLE_SECONDS = 3.0
PATH_SHARE = 2 / 3
PATH_FAILURES = 10
PATH_FAILURE_DIVISOR = 50
# Statuses that guarantee that a request was not run and never will be.
NOT_RUN = frozenset({401, 408, 421, 429, 503})
# Those of them by which an entry responds before the first attempt.
NOT_ATTEMPTED = frozenset({401, 429})


@dataclass(slots=True)
class SentRequest:
    """One request of a caller; its status is None while it is open and 0 without a response.

    ``version`` is the version by whose own route it was sent, or 0 for a route of all versions;
    ``key`` is the key of an account.
    """

    request_id: str
    is_safe: bool
    entry: str
    sent_at: float
    body: bytes = b""
    version: int = 0
    status: int | None = None
    ended_at: float | None = None
    key: str = ""


@dataclass(slots=True)
class Execution:
    """One execution of a request by a target, with the ``Response-Stamp`` of its response."""

    target: str
    started_at: float
    stamp: str


@dataclass(slots=True)
class LimitPeriod:
    """The time in which a target names limits.

    ``changes`` holds each limit with the time since which it is named, ``told_at`` when each entry
    first passed on a response that names one, and ``arrivals`` the times of the requests that
    count.
    """

    changes: list[tuple[float, float]]
    told_at: dict[str, float] = field(default_factory=dict)
    arrivals: list[float] = field(default_factory=list)

    def get_highest_limit(self, since: float) -> float:
        """Return the highest limit that was named at or after a time."""
        ends = [*(at for at, _ in self.changes[1:]), float("inf")]
        named = zip(self.changes, ends, strict=True)
        return max(limit for (_, limit), end in named if end >= since)


@dataclass(slots=True)
class History:
    """All observations of a run, and the violations of guarantees found so far."""

    sent: dict[str, SentRequest] = field(default_factory=dict)
    executions: dict[str, list[Execution]] = field(default_factory=dict)
    # By target, when the announcement of its drain was acknowledged.
    drain_acknowledged_at: dict[str, float] = field(default_factory=dict)
    # By target and entry, when the entry first passed on a response that says that it leaves.
    departure_told_at: dict[tuple[str, str], float] = field(default_factory=dict)
    # Acknowledged versions with the time, and the content of all versions that were sent.
    acknowledged_versions: list[tuple[float, int]] = field(default_factory=list)
    documents: dict[int, bytes] = field(default_factory=dict)
    # By target, the limits that it names at the moment.
    limits: dict[str, LimitPeriod] = field(default_factory=dict)
    # By VM, when a fault last began or ended.
    disturbed_at: dict[str, float] = field(default_factory=dict)
    # By VM, when each fault began and ended.
    disturbances: dict[str, list[float]] = field(default_factory=dict)
    # When a control was disturbed, and whether a majority was undisturbed from then on.
    core_states: list[tuple[float, bool]] = field(default_factory=list)
    # By entry, when requests ran by the own route of a version in the lifetime of its process.
    used_versions: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    # Number of times at which the soak stood still.
    stalls: int = 0
    # The ``AccountChecks`` of a run whose document has accounts.
    accounts: Any = None
    violations: list[str] = field(default_factory=list)

    def report_violation(self, guarantee: str, description: str) -> None:
        """Add a violation of a guarantee, whose name comes first in the text."""
        self.violations.append(f"{guarantee}: {description}")

    def is_undisturbed(self, vm: str, since: float) -> bool:
        """Return whether no fault of a VM began or ended at or after a time."""
        return self.disturbed_at.get(vm, float("-inf")) < since

    def record_disturbance(self, now: float, vm: str) -> None:
        """Record that a fault of a VM begins or ends."""
        self.disturbed_at[vm] = now
        self.disturbances.setdefault(vm, []).append(now)
        self.used_versions.pop(vm, None)

    def record_core(self, now: float, has_majority: bool) -> None:
        """Record that a control's fault begins or ends."""
        self.core_states.append((now, has_majority))

    def record_stall(self, since: float, until: float, has_majority: bool) -> None:
        """Record that all messages between processes were held up between two times."""
        self.stalls += 1
        self.record_core(since, has_majority=False)
        self.record_core(until, has_majority)

    def has_majority(self, since: float, until: float) -> bool:
        """Return whether a majority of controls was undisturbed all the time between two times."""
        before = [state for at, state in self.core_states if at < since][-1:]
        return all([*before, *(state for at, state in self.core_states if since <= at <= until)])

    def is_core_stable(self, since: float, until: float) -> bool:
        """Return whether no control was disturbed between two times, and a majority runs."""
        is_calm = not any(since <= at <= until for at, _ in self.core_states)
        return is_calm and self.has_majority(since, until)

    def was_undisturbed(self, vm: str, since: float, until: float) -> bool:
        """Return whether no fault of a VM was under way between two times.

        Each fault is recorded at its begin and at its end.
        """
        times = self.disturbances.get(vm, [])
        is_under_way = sum(at < since for at in times) % 2 == 1
        return not is_under_way and not any(since <= at <= until for at in times)

    def is_due(
        self, vm: str, at: float, since: float, until: float, seconds: float = APPLY_SECONDS
    ) -> bool:
        """Return whether a VM has to use a version that was acknowledged at a time.

        It has to from ``seconds`` later on for whatever it does between two times, or later while
        controls are disturbed; a VM that was disturbed itself does not.
        """
        stable_since = since - STABLE_SECONDS
        is_late = at + APPLY_SECONDS + OUTER_SECONDS < since
        has_majority = is_late and self.has_majority(min(at, stable_since), until)
        is_stable = has_majority or self.is_core_stable(stable_since, until)
        return at + seconds < since and is_stable and self.was_undisturbed(vm, stable_since, until)

    def record_limit(self, now: float, target: str, limit: float | None) -> None:
        """Record that a target begins to name a limit, changes it, or names none any more."""
        if limit is None:
            self.limits.pop(target, None)
        elif target in self.limits:
            self.limits[target].changes.append((now, limit))
        else:
            self.limits[target] = LimitPeriod([(now, limit)])

    def record_told(self, now: float, target: str, entry: str) -> None:
        """Record that an entry passed on a response that names a target's limit."""
        if target in self.limits:
            self.limits[target].told_at.setdefault(entry, now)

    def record_departure(self, now: float, target: str, entry: str) -> None:
        """Record that an entry passed on a response that says that a target leaves."""
        self.departure_told_at.setdefault((target, entry), now)

    def record_arrival(self, now: float, target: str, request_id: str) -> None:
        """Record that a request reached a target, and check the limit that the target names."""
        period, sent = self.limits.get(target), self.sent.get(request_id)
        if period is None or sent is None:
            return
        was_told = now - period.told_at.get(sent.entry, float("inf")) >= TOLD_SECONDS
        is_settled = now - period.changes[0][0] >= LIMIT_SETTLE_SECONDS
        if not (
            was_told and is_settled and self.is_undisturbed(sent.entry, now - LIMIT_SETTLE_SECONDS)
        ):
            return
        period.arrivals.append(now)
        got = sum(now - at < LIMIT_WINDOW_SECONDS for at in period.arrivals)
        # A limit that changed counts on for the time that entries have to learn of a new one.
        limit = period.get_highest_limit(now - LIMIT_WINDOW_SECONDS - LIMIT_SETTLE_SECONDS)
        allowed = LIMIT_FACTOR * limit * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        if got > allowed:
            self.report_violation(
                "limit",
                f"{target}, which names {limit:g} requests/s, got {got} in "
                f"{LIMIT_WINDOW_SECONDS:g} s from entries that it had told; allowed {allowed:g}",
            )

    def record_execution(
        self, now: float, request_id: str, execution: Execution, body: bytes
    ) -> None:
        """Record that a target runs a request, and check that it may."""
        sent = self.sent.get(request_id)
        if sent is None or sent.body != body:
            self.report_violation(
                "unasked",
                f"{execution.target} ran {request_id} with body {body!r}, which was not sent",
            )
            return
        executions = self.executions.setdefault(request_id, [])
        executions.append(execution)
        if not sent.is_safe and len(executions) > 1:
            targets = ", ".join(item.target for item in executions)
            self.report_violation("twice", f"order {request_id} ran more than once, on {targets}")
        if sent.status in NOT_RUN:
            self.report_violation(
                "refused", f"{request_id} ran after its caller received {sent.status}"
            )
        drain_acknowledged_at = self.drain_acknowledged_at.get(execution.target)
        if (
            drain_acknowledged_at is not None
            and sent.sent_at > drain_acknowledged_at + DRAIN_SECONDS
        ):
            elapsed = now - drain_acknowledged_at
            self.report_violation(
                "drain",
                f"{request_id} by {sent.entry} ran on {execution.target} "
                f"{elapsed:.2f} s after its drain",
            )

        told_at = self.departure_told_at.get((execution.target, sent.entry), float("inf"))
        is_late = sent.sent_at > told_at + DRAIN_SECONDS
        if is_late and self.was_undisturbed(sent.entry, told_at, now):
            self.report_violation(
                "drain",
                f"{request_id} by {sent.entry} ran on {execution.target} {now - told_at:.2f} s "
                "after it had passed on that the target leaves",
            )

    def record_response(
        self, now: float, sent: SentRequest, status: int, stamp: str, body: bytes
    ) -> None:
        """Record the response to a request, and check that it belongs to an execution of it."""
        sent.status, sent.ended_at = status, now
        executions = self.executions.get(sent.request_id, [])
        if sent.version and (status == 404 or 200 <= status < 300):
            self._check_version_route(now, sent, is_found=status != 404)
        if 200 <= status < 300:
            is_own_response = any(execution.stamp == stamp for execution in executions)
            if not is_own_response or body != sent.request_id.encode():
                self.report_violation(
                    "mixed", f"{sent.request_id} received {body!r} with stamp {stamp!r}"
                )
        elif executions and status in (NOT_ATTEMPTED if sent.is_safe else NOT_RUN):
            self.report_violation(
                "refused", f"{sent.request_id} ran on {executions[0].target} and received {status}"
            )

    def _check_version_route(self, now: float, sent: SentRequest, *, is_found: bool) -> None:
        """Check that an entry handled a request by no older version than it has to use."""
        required = [
            (version, f"used version {version} before")
            for at, version in self.used_versions.get(sent.entry, [])
            if at + STALE_READ_SECONDS < sent.sent_at
        ]
        required += [
            (version, f"version {version} was acknowledged {sent.sent_at - at:.2f} s before")
            for at, version in self.acknowledged_versions
            if self.is_due(sent.entry, at, sent.sent_at, now)
        ]
        if is_found:
            self.used_versions.setdefault(sent.entry, []).append((now, sent.version))
        newest, reason = max(required, default=(0, ""))
        # A version that was sent may apply, and drop this route, before it is acknowledged.
        is_refused = not is_found and sent.version == newest == max(self.documents, default=0)
        if is_refused or (is_found and sent.version < newest):
            action = "refused" if is_refused else "used"
            self.report_violation(
                "config",
                f"{sent.entry} {action} the route of version {sent.version} for "
                f"{sent.request_id}, though {reason}",
            )

    def record_read(self, sent_at: float, version: int, content: bytes) -> None:
        """Check the version and content of a document whose read request was sent at a time."""
        due_versions = [
            number
            for acknowledged_at, number in self.acknowledged_versions
            if acknowledged_at + APPLY_SECONDS < sent_at
        ]
        if due_versions and version < max(due_versions):
            self.report_violation(
                "config", f"read version {version} after {max(due_versions)} was acknowledged"
            )
        if version in self.documents and self.documents[version] != content:
            self.report_violation(
                "config", f"version {version} differs from the document that was sent"
            )

    def check_path_cut(
        self,
        cut: list[str],
        started_at: float,
        ended_at: float,
        *,
        controls: list[str],
        others: list[str],
    ) -> None:
        """Check that callers of entries without a path to the targets were served all the same."""
        counts = {True: [0, 0], False: [0, 0]}
        for sent in self.sent.values():
            if sent.ended_at is None or sent.version or sent.status in NOT_ATTEMPTED:
                continue
            since, until = sent.sent_at - STABLE_SECONDS, sent.ended_at
            sound = sum(self.was_undisturbed(vm, since, until) for vm in controls)
            is_counted = (
                started_at + STABLE_SECONDS <= sent.sent_at < ended_at
                and self.was_undisturbed(sent.entry, since, until)
                and sound > len(controls) / 2
                and any(self.was_undisturbed(vm, since, until) for vm in others)
            )
            if is_counted:
                served_and_all = counts[sent.entry in cut]
                served_and_all[0] += 200 <= sent.status < 300
                served_and_all[1] += 1
        (cut_served, at_cut), (other_served, at_others) = counts[True], counts[False]
        allowed = PATH_FAILURES + (at_cut + at_others) / PATH_FAILURE_DIVISOR
        # The shares are compared as products, since there may be no request at either.
        is_served_less = cut_served * at_others < PATH_SHARE * other_served * at_cut
        if is_served_less and at_cut - cut_served > allowed:
            self.report_violation(
                "path",
                f"entries without a path to the targets served {cut_served} of {at_cut} requests, "
                f"the others {other_served} of {at_others}",
            )

    def count_outcomes(self) -> dict[str, int]:
        """Return the number of requests by status; ``closed`` stands for no response."""
        counts: dict[str, int] = {}
        for sent in self.sent.values():
            name = "open" if sent.status is None else str(sent.status or "closed")
            counts[name] = counts.get(name, 0) + 1
        return counts
