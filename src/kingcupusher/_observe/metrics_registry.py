"""Counters and latency histograms of a process, rendered on request.

aioprometheus takes 8 MB of resident memory, so it is imported at the first request for the
metrics. Until then, counters are kept as plain numbers and the last latencies in a bounded queue.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any

Labels = tuple[tuple[str, str], ...]

MAX_PENDING_LATENCIES = 4_096
BUCKETS_MS = (5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0)
NAME_PREFIX = "kingcupusher_"
HELP_TEXTS = {
    "requests_total": "Requests by service, status and cause.",
    "customer_requests_total": "Requests by customer and status.",
    "quota_refusals_total": "Requests refused by the quota of their customer.",
    "quota_tokens_granted_total": "Tokens of customers that this entry granted as the lead.",
    "quota_own_tokens_total": "Requests served from the entry's own share, without the lead.",
    "quota_calls_total": "Calls to the lead about quotas, by whether they were answered.",
    "quota_level": "Tokens left in the quota of a customer, at the lead only.",
    "sends_total": "Sends to targets by service and outcome.",
    "hedges_total": "Hedged requests by service and event: sent, won, or an attempt cancelled.",
    "hedges_held_back_total": "Hedged requests held back, by service and limit.",
    "questions_total": "Questions to targets about their load.",
    "connections_closed_total": "Connections of callers that ended, by reason.",
    "waits_total": "Requests that waited for a place, by service and whether they got one.",
    "waits_refused_total": "Requests refused on arrival because a wait is in vain, by cause.",
    "waiting_requests": "Requests of a service that wait for a target.",
    "events_total": "Changes of what the process believes, by event.",
    "store_calls_total": "Calls to the store.",
    "response_memory_bytes": "Memory reserved for responses that are read or written.",
    "request_memory_bytes": "Memory reserved for requests that are read or handled.",
    "requests_evicted_total": "Incomplete requests given up because memory was used up.",
    "requests_rejected_total": "Requests rejected before they were complete, by status.",
    "caller_connections": "Open connections of callers.",
    "routes_version": "Version of the routes in force.",
    "change_history_bytes": "Recent changes that are kept for entries that lag behind.",
    "news_age_ms": "Time since the store's news were last confirmed.",
    "targets": "Targets by service and whether they may get work.",
    "requests_quarantined": "Requests that are refused because equal ones ended targets.",
    "store_restorations": "Restorations of the store from a copy, as far as the entry knows.",
    "store_revision": "Revision of the store that the entry knows.",
    "targets_announced": "Targets by service that leave or asked for a pause.",
    "targets_rate_limited": "Targets by service that state a request rate.",
    "zones_out": "Zones that are taken out.",
    "repeats_left": "Repeats that the budget of a service has left.",
    "entries": "Entries that are known.",
    "is_reader": "Whether this entry follows the store for others.",
    "is_ready": "Whether the balancer should send connections here.",
    "log_lines_dropped_total": "Log lines that the reader of the log did not take.",
    "rollout_sends_total": "Sends to targets of a service in a rollout, by version (new or old).",
    "rollouts": "Rollouts by service and phase.",
    "request_ms": "Time from a request's first byte to its response.",
    "send_ms": "Time from a send to its end.",
}


def _help_text(name: str) -> str:
    """Return the help text of a metric; one without a text must not cost the whole page."""
    return HELP_TEXTS.get(name, name)


def labels(**values: str) -> Labels:
    """Return the labels as a dictionary key, sorted by name."""
    return tuple(sorted(values.items()))


class Metrics:
    """Counters and latency histograms; gauges are read when the metrics are rendered."""

    __slots__ = (
        "_counts",
        "_gauge_readers",
        "_histograms",
        "_pending_latencies",
        "dropped_latencies",
    )

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, Labels]] = Counter()
        self._gauge_readers: list[Callable[[], dict[tuple[str, Labels], float]]] = []
        self._pending_latencies: deque[tuple[str, Labels, float]] = deque(
            maxlen=MAX_PENDING_LATENCIES
        )
        self._histograms: dict[str, Any] | None = None
        self.dropped_latencies = 0

    def count(self, name: str, key: Labels = (), *, by: int = 1) -> None:
        """Increment the counter ``name``."""
        self._counts[name, key] += by

    def observe_ms(self, name: str, key: Labels, value_ms: float) -> None:
        """Record a latency in the histogram ``name``."""
        if self._histograms is not None:
            self._histograms[name].observe(dict(key), value_ms)
            return
        if len(self._pending_latencies) == MAX_PENDING_LATENCIES:
            self.dropped_latencies += 1
        self._pending_latencies.append((name, key, value_ms))

    def add_gauges(self, read_gauges: Callable[[], dict[tuple[str, Labels], float]]) -> None:
        """Register a function that returns the current values of gauges."""
        self._gauge_readers.append(read_gauges)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from aioprometheus.collectors import Counter as Count
        from aioprometheus.collectors import Gauge, Registry
        from aioprometheus.renderer import render

        registry = Registry()
        for histogram in self._get_histograms().values():
            registry.register(histogram)
        collectors: dict[str, Any] = {}
        for (name, key), value in self._counts.items():
            collector = collectors.get(name) or Count(
                NAME_PREFIX + name, _help_text(name), registry=registry
            )
            collectors[name] = collector
            collector.set(dict(key), value)
        for read_gauges in self._gauge_readers:
            for (name, key), current in read_gauges().items():
                gauge = collectors.get(name) or Gauge(
                    NAME_PREFIX + name, _help_text(name), registry=registry
                )
                collectors[name] = gauge
                gauge.set(dict(key), current)
        content, _headers = render(registry, ["text/plain"])
        return bytes(content)

    def _get_histograms(self) -> dict[str, Any]:
        if self._histograms is None:
            from aioprometheus.collectors import Histogram, Registry

            unused_registry = Registry()
            self._histograms = {
                name: Histogram(
                    NAME_PREFIX + name,
                    _help_text(name),
                    buckets=list(BUCKETS_MS),
                    registry=unused_registry,
                )
                for name in ("request_ms", "send_ms")
            }
            for name, key, value_ms in self._pending_latencies:
                self._histograms[name].observe(dict(key), value_ms)
            self._pending_latencies.clear()
        return self._histograms
