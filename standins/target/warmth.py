"""Cold start of a target: how much concurrent work it bears until it is warm."""

from __future__ import annotations

from standins.target.settings import ColdShape

UNLIMITED = 1_000_000


class Warmth:
    """Warms with the time during which the target had work; pure, time comes in as argument."""

    __slots__ = (
        "_busy_ms",
        "_busy_since_ms",
        "_cold_concurrency",
        "_present",
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
        self._present = 0
        self._busy_since_ms = 0.0
        self._busy_ms = warmup_ms if start_warm else 0.0

    @property
    def present(self) -> int:
        """Number of requests at the target, running or queued."""
        return self._present

    def on_arrival(self, *, at_ms: float) -> None:
        """Count a request in."""
        if not self._present:
            self._busy_since_ms = at_ms
        self._present += 1

    def on_departure(self, *, at_ms: float) -> None:
        """Count a request out."""
        self._advance(at_ms)
        self._present -= 1

    def turn_cold(self, *, at_ms: float) -> None:
        """Forget all progress."""
        self._advance(at_ms)
        self._busy_ms = 0.0

    def is_cold(self, *, at_ms: float) -> bool:
        """Return whether more work than the allowance makes the target fall over."""
        self._advance(at_ms)
        return self._busy_ms < self._warmup_ms

    def allowance(self, *, at_ms: float) -> int:
        """Return the number of concurrent requests that the target bears now."""
        if not self.is_cold(at_ms=at_ms):
            return UNLIMITED
        if self._shape is ColdShape.FLAT:
            return self._cold_concurrency
        steps = self._slots - self._cold_concurrency + 1
        return self._cold_concurrency + int(self._busy_ms / self._warmup_ms * steps)

    def _advance(self, at_ms: float) -> None:
        if self._present:
            self._busy_ms += at_ms - self._busy_since_ms
        self._busy_since_ms = at_ms
