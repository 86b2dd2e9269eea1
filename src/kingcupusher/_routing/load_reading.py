"""What a target said of its load a moment ago, and the response time expected from it."""

from __future__ import annotations

from msgspec import Struct

NORMAL_SLOWNESS_PERCENT = 100
CROWDED_SHARE = 0.8
"""Share of busy slots above which targets work more slowly."""
CROWDED_FACTOR = 1.7


class LoadReading(Struct, frozen=True, kw_only=True):
    """Load of a target at ``read_ms``.

    ``slowness_percent`` is how long work takes on its machine now, 100 as usual; targets share
    their machines, so it changes many times a second. ``cold_left_ms`` is 0 for a warm target.
    """

    running: int
    waiting: int
    slots: int
    slowness_percent: int
    cold_left_ms: float
    is_healthy: bool
    read_ms: float

    @property
    def is_cold(self) -> bool:
        """Whether the target bears only few requests."""
        return self.cold_left_ms > 0.0

    @property
    def is_crowded(self) -> bool:
        """Whether one more request would have to wait."""
        return self.running + self.waiting >= self.slots


def expected_slowness(reading: LoadReading) -> float:
    """Return the factor by which a request sent now is expected to last longer than usual."""
    slots = max(1, reading.slots)
    busy = reading.running + reading.waiting + 1
    factor = reading.slowness_percent / NORMAL_SLOWNESS_PERCENT
    if busy > CROWDED_SHARE * slots:
        factor *= CROWDED_FACTOR
    queued = max(0, busy - slots)
    return factor * (1.0 + queued / slots)
