"""Division of a target's limits among the entries."""

from __future__ import annotations

import sys
from collections.abc import Collection

from msgspec import Struct

from kingcupusher._core.rendezvous import rendezvous_weight
from kingcupusher._limits.errors import LimitsError


class EntryRank(Struct, frozen=True):
    """Position of an entry among ``count`` entries in the order that applies to one target."""

    index: int
    count: int

    @classmethod
    def of(cls, entry: str, *, entries: Collection[str], target_id: str) -> EntryRank:
        """Rank ``entry`` among ``entries``; the order differs between targets."""
        names = set(entries) | {entry}
        own_weight = rendezvous_weight(entry, target_id)
        index = sum(rendezvous_weight(name, target_id) < own_weight for name in names)
        return cls(index, len(names))

    def share(self, total: int) -> int:
        """Return the entry's part of ``total``.

        Entries with the same list of entries compute parts that add up to ``total``. The
        remainder of the division goes to different entries for different targets.
        """
        base, extra = divmod(total, self.count)
        return base + (1 if self.index < extra else 0)


NO_SHARE = EntryRank(index=sys.maxsize - 1, count=sys.maxsize)
"""Rank of an entry that does not know the fleet; its share of any limit is 0."""


def connection_share(connections: int, *, max_entries: int) -> int:
    """Return how many connections to one target each of ``max_entries`` entries may hold.

    The result is 0 if there are fewer connections than entries.
    """
    if connections < 0 or max_entries < 1:
        raise LimitsError(
            f"cannot divide {connections} connections over {max_entries} entries; "
            "use 0 or more connections and 1 or more entries"
        )
    return connections // max_entries
