"""Division over the entries of the few requests that a cold target bears."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from kingcupusher._core.rendezvous import rendezvous_weight

WINDOW_MS = 1_100.0
"""A little above the second over which the bound holds, as requests take time to arrive."""


def share_of(total: int, *, entry: str, entries: Collection[str], target_id: str) -> int:
    """Return how many of ``total`` requests per window ``entry`` may send to ``target_id``.

    All entries that know the same ``entries`` compute shares that add up to ``total``; the
    remainder goes to other entries for each target.
    """
    names = set(entries) | {entry}
    base, extra = divmod(total, len(names))
    ranked = sorted(names, key=lambda name: rendezvous_weight(name, target_id))
    return base + (1 if ranked.index(entry) < extra else 0)


class ColdWindow:
    """Requests that this entry sent to one target in the last window."""

    __slots__ = ("_sent_ms",)

    def __init__(self) -> None:
        self._sent_ms: deque[float] = deque()

    def try_send(self, *, limit: int, now_ms: float) -> bool:
        """Count a request and return True if ``limit`` per window leaves room for it."""
        while self._sent_ms and self._sent_ms[0] <= now_ms - WINDOW_MS:
            self._sent_ms.popleft()
        if len(self._sent_ms) >= limit:
            return False
        self._sent_ms.append(now_ms)
        return True
