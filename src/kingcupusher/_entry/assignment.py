"""Assigns groups of targets to the registered entries that coordinate them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from hashlib import blake2b

from kingcupusher._membership import GROUP_COUNT

WEIGHT_BYTES = 8


def assign_groups(seats: Collection[int]) -> dict[int, int]:
    """Return the seat assigned to each group; empty without seats.

    Rendezvous hashing with a bounded load: each group goes to the seat with the highest weight
    that has fewer than its share, rounded up. Few groups move when a seat is added or removed.
    """
    if not seats:
        return {}
    share = -(-GROUP_COUNT // len(seats))
    load: Counter[int] = Counter()
    assigned = {}
    for group in range(GROUP_COUNT):
        ranked = sorted(seats, key=lambda seat: _weight(group, seat), reverse=True)  # noqa: B023
        assigned[group] = next(seat for seat in ranked if load[seat] < share)
        load[assigned[group]] += 1
    return assigned


def assigned_groups(seat: int, seats: Collection[int]) -> frozenset[int]:
    """Return the groups that are assigned to ``seat``."""
    return frozenset(g for g, assigned in assign_groups(seats).items() if assigned == seat)


def _weight(group: int, seat: int) -> bytes:
    # CRC-32 is linear: with five seats, one got 20 of 32 groups and two got none.
    return blake2b(f"{group}/{seat}".encode(), digest_size=WEIGHT_BYTES).digest()
