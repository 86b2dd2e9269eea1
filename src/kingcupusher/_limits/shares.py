"""Division of a target's connections among the entries."""

from __future__ import annotations

from kingcupusher._limits.errors import LimitsError


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
