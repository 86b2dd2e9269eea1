"""Position in the history of a store that may be restored from an older copy."""

from __future__ import annotations

from typing import NamedTuple


class StorePosition(NamedTuple):
    """Revision ``revision`` after ``restorations`` restorations of the store, in this order.

    A restored store assigns the revisions after its copy again, so a revision alone does not
    identify a state. A position after a later restoration is newer, whatever its revision.
    """

    restorations: int
    revision: int


NO_POSITION = StorePosition(0, 0)
"""Position of an entry that has no state yet."""
