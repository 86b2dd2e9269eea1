"""Entries that were seen recently, which share the fleet-wide limits."""

from __future__ import annotations

from collections.abc import Collection
from math import inf

RETENTION_MS = 30_000.0
"""Restarting entries still count, so that the shares of a limit do not grow at once."""
ASSUMED_COUNT = 32
"""Assumed number of entries while none is known, for limits that may be exceeded for a moment."""


class LiveEntries:
    """Names of entries, each with the time until which it counts as live."""

    __slots__ = ("_names", "_names_until_ms", "_until_ms")

    def __init__(self) -> None:
        self._until_ms: dict[str, float] = {}
        self._names: list[str] = []
        self._names_until_ms = inf

    def mark_seen(self, names: Collection[str], *, now_ms: float) -> None:
        """Record that the entries ``names`` are live now."""
        for name in names:
            if name not in self._until_ms:
                self._names_until_ms = -inf
            self._until_ms[name] = now_ms + RETENTION_MS

    def names(self, *, now_ms: float) -> list[str]:
        """Return the live entries, sorted; the same list until they change."""
        if now_ms >= self._names_until_ms:
            self._update_names(now_ms)
        return self._names

    def is_known(self, *, now_ms: float) -> bool:
        """Whether the fleet is known. An entry that does not know it has no share of hard limits.

        A share that is computed from too few entries would exceed a limit by as much as the fleet
        is larger.
        """
        return bool(self.names(now_ms=now_ms))

    def count(self, *, now_ms: float) -> int:
        """Return the number of live entries, ``ASSUMED_COUNT`` if none is known."""
        return len(self.names(now_ms=now_ms)) or ASSUMED_COUNT

    def count_seen_within(self, age_ms: float, *, now_ms: float) -> int:
        """Return how many entries were seen in the last ``age_ms``."""
        oldest_until_ms = now_ms + RETENTION_MS - age_ms
        return sum(until_ms > oldest_until_ms for until_ms in self._until_ms.values())

    def _update_names(self, now_ms: float) -> None:
        self._until_ms = {
            n: until_ms for n, until_ms in self._until_ms.items() if until_ms > now_ms
        }
        names = sorted(self._until_ms)
        if names != self._names:
            self._names = names
        self._names_until_ms = min(self._until_ms.values(), default=inf)
