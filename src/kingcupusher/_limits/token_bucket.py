"""Token bucket: limits an average rate and allows short bursts."""

from __future__ import annotations


class TokenBucket:
    """Holds up to ``burst`` tokens and refills at ``per_s`` tokens a second; it starts full."""

    __slots__ = ("_burst", "_per_ms", "_refilled_ms", "_tokens")

    def __init__(self, *, per_s: float, burst: float, now_ms: float) -> None:
        self._per_ms = per_s / 1000.0
        self._burst = burst
        self._tokens = burst
        self._refilled_ms = now_ms

    def set_rate(self, *, per_s: float, burst: float) -> None:
        """Change the rate; the next refill discards tokens above the new burst."""
        self._per_ms = per_s / 1000.0
        self._burst = burst

    def has_token(self, *, now_ms: float) -> bool:
        """Return whether a token could be taken now."""
        earned = max(0.0, now_ms - self._refilled_ms) * self._per_ms
        self._tokens = min(self._burst, self._tokens + earned)
        self._refilled_ms = now_ms
        return self._tokens >= 1.0

    def saved_share(self, *, now_ms: float) -> float:
        """Return how full the bucket is, from 0 to 1."""
        self.has_token(now_ms=now_ms)
        return self._tokens / self._burst

    def try_take(self, *, now_ms: float) -> bool:
        """Take a token; return False if there is none."""
        if not self.has_token(now_ms=now_ms):
            return False
        self._tokens -= 1.0
        return True
