"""Counters and latency histograms of a process, rendered when somebody asks for them.

aioprometheus costs 8 MB resident, so it is imported at the first request for the metrics; the
counts until then are kept in plain numbers, and the last latencies in a bounded list.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any

Labels = tuple[tuple[str, str], ...]

MAX_PENDING = 4_096
BUCKETS_MS = (5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0)
PREFIX = "kingcupusher_"
TEXTS = {
    "requests_total": "Requests by service, status and cause.",
    "sends_total": "Sends to targets by service and outcome.",
    "questions_total": "Questions to targets about their load.",
    "waits_total": "Requests that waited for a place, by service and whether they got one.",
    "events_total": "Changes of what the process believes, by event.",
    "store_calls_total": "Calls to the store.",
    "routes_version": "Version of the routes in force.",
    "news_age_ms": "Time since the store's news were last confirmed.",
    "targets": "Targets by service and whether they may get work.",
    "zones_out": "Zones that are taken out.",
    "repeats_left": "Repeats that the budget of a service has left.",
    "entries": "Entries that are known.",
    "is_reader": "Whether this entry follows the store for others.",
    "is_ready": "Whether the balancer should send connections here.",
    "log_lines_dropped_total": "Log lines that the reader of the log did not take.",
    "request_ms": "Time from a request's first byte to its response.",
    "send_ms": "Time from a send to its end.",
}


def labels(**values: str) -> Labels:
    """Return label values as a key, in a fixed order."""
    return tuple(sorted(values.items()))


class Metrics:
    """Counts events and latencies; gauges are read from the process when rendered."""

    __slots__ = ("_counts", "_gauges", "_histograms", "_pending", "pending_dropped")

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, Labels]] = Counter()
        self._gauges: list[Callable[[], dict[tuple[str, Labels], float]]] = []
        self._pending: deque[tuple[str, Labels, float]] = deque(maxlen=MAX_PENDING)
        self._histograms: dict[str, Any] | None = None
        self.pending_dropped = 0

    def count(self, name: str, key: Labels = (), *, by: int = 1) -> None:
        """Add to the counter ``name``."""
        self._counts[name, key] += by

    def observe_ms(self, name: str, key: Labels, value_ms: float) -> None:
        """Add a latency to the histogram ``name``."""
        if self._histograms is not None:
            self._histograms[name].observe(dict(key), value_ms)
            return
        if len(self._pending) == MAX_PENDING:
            self.pending_dropped += 1
        self._pending.append((name, key, value_ms))

    def add_gauges(self, read: Callable[[], dict[tuple[str, Labels], float]]) -> None:
        """Call ``read`` for current values whenever the metrics are rendered."""
        self._gauges.append(read)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from aioprometheus.collectors import Counter as Count
        from aioprometheus.collectors import Gauge, Registry
        from aioprometheus.renderer import render

        registry = Registry()
        for histogram in self._latencies().values():
            registry.register(histogram)
        collectors: dict[str, Any] = {}
        for (name, key), value in self._counts.items():
            collector = collectors.get(name) or Count(PREFIX + name, TEXTS[name], registry=registry)
            collectors[name] = collector
            collector.set(dict(key), value)
        for read in self._gauges:
            for (name, key), current in read().items():
                gauge = collectors.get(name) or Gauge(PREFIX + name, TEXTS[name], registry=registry)
                collectors[name] = gauge
                gauge.set(dict(key), current)
        content, _headers = render(registry, ["text/plain"])
        return bytes(content)

    def _latencies(self) -> dict[str, Any]:
        if self._histograms is None:
            from aioprometheus.collectors import Histogram, Registry

            own = Registry()
            self._histograms = {
                name: Histogram(PREFIX + name, TEXTS[name], buckets=list(BUCKETS_MS), registry=own)
                for name in ("request_ms", "send_ms")
            }
            for name, key, value_ms in self._pending:
                self._histograms[name].observe(dict(key), value_ms)
            self._pending.clear()
        return self._histograms
