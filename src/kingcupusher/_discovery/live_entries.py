"""Entries that were seen recently, which share the fleet-wide limits."""

from __future__ import annotations

from collections.abc import Collection

RETENTION_MS = 30_000.0
"""Restarting entries still count, so that the shares of a limit do not grow at once."""
DEFAULT_COUNT = 32
"""Assumed number of entries while none is known, so that shares of a limit stay small."""
ASSUMED_OTHERS = [f"unknown entry {number}" for number in range(1, DEFAULT_COUNT)]


class LiveEntries:
    """Names of entries, each with the time until which it counts as live."""

    __slots__ = ("_until_ms",)

    def __init__(self) -> None:
        self._until_ms: dict[str, float] = {}

    def mark_seen(self, names: Collection[str], *, now_ms: float) -> None:
        """Record that the entries ``names`` are live now."""
        for name in names:
            self._until_ms[name] = now_ms + RETENTION_MS

    def names(self, *, now_ms: float) -> list[str]:
        """Return the live entries, sorted."""
        return sorted(name for name, until_ms in self._until_ms.items() if until_ms > now_ms)

    def names_or_assumed(self, *, now_ms: float) -> list[str]:
        """Return the live entries; while none is known, names that stand for other entries."""
        return self.names(now_ms=now_ms) or ASSUMED_OTHERS

    def count(self, *, now_ms: float) -> int:
        """Return the number of live entries, ``DEFAULT_COUNT`` if none is known."""
        return sum(until_ms > now_ms for until_ms in self._until_ms.values()) or DEFAULT_COUNT
