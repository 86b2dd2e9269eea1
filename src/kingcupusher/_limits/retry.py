"""Retry budget that limits the load added by retries."""

from __future__ import annotations

from kingcupusher._limits.errors import LimitsError


class RetryBudget:
    """Allows retries up to a percentage of the requests plus a small floor per second.

    In any window, the retries are at most ``percent`` of its requests plus ``floor_per_s`` times
    its length, plus the credit saved before it: one second of the floor, but at least ``burst``
    retries, since a target that dies fails all its requests at once.
    """

    __slots__ = ("_floor_per_ms", "_max_credit", "_per_request", "_credit", "_updated_ms")

    def __init__(self, *, percent: float, floor_per_s: float, burst: int = 1) -> None:
        if percent < 0 or floor_per_s < 0:
            raise LimitsError(
                f"retry budget of {percent} % and {floor_per_s}/s is negative; use 0 or more"
            )
        self._per_request = percent / 100.0
        self._floor_per_ms = floor_per_s / 1000.0
        self._max_credit = max(float(burst), floor_per_s)
        self._credit = self._max_credit if floor_per_s else 0.0
        self._updated_ms: float | None = None

    def on_request(self, *, now_ms: float) -> None:
        """Count a first attempt; credit above the maximum lapses at the next later instant."""
        self._refill(now_ms)
        self._credit += self._per_request

    def try_spend(self, *, now_ms: float) -> bool:
        """Count a retry and return True if the budget has room for it."""
        self._refill(now_ms)
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _refill(self, now_ms: float) -> None:
        if self._updated_ms is not None and now_ms > self._updated_ms:
            earned = (now_ms - self._updated_ms) * self._floor_per_ms
            self._credit = min(self._max_credit, self._credit + earned)
        self._updated_ms = now_ms if self._updated_ms is None else max(now_ms, self._updated_ms)
