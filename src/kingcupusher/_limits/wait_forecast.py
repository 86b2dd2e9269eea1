"""Forecast of the wait for a target from the rate at which waiting requests got one lately."""

from __future__ import annotations

from math import exp, sqrt
from random import Random

MEMORY_MS = 2_000.0
"""Evidence loses its weight in this time; an entry assigns 3 to 14 targets in it."""
MIN_ASSIGNED = 3.0
"""With fewer recent assignments there is no forecast."""
MIN_BUSY_MS = 300.0
"""A queue that existed for a shorter time says nothing; slow phases of targets last 300 ms."""
MAX_LAST_PROBE_SUCCESS_SHARE = 0.25
"""The last probe, at the end of a wait, also accepts a target of fair cost. While more than this
share of the last probes succeed, no request is refused on arrival."""
MIN_LAST_PROBES = 0.5
"""Decayed number of last probes; with fewer, no request is refused on arrival."""
DEFAULT_RETRY_AFTER_MS = 200.0
RETRY_SHARE = 0.3
"""Callers wait up to a third of the time they have left; the rest is for the way to them."""
MAX_BOOKED_MS = 5_000.0


class WaitForecast:
    """Rate at which waiting requests of one service get targets at this entry.

    Time without waiting requests does not count. A request is told to wait only by the rate that
    is certain to two standard deviations, so that the forecast errs on the side of admission.
    """

    __slots__ = (
        "_assigned",
        "_busy_ms",
        "_is_busy",
        "_last_probes",
        "_successful_last_probes",
        "_next_return_ms",
        "_rng",
        "_updated_ms",
    )

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._assigned = 0.0
        self._busy_ms = 0.0
        self._is_busy = False
        self._last_probes = 0.0
        self._successful_last_probes = 0.0
        self._updated_ms = 0.0
        self._next_return_ms = 0.0

    def on_length(self, length: int, *, now_ms: float) -> None:
        """Record that the number of waiting requests changed to ``length``."""
        self._advance(now_ms)
        self._is_busy = length > 0

    def on_assigned(self, *, now_ms: float) -> None:
        """Record that a waiting request got a target."""
        self._advance(now_ms)
        self._assigned += 1.0

    def on_wait_ended(self, *, is_served: bool, now_ms: float) -> None:
        """Record whether a request got a target of fair cost at the end of its wait."""
        self._advance(now_ms)
        self._last_probes += 1.0
        if is_served:
            self._successful_last_probes += 1.0
            self._assigned += 1.0

    def min_wait_ms(self, ahead: int, *, now_ms: float) -> float:
        """Return how long a request with ``ahead`` others before it waits at least.

        The result is 0 without recent evidence, and while enough last probes succeed. It assumes
        that all of those before the request get a target, so that it may be too long.
        """
        self._advance(now_ms)
        if not (self._has_evidence and self._has_failing_last_probes):
            return 0.0
        likely_assigned = self._assigned + 2.0 * sqrt(self._assigned) + 2.0
        return ahead * self._busy_ms / likely_assigned

    def retry_after_ms(self, ahead: int, *, left_ms: float, now_ms: float) -> float:
        """Return when a refused caller should come back, which has ``left_ms`` for its request.

        Refused callers are booked one after the other at the rate of the assignments. Times that
        no caller would wait for are replaced by random ones within its limit.
        """
        self._advance(now_ms)
        if self._has_evidence:
            interval_ms = self._busy_ms / self._assigned
            earliest_ms = max(now_ms + ahead * interval_ms, self._next_return_ms)
            earliest_ms = min(earliest_ms, now_ms + MAX_BOOKED_MS)
            self._next_return_ms = earliest_ms + interval_ms
            wait_ms = earliest_ms - now_ms + self._rng.random() * interval_ms
        else:
            wait_ms = DEFAULT_RETRY_AFTER_MS * (0.5 + self._rng.random())
        limit_ms = max(0.0, left_ms) * RETRY_SHARE
        return wait_ms if wait_ms <= limit_ms else limit_ms * (0.5 + self._rng.random() / 2.0)

    @property
    def _has_evidence(self) -> bool:
        return self._assigned >= MIN_ASSIGNED and self._busy_ms >= MIN_BUSY_MS

    @property
    def _has_failing_last_probes(self) -> bool:
        if self._last_probes < MIN_LAST_PROBES:
            return False
        return self._successful_last_probes <= self._last_probes * MAX_LAST_PROBE_SUCCESS_SHARE

    def _advance(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        kept = exp(-elapsed_ms / MEMORY_MS)
        self._assigned *= kept
        self._busy_ms *= kept
        self._last_probes *= kept
        self._successful_last_probes *= kept
        if self._is_busy:
            self._busy_ms += MEMORY_MS * (1.0 - kept)
