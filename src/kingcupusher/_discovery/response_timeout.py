"""How long an entry waits for the response of a store that may be slow."""

from __future__ import annotations

RESPONSE_TIMEOUT_MS = 600.0
MAX_RESPONSE_TIMEOUT_MS = 2_000.0
GROWTH = 1.5


class ResponseTimeout:
    """Time ``ms`` that a call may take beyond its wait; it grows while the store is slow.

    No call may hang for long, since a state must be current 3 s after the end of an outage.
    """

    __slots__ = ("ms",)

    def __init__(self) -> None:
        self.ms = RESPONSE_TIMEOUT_MS

    @property
    def is_longer(self) -> bool:
        """Whether calls failed recently."""
        return self.ms > RESPONSE_TIMEOUT_MS

    def lengthen(self) -> None:
        """Allow longer responses after a call that failed."""
        self.ms = min(MAX_RESPONSE_TIMEOUT_MS, self.ms * GROWTH)

    def shorten(self) -> None:
        """Return towards the ordinary time after a call that was answered."""
        self.ms = max(RESPONSE_TIMEOUT_MS, self.ms / 2.0)
