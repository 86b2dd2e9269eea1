"""Concurrency that a target in cold start may get, summed over all entries."""

from __future__ import annotations

from typing import Protocol


class RampLimits(Protocol):
    """The fields of a service file that bound a cold start."""

    @property
    def slots(self) -> int:
        """Concurrent requests that a warm target serves."""
        ...

    @property
    def cold_concurrency(self) -> int:
        """Concurrent requests that a cold target can bear."""
        ...

    @property
    def warmup_ms(self) -> int:
        """Shortest time from the first success until the target counts as warm."""
        ...


class ColdStartRamp:
    """Raises the allowance in steps: each doubles it after as many successes as it allows.

    A failure returns to the first step. The target is warm when a whole step succeeded at the
    full number of slots and ``warmup_ms`` has passed since the first success.
    """

    __slots__ = ("_allowance", "_limits", "_successes", "_warm_after_ms")

    def __init__(self, limits: RampLimits) -> None:
        self._limits = limits
        self._allowance = self._first_step()
        self._successes = 0
        self._warm_after_ms: float | None = None

    def allowance(self, *, now_ms: float) -> int:  # noqa: ARG002
        """Return how many requests the target may have in flight."""
        return self._allowance

    def on_success(self, *, now_ms: float) -> None:
        """Note a request that the target served."""
        if self._warm_after_ms is None:
            self._warm_after_ms = now_ms + self._limits.warmup_ms
        self._successes += 1
        if self._successes >= self._allowance < self._limits.slots:
            self._allowance = min(self._allowance * 2, self._limits.slots)
            self._successes = 0

    def on_failure(self, *, now_ms: float) -> None:  # noqa: ARG002
        """Note a request that the target failed or refused."""
        self._allowance = self._first_step()
        self._successes = 0
        self._warm_after_ms = None

    def is_warm(self, *, now_ms: float) -> bool:
        """Return whether the target has proved that it can bear its full load."""
        if self._warm_after_ms is None or now_ms < self._warm_after_ms:
            return False
        return self._allowance >= self._limits.slots and self._successes >= self._allowance

    def _first_step(self) -> int:
        return min(self._limits.cold_concurrency, self._limits.slots)
