"""Concurrency limit of a target in cold start, summed over all entries."""

from __future__ import annotations

from typing import Protocol


class RampLimits(Protocol):
    """Fields of a service file that limit a cold start."""

    @property
    def slots(self) -> int:
        """Concurrent requests that a warm target serves."""
        ...

    @property
    def cold_concurrency(self) -> int:
        """Concurrent requests that a cold target can serve."""
        ...

    @property
    def warmup_ms(self) -> int:
        """Minimum time from the first success until the target counts as warm."""
        ...


class ColdStartRamp:
    """Raises the allowance in steps; it doubles after as many successes as it allows requests.

    A failure resets the ramp to its first step. The target is warm when a whole step has succeeded
    at the full number of slots and ``warmup_ms`` has passed since the first success.
    """

    __slots__ = ("_allowance", "_limits", "_successes", "_warm_after_ms")

    def __init__(self, limits: RampLimits) -> None:
        self._limits = limits
        self._allowance = self._first_step()
        self._successes = 0
        self._warm_after_ms: float | None = None

    def allowance(self, *, now_ms: float) -> int:  # noqa: ARG002
        """Return the number of requests that the target may have in flight."""
        return self._allowance

    def on_success(self, *, now_ms: float) -> None:
        """Record a request that the target served."""
        if self._warm_after_ms is None:
            self._warm_after_ms = now_ms + self._limits.warmup_ms
        self._successes += 1
        if self._successes >= self._allowance < self._limits.slots:
            self._allowance = min(self._allowance * 2, self._limits.slots)
            self._successes = 0

    def on_failure(self, *, now_ms: float) -> None:  # noqa: ARG002
        """Record a request that the target failed or refused."""
        self._allowance = self._first_step()
        self._successes = 0
        self._warm_after_ms = None

    def is_warm(self, *, now_ms: float) -> bool:
        """Return whether the ramp is complete, so that the target can take its full load."""
        if self._warm_after_ms is None or now_ms < self._warm_after_ms:
            return False
        return self._allowance >= self._limits.slots and self._successes >= self._allowance

    def _first_step(self) -> int:
        return min(self._limits.cold_concurrency, self._limits.slots)
