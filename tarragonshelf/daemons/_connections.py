"""Limits on the connections of a process, from its settings or from those of its machine."""

import os
import resource
from collections.abc import Callable

from ..buffering import BufferBudget, compute_limits
from ..catalogue import CallerLimits
from ..serving import CallerConnections, read_resident_bytes
from ..settings import ControlSettings, EntrySettings
from ..telemetry import Metrics

BYTES_PER_MB = 1_000_000
# Time for the head of a request.
HEADER_SECONDS = 10.0
# Time without a byte after which a body is given up.
IDLE_SECONDS = 15.0
# Connections that exceed a time-out are closed at this interval.
CHECK_SECONDS = 1.0


def get_maximum_descriptors(settings: ControlSettings | EntrySettings) -> int | None:
    """Return how many descriptors a process may open, or None if there is no limit."""
    if settings.maximum_descriptors is not None:
        return settings.maximum_descriptors
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if limit == resource.RLIM_INFINITY else limit


def create_connections(
    settings: ControlSettings | EntrySettings, *, report: Callable[..., None], metrics: Metrics
) -> CallerConnections:
    """Return the connections of all HTTP servers of a process.

    Without settings the memory of the machine and the limit on descriptors of the process apply.
    """
    if settings.memory_mb is not None:
        memory_bytes = settings.memory_mb * BYTES_PER_MB
    else:
        memory_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    limits = compute_limits(memory_bytes, read_resident_bytes(), get_maximum_descriptors(settings))
    caller_limits = CallerLimits(header_seconds=HEADER_SECONDS, idle_seconds=IDLE_SECONDS)
    connections = CallerConnections(
        BufferBudget(limits), lambda: caller_limits, report=report, metrics=metrics
    )
    connections.update_limits(limits)
    return connections
