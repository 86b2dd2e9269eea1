"""Rate limit for cold targets, divided among the entries."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from kingcupusher._core.rendezvous import rendezvous_weight

WINDOW_MS = 1_100.0
"""The limit applies to each second; the margin covers varying delays on the way to the target."""


def cold_start_share(total: int, *, entry: str, entries: Collection[str], target_id: str) -> int:
    """Return how many of ``total`` requests per window ``entry`` may send to ``target_id``.

    Entries with the same list ``entries`` compute shares that add up to ``total``. The remainder
    of the division goes to different entries for different targets.
    """
    names = set(entries) | {entry}
    base, extra = divmod(total, len(names))
    ranked = sorted(names, key=lambda name: rendezvous_weight(name, target_id))
    return base + (1 if ranked.index(entry) < extra else 0)


class ColdStartWindow:
    """Sliding-window rate limiter for the requests of this entry to one cold target."""

    __slots__ = ("_sent_ms",)

    def __init__(self) -> None:
        self._sent_ms: deque[float] = deque()

    def try_send(self, *, limit: int, now_ms: float) -> bool:
        """Count a request and return True if fewer than ``limit`` were sent in the window."""
        while self._sent_ms and self._sent_ms[0] <= now_ms - WINDOW_MS:
            self._sent_ms.popleft()
        if len(self._sent_ms) >= limit:
            return False
        self._sent_ms.append(now_ms)
        return True
