"""Cold start model of a target; it has no clock, callers pass the time."""

from __future__ import annotations

from standins.target.settings import ColdShape

UNLIMITED = 1_000_000


class ColdStart:
    """Becomes warm after ``warmup_ms`` with requests in flight; until then limits concurrency."""

    __slots__ = (
        "_busy_ms",
        "_busy_since_ms",
        "_cold_concurrency",
        "_in_flight",
        "_shape",
        "_slots",
        "_warmup_ms",
    )

    def __init__(
        self,
        *,
        cold_concurrency: int,
        slots: int,
        warmup_ms: float,
        shape: ColdShape,
        start_warm: bool,
    ) -> None:
        self._cold_concurrency = cold_concurrency
        self._slots = slots
        self._warmup_ms = warmup_ms
        self._shape = shape
        self._in_flight = 0
        self._busy_since_ms = 0.0
        self._busy_ms = warmup_ms if start_warm else 0.0

    @property
    def in_flight(self) -> int:
        """Number of requests at the target, running or queued."""
        return self._in_flight

    def on_arrival(self, *, at_ms: float) -> None:
        """Count a request that arrives."""
        if not self._in_flight:
            self._busy_since_ms = at_ms
        self._in_flight += 1

    def on_departure(self, *, at_ms: float) -> None:
        """Count a request that leaves."""
        self._advance(at_ms)
        self._in_flight -= 1

    def restart_warmup(self, *, at_ms: float) -> None:
        """Reset the warm-up to its start."""
        self._advance(at_ms)
        self._busy_ms = 0.0

    def is_cold(self, *, at_ms: float) -> bool:
        """Return whether the warm-up is incomplete, so that the concurrency limit applies."""
        self._advance(at_ms)
        return self._busy_ms < self._warmup_ms

    def concurrency_limit(self, *, at_ms: float) -> int:
        """Return the concurrency above which the target falls over: it restarts, cold again."""
        if not self.is_cold(at_ms=at_ms):
            return UNLIMITED
        if self._shape is ColdShape.FLAT:
            return self._cold_concurrency
        steps = self._slots - self._cold_concurrency + 1
        return self._cold_concurrency + int(self._busy_ms / self._warmup_ms * steps)

    def _advance(self, at_ms: float) -> None:
        if self._in_flight:
            self._busy_ms += at_ms - self._busy_since_ms
        self._busy_since_ms = at_ms
