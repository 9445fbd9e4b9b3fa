"""Metrics of a process."""

from ..utils import LazyModule

# Imported lazily to shorten the start of a process, as only requests for metrics need it.
aioprometheus = LazyModule("aioprometheus")
MAXIMUM_BUFFERED_VALUES = 2000
Labels = tuple[tuple[str, str], ...]
LATENCY_BUCKETS_SECONDS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0]


class Metrics:
    """The metrics of one process.

    Counts and histogram values are buffered, so that they cost little while a request is served,
    and passed to the metrics library when metrics are rendered or the buffer is full.
    """

    def __init__(self):
        self._registry = None
        self._metrics: dict[str, object] = {}
        self._counts: dict[tuple[str, Labels], int] = {}
        self._values: dict[tuple[str, Labels], list[float]] = {}

    def count(self, name: str, *labels: tuple[str, str], value: int = 1) -> None:
        """Increase a counter by ``value``."""
        key = (name, labels)
        self._counts[key] = self._counts.get(key, 0) + value

    def observe(self, name: str, value: float, *labels: tuple[str, str]) -> None:
        """Add a duration in seconds to a histogram."""
        values = self._values.setdefault((name, labels), [])
        values.append(value)
        if len(values) >= MAXIMUM_BUFFERED_VALUES:
            self._flush_values()

    def set(self, name: str, value: float, *labels: tuple[str, str]) -> None:
        """Set a gauge."""
        self._get_or_create("Gauge", name).set(dict(labels), value)

    def render(self, accepted: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return all metrics as text, and the HTTP headers of that text.

        Parameters
        ----------
        accepted : list of str
            Values of the request's ``Accept`` headers, which select the text format.
        """
        for (name, labels), value in self._counts.items():
            self._get_or_create("Counter", name).add(dict(labels), value)
        self._counts = {}
        self._flush_values()
        return aioprometheus.render(self._get_registry(), accepted)

    def _flush_values(self) -> None:
        for (name, labels), values in self._values.items():
            histogram = self._get_or_create("Histogram", name)
            for value in values:
                histogram.observe(dict(labels), value)
        self._values = {}

    def _get_registry(self):
        if self._registry is None:
            self._registry = aioprometheus.Registry()
        return self._registry

    def _get_or_create(self, kind: str, name: str):
        if name not in self._metrics:
            options = {"buckets": LATENCY_BUCKETS_SECONDS} if kind == "Histogram" else {}
            description = name.replace("_", " ")
            full_name = f"tarragonshelf_{name}"
            create = getattr(aioprometheus, kind)
            self._metrics[name] = create(
                full_name, description, registry=self._get_registry(), **options
            )
        return self._metrics[name]
