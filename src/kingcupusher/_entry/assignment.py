"""Which registered entry should coordinate which group of targets."""

from __future__ import annotations

from collections.abc import Collection
from zlib import crc32

from kingcupusher._membership import GROUPS


def preferred_seat(group: int, seats: Collection[int]) -> int | None:
    """Return the seat with the highest rendezvous weight for ``group``, None without seats.

    When a seat comes or goes, only the groups of that seat move.
    """
    return max(seats, key=lambda seat: (crc32(f"{group}/{seat}".encode()), seat), default=None)


def preferred_groups(seat: int, seats: Collection[int]) -> frozenset[int]:
    """Return the groups that ``seat`` should coordinate."""
    return frozenset(g for g in range(GROUPS) if preferred_seat(g, seats) == seat)
