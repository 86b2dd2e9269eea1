"""Which entries there are, so that they can divide the bounds that they share."""

from __future__ import annotations

from collections.abc import Collection

MEMORY_MS = 30_000.0
"""An entry that restarts is counted meanwhile, so that shares of a bound do not grow at once."""
UNKNOWN_SIZE = 32
"""Number of entries that is assumed until some are known, so that shares of a bound stay small."""


class LiveEntries:
    """Names of entries with the moment until which each is counted."""

    __slots__ = ("_until_ms",)

    def __init__(self) -> None:
        self._until_ms: dict[str, float] = {}

    def mark_seen(self, names: Collection[str], *, now_ms: float) -> None:
        """Count ``names`` from now on."""
        for name in names:
            self._until_ms[name] = now_ms + MEMORY_MS

    def names(self, *, now_ms: float) -> list[str]:
        """Return the entries that were heard of lately, sorted."""
        return sorted(name for name, until_ms in self._until_ms.items() if until_ms > now_ms)

    def count(self, *, now_ms: float) -> int:
        """Return the number of entries, or a careful guess if none is known."""
        return sum(until_ms > now_ms for until_ms in self._until_ms.values()) or UNKNOWN_SIZE
