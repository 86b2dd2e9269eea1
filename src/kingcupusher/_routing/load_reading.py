"""Load that a target reported, and the response time expected from it."""

from __future__ import annotations

from msgspec import Struct

NORMAL_SLOWNESS_PERCENT = 100
CONTENTION_SHARE = 0.8
"""Share of busy slots above which contention slows a target down."""
CONTENTION_FACTOR = 1.7


class LoadReading(Struct, frozen=True, kw_only=True):
    """Load of a target at ``read_ms``.

    ``slowness_percent`` is the processing time relative to the usual one, which is 100; targets
    share machines, so it changes many times a second. ``cold_left_ms`` is 0 for a warm target.
    ``max_requests_per_s`` is the rate that the target accepts from all entries together, None
    if it states none.
    """

    running: int
    waiting: int
    slots: int
    slowness_percent: int
    cold_left_ms: float
    is_healthy: bool
    read_ms: float
    max_requests_per_s: float | None = None

    @property
    def is_cold(self) -> bool:
        """Whether the target is in cold start and can take only few requests."""
        return self.cold_left_ms > 0.0

    @property
    def is_saturated(self) -> bool:
        """Whether one more request would wait for a slot."""
        return self.running + self.waiting >= self.slots


def expected_slowness(reading: LoadReading) -> float:
    """Return the expected response time of a request sent now as a multiple of the usual one."""
    slots = max(1, reading.slots)
    busy = reading.running + reading.waiting + 1
    factor = reading.slowness_percent / NORMAL_SLOWNESS_PERCENT
    if busy > CONTENTION_SHARE * slots:
        factor *= CONTENTION_FACTOR
    queued = max(0, busy - slots)
    return factor * (1.0 + queued / slots)
