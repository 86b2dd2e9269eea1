"""Sliding windows over the requests of this entry to one target."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from contextlib import suppress

from msgspec import Struct

RETENTION_MS = 60_000.0
"""Longest window for which sends are counted."""


class SendQuota(Struct, frozen=True):
    """At most ``limit`` requests of this entry in each window of ``window_ms``."""

    limit: int
    window_ms: float


class SendWindow:
    """Times at which this entry sent requests to one target, and which of them are running."""

    __slots__ = ("_running_ms", "_sent_ms")

    def __init__(self) -> None:
        self._sent_ms: deque[float] = deque()
        self._running_ms: deque[float] = deque()

    def add(self, *, now_ms: float) -> None:
        """Count a request, which runs until :meth:`finish`."""
        for times_ms in (self._sent_ms, self._running_ms):
            times_ms.append(now_ms)
            while times_ms[0] <= now_ms - RETENTION_MS:
                times_ms.popleft()

    def finish(self, sent_ms: float) -> None:
        """Record the end of a request that was sent at ``sent_ms``."""
        with suppress(ValueError):
            self._running_ms.remove(sent_ms)

    def remove_newest(self) -> None:
        """Remove the newest request from the count because it was not sent."""
        if self._sent_ms:
            self.finish(self._sent_ms.pop())

    def running_after(self, time_ms: float) -> int:
        """Return how many requests were sent after ``time_ms`` and are running."""
        return sum(sent_ms > time_ms for sent_ms in self._running_ms)

    def has_room(self, quotas: Collection[SendQuota], *, now_ms: float) -> bool:
        """Return whether one more request stays within all ``quotas``."""
        return all(len(self._newest(quota, now_ms=now_ms)) < quota.limit for quota in quotas)

    def openings_ms(self, quota: SendQuota, *, now_ms: float) -> list[float]:
        """Return when the next ``quota.limit`` requests may be sent, ``now_ms`` or later."""
        ends_ms = [sent_ms + quota.window_ms for sent_ms in self._newest(quota, now_ms=now_ms)]
        free = max(0, quota.limit - len(ends_ms))
        blocked = max(0, len(ends_ms) - quota.limit)
        return [now_ms] * free + ends_ms[blocked : blocked + quota.limit - free]

    def _newest(self, quota: SendQuota, *, now_ms: float) -> list[float]:
        """Return the times of the requests in the window that ends now, oldest first."""
        newest: list[float] = []
        for sent_ms in reversed(self._sent_ms):
            if sent_ms <= now_ms - quota.window_ms:
                break
            newest.append(sent_ms)
        return newest[::-1]
