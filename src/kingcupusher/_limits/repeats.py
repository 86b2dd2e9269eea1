"""Bound on repeats that holds in each sliding window, summed over all entries."""

from __future__ import annotations

from collections import deque

USED_SHARE = 0.95
"""Part of the bound that is used, so that the sum holds although repeats take time to arrive."""


class RepeatBudget:
    """Allows repeats up to a share of the requests of a sliding window plus a fixed number.

    ``slack`` is this entry's part of the number that all entries share.
    """

    __slots__ = ("_ratio", "_repeats_ms", "_requests_ms", "_window_ms")

    def __init__(self, *, ratio: float, window_ms: float) -> None:
        self._ratio = ratio
        self._window_ms = window_ms
        self._requests_ms: deque[float] = deque()
        self._repeats_ms: deque[float] = deque()

    def on_request(self, *, now_ms: float) -> None:
        """Count a request that is sent for the first time."""
        self._requests_ms.append(now_ms)
        self._trim(now_ms)

    def left(self, *, slack: float, now_ms: float) -> float:
        """Return how many repeats may be sent now."""
        self._trim(now_ms)
        allowed = self._ratio * len(self._requests_ms) + slack
        return USED_SHARE * allowed - len(self._repeats_ms)

    def try_spend(self, *, slack: float, now_ms: float) -> bool:
        """Count a repeat and return True if there is room for one."""
        if self.left(slack=slack, now_ms=now_ms) < 1.0:
            return False
        self._repeats_ms.append(now_ms)
        return True

    def give_back(self) -> None:
        """Take back the newest repeat, which was not sent."""
        if self._repeats_ms:
            self._repeats_ms.pop()

    def _trim(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._window_ms
        for times in (self._requests_ms, self._repeats_ms):
            while times and times[0] <= oldest_ms:
                times.popleft()
