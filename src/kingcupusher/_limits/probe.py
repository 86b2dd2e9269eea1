"""Rate limit for the probes of one target."""

from __future__ import annotations

from math import inf

from kingcupusher._limits.errors import LimitsError


class ProbeBudget:
    """Spaces the probes of one target at least ``1 / probes_per_s`` seconds apart.

    It starts empty: the first probe is allowed one interval after ``start_ms``. The previous
    coordinator has stopped by then, so no window contains more probes than one may send.
    """

    __slots__ = ("_interval_ms", "_next_ms")

    def __init__(self, probes_per_s: float, *, start_ms: float) -> None:
        if probes_per_s < 0:
            raise LimitsError(f"{probes_per_s} probes per second is negative; use 0 or more")
        self._interval_ms = 1000.0 / probes_per_s if probes_per_s else inf
        self._next_ms = start_ms + self._interval_ms

    def try_take(self, *, now_ms: float) -> bool:
        """Count a probe and return True if one may be sent now."""
        if now_ms < self._next_ms:
            return False
        self._next_ms = now_ms + self._interval_ms
        return True
