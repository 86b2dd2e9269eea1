"""Retry budget that holds in each sliding window, summed over all entries."""

from __future__ import annotations

from collections import deque

USED_SHARE = 0.95
"""Used part of the budget; the margin covers retries that are still on their way to targets."""


class WindowedRetryBudget:
    """Allows retries up to ``ratio`` of the requests in a sliding window plus a fixed number.

    Hedged requests count as retries. ``slack`` is this entry's share of the fixed number.
    """

    __slots__ = ("_ratio", "_retries_ms", "_requests_ms", "_window_ms")

    def __init__(self, *, ratio: float, window_ms: float) -> None:
        self._ratio = ratio
        self._window_ms = window_ms
        self._requests_ms: deque[float] = deque()
        self._retries_ms: deque[float] = deque()

    def on_request(self, *, now_ms: float) -> None:
        """Count the first attempt of a request."""
        self._requests_ms.append(now_ms)
        self._trim(now_ms)

    def remaining(self, *, slack: float, now_ms: float) -> float:
        """Return how many retries may be sent now."""
        self._trim(now_ms)
        allowed = self._ratio * len(self._requests_ms) + slack
        return USED_SHARE * allowed - len(self._retries_ms)

    def try_spend(self, *, slack: float, now_ms: float) -> bool:
        """Count a retry and return True if the budget has room for it."""
        if self.remaining(slack=slack, now_ms=now_ms) < 1.0:
            return False
        self._retries_ms.append(now_ms)
        return True

    def refund(self) -> None:
        """Remove the newest retry from the count because it was not sent."""
        if self._retries_ms:
            self._retries_ms.pop()

    def _trim(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._window_ms
        for times in (self._requests_ms, self._retries_ms):
            while times and times[0] <= oldest_ms:
                times.popleft()
