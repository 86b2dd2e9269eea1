"""When a response is overdue: a recent high percentile of a route's relative response times."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from math import ceil, inf

WINDOW_SAMPLES = 128
MIN_SAMPLES = 20
"""With fewer samples, the 95th percentile would be the slowest response that was seen."""
EARLIEST_QUANTILE = 0.90
"""Hedges that are sent earlier would use up the limit before the slowest responses need it."""
LATEST_QUANTILE = 0.95
MIN_DELAY_FACTOR = 1.5
"""Keeps jitter of a route with nearly equal response times from causing hedges."""
HEDGE_TIME_MARGIN = 1.15
"""Time for the probe, and for a response somewhat slower than the typical one."""
SUSPECT_FACTOR = 2.5
"""A target that takes longer than this multiple of the expected time may have lost the response."""
SLOW_SERVICE_SHARE = 0.25
"""At most 0.1 of the responses are overdue at an unchanged speed."""
OVERDUE_WEIGHT = 0.05


class RelativeTimes:
    """Recent response times of a route, as multiples of what was expected of the target.

    A response that was not awaited counts with the time until it was given up. That is above the
    percentiles used here, so leaving it out would lower them.
    """

    __slots__ = ("_recent", "_sorted")

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, ratio: float) -> None:
        """Record the time of one response, and drop the oldest of a full window."""
        if len(self._recent) == WINDOW_SAMPLES:
            del self._sorted[bisect_left(self._sorted, self._recent.popleft())]
        self._recent.append(ratio)
        insort(self._sorted, ratio)

    @property
    def has_enough_samples(self) -> bool:
        """Whether percentiles may be read."""
        return len(self._sorted) >= MIN_SAMPLES

    def quantile(self, share: float) -> float:
        """Return the smallest recorded value that ``share`` of the values do not exceed."""
        return self._sorted[ceil(share * len(self._sorted)) - 1]

    def hedge_delay_ms(
        self, *, expected_ms: float, typical_ms: float, until_objective_ms: float
    ) -> float:
        """Return after which time a response is overdue; ``inf`` before there are enough samples.

        A hedge sent at the 95th percentile may miss the latency objective. It is then sent earlier,
        down to the 90th percentile, if a typical response to it still meets the objective.
        """
        if not self.has_enough_samples:
            return inf
        latest_ms = max(MIN_DELAY_FACTOR, self.quantile(LATEST_QUANTILE)) * expected_ms
        earliest_ms = max(MIN_DELAY_FACTOR, self.quantile(EARLIEST_QUANTILE)) * expected_ms
        useful_ms = until_objective_ms - typical_ms * HEDGE_TIME_MARGIN
        return (
            min(latest_ms, max(earliest_ms, useful_ms)) if useful_ms >= earliest_ms else latest_ms
        )


class OverdueShare:
    """Moving average of the share of a service's responses that are overdue."""

    __slots__ = ("share",)

    def __init__(self) -> None:
        self.share = 0.0

    def record(self, *, is_overdue: bool) -> None:
        """Record whether the hedge was due before the response came."""
        self.share += (is_overdue - self.share) * OVERDUE_WEIGHT

    @property
    def is_service_slow(self) -> bool:
        """Whether so many responses are overdue that hedges would only add load."""
        return self.share > SLOW_SERVICE_SHARE


def can_help(*, typical_ms: float, remaining_ms: float) -> bool:
    """Return whether a typical response to a hedge sent now comes before the deadline."""
    return typical_ms * HEDGE_TIME_MARGIN < remaining_ms
