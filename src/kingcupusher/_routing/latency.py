"""Outlier detection: finds targets that are much slower than the others of their service."""

from __future__ import annotations

from math import inf

from kingcupusher._routing.view import TargetView

EWMA_WEIGHT = 0.1
SLOW_EWMA_WEIGHT = 0.5
"""Weight of a response of a slow target, which gets few requests: two or three must be enough.

With 0.7, a single short request restored a target that was still ten times slower.
"""
SLOW_FACTOR = 5.0
"""A target is slow above this multiple of the median target's average response time.

With 3, random variation marked targets as slow at a gamma shape of service times of 0.5.
"""
FAILURE_FACTOR = 20.0
"""A failure counts as at least this multiple of the median response time, so that failing fast
attracts no requests; a target that fails one request in four is slow.
"""
TRIAL_INTERVAL_REQUESTS = 400
"""A slow target gets one trial request in this many: 0.25 % does not affect the p99."""
MEDIAN_INTERVAL_RESPONSES = 32
"""The median is updated once in this many responses because it needs a sort."""
INITIAL_MEDIAN_MS = 10.0


class LatencyTracker:
    """Tracks the response times of the targets of one service."""

    __slots__ = ("_responses", "_sent", "_slow_above_ms", "_views", "slow_count", "median_ms")

    def __init__(self) -> None:
        self.median_ms = INITIAL_MEDIAN_MS
        self.slow_count = 0
        self._slow_above_ms = inf
        self._sent = 0
        self._responses = 0
        self._views: list[TargetView] = []

    def on_sent(self, view: TargetView) -> None:
        """Count a request; for a slow target it is the trial request."""
        self._sent += 1
        if view.is_slow:
            view.next_trial = self._sent + TRIAL_INTERVAL_REQUESTS

    def on_success(self, view: TargetView, elapsed_ms: float, load: int) -> None:
        """Record the time of a response after which ``load`` requests remain at the target.

        The time is scaled down by the queue, since a long queue does not make a target slow. With
        unscaled times, targets with a brief queue were marked slow and the others overloaded.
        """
        if load >= view.slots:
            elapsed_ms *= view.slots / (load + 1)
        self._record_time(view, elapsed_ms)

    def on_failure(self, view: TargetView, elapsed_ms: float) -> None:
        """Record a failure as a slow response."""
        self._record_time(view, max(elapsed_ms, self.median_ms * FAILURE_FACTOR))

    def set_views(self, views: list[TargetView]) -> None:
        """Replace the targets that are compared."""
        self._views = views
        self.update_slow_count()

    def update_slow_count(self) -> None:
        """Update ``slow_count`` after a change of the list or of a view."""
        self.slow_count = sum(view.is_slow for view in self._views)

    def exclude_slow(self, views: list[TargetView]) -> list[TargetView]:
        """Return the targets that are not slow or are due for a trial; all if there are none."""
        usable = [view for view in views if not view.is_slow or view.next_trial <= self._sent]
        return usable or views

    def _record_time(self, view: TargetView, time_ms: float) -> None:
        gain = SLOW_EWMA_WEIGHT if view.is_slow else EWMA_WEIGHT
        view.latency_ms += (time_ms - view.latency_ms) * gain
        self._responses += 1
        if self._responses % MEDIAN_INTERVAL_RESPONSES == 0:
            self._update_median()
        if view.is_slow != (view.latency_ms > self._slow_above_ms):
            self._toggle_slow(view)

    def _toggle_slow(self, view: TargetView) -> None:
        view.is_slow = not view.is_slow
        view.next_trial = self._sent + TRIAL_INTERVAL_REQUESTS
        self.update_slow_count()

    def _update_median(self) -> None:
        known = sorted(view.latency_ms for view in self._views if view.latency_ms > 0.0)
        if not known:
            return
        self.median_ms = known[(len(known) - 1) // 2]
        self._slow_above_ms = self.median_ms * SLOW_FACTOR
