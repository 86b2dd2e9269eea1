"""Detection of targets that answer much slower than the others of their service."""

from __future__ import annotations

from math import inf

from kingcupusher._routing.view import TargetView

GAIN = 0.1
TRIAL_GAIN = 0.5
"""Weight of a response of a slow target: there are few, so two or three good ones must be enough.

With 0.7, a single short request brought back a target that was still ten times slower.
"""
SLOW_FACTOR = 5.0
"""A target is slow above this multiple of the median target's average response time.

With 3, chance alone set targets aside at highly variable service times (gamma shape 0.5).
"""
FAILURE_FACTOR = 20.0
"""A failure counts as at least this multiple of the median, so that failing fast attracts no
requests; a target that fails one request in four is slow.
"""
TRIAL_REQUESTS = 400
"""A slow target gets one request out of this many: 0.25 % stays clear of the p99."""
MEDIAN_RESPONSES = 32
"""The median is computed once in this many responses because it needs a sort."""
INITIAL_TYPICAL_MS = 10.0


class LatencyTracker:
    """Keeps the response times of the targets of one service."""

    __slots__ = ("_responses", "_sent", "_slow_above_ms", "_views", "slow_count", "typical_ms")

    def __init__(self) -> None:
        self.typical_ms = INITIAL_TYPICAL_MS
        self.slow_count = 0
        self._slow_above_ms = inf
        self._sent = 0
        self._responses = 0
        self._views: list[TargetView] = []

    def on_sent(self, view: TargetView) -> None:
        """Count a request, which is the trial if the target is slow."""
        self._sent += 1
        if view.is_slow:
            view.next_trial = self._sent + TRIAL_REQUESTS

    def on_success(self, view: TargetView, elapsed_ms: float, load: int) -> None:
        """Note the time of a response that left ``load`` requests at the target.

        The time is scaled down by the queue, since a long queue does not make a target slow. With
        unscaled times, targets with a passing queue were set aside and the rest overloaded.
        """
        if load >= view.slots:
            elapsed_ms *= view.slots / (load + 1)
        self._note(view, elapsed_ms)

    def on_failure(self, view: TargetView, elapsed_ms: float) -> None:
        """Note a failure as a response that took long."""
        self._note(view, max(elapsed_ms, self.typical_ms * FAILURE_FACTOR))

    def track(self, views: list[TargetView]) -> None:
        """Compare the targets in ``views`` from now on."""
        self._views = views
        self.recount()

    def recount(self) -> None:
        """Count the slow targets again after a change of the list or of a view."""
        self.slow_count = sum(view.is_slow for view in self._views)

    def without_slow(self, views: list[TargetView]) -> list[TargetView]:
        """Return the targets that are not slow or due for a trial; all if there are none."""
        usable = [view for view in views if not view.is_slow or view.next_trial <= self._sent]
        return usable or views

    def _note(self, view: TargetView, time_ms: float) -> None:
        gain = TRIAL_GAIN if view.is_slow else GAIN
        view.latency_ms += (time_ms - view.latency_ms) * gain
        self._responses += 1
        if self._responses % MEDIAN_RESPONSES == 0:
            self._update_typical()
        if view.is_slow != (view.latency_ms > self._slow_above_ms):
            self._toggle(view)

    def _toggle(self, view: TargetView) -> None:
        view.is_slow = not view.is_slow
        view.next_trial = self._sent + TRIAL_REQUESTS
        self.recount()

    def _update_typical(self) -> None:
        known = sorted(view.latency_ms for view in self._views if view.latency_ms > 0.0)
        if not known:
            return
        self.typical_ms = known[(len(known) - 1) // 2]
        self._slow_above_ms = self.typical_ms * SLOW_FACTOR
