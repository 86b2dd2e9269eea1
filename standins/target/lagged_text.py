"""Text value that is read with a delay."""

from __future__ import annotations

from collections import deque


class LaggedText:
    """Keeps recent values of a text and returns the one that was current ``lag_ms`` ago."""

    __slots__ = ("_lag_ms", "_values")

    def __init__(self, *, lag_ms: float) -> None:
        self._lag_ms = lag_ms
        self._values: deque[tuple[float, str]] = deque()

    def record(self, text: str, *, at_ms: float) -> None:
        """Record a value that is current from ``at_ms`` on."""
        self._values.append((at_ms, text))
        self._trim(at_ms)

    def read(self, *, at_ms: float) -> str:
        """Return the value that was current ``lag_ms`` before ``at_ms``."""
        self._trim(at_ms)
        return self._values[0][1]

    def _trim(self, at_ms: float) -> None:
        visible_ms = at_ms - self._lag_ms
        while len(self._values) > 1 and self._values[1][0] <= visible_ms:
            self._values.popleft()
