"""Which registered entry should coordinate which group of targets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from hashlib import blake2b

from kingcupusher._membership import GROUP_COUNT

WEIGHT_BYTES = 8


def assign_groups(seats: Collection[int]) -> dict[int, int]:
    """Return the seat that should coordinate each group; empty without seats.

    Each group goes to the seat with the highest rendezvous weight that is not full, so that few
    groups move when a seat comes or goes and no seat has more than its share, rounded up.
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


def groups_of(seat: int, seats: Collection[int]) -> frozenset[int]:
    """Return the groups that ``seat`` should coordinate."""
    return frozenset(g for g, assigned in assign_groups(seats).items() if assigned == seat)


def _weight(group: int, seat: int) -> bytes:
    # CRC-32 is linear, so that one seat won 20 of 32 groups and two of five seats none.
    return blake2b(f"{group}/{seat}".encode(), digest_size=WEIGHT_BYTES).digest()
