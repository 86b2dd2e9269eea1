"""Recent changes, kept for entries that lag behind, within a limit on their size."""

from __future__ import annotations

from collections import deque

import msgspec
from msgspec import Struct

from kingcupusher._discovery.changes import Change, RoutesPublished, StoreReturned
from kingcupusher._discovery.position import StorePosition

MAX_HISTORY_BYTES = 2_097_152
"""An entry that lags further behind gets a full snapshot."""
CHANGE_OVERHEAD_BYTES = 200
"""Memory of the objects around the content of a change, which small changes mostly consist of."""
NOT_KEPT = (RoutesPublished, StoreReturned)
"""A route table is kept only while it is the newest. The time that an outage leaves for renewals is
stated anew in each update, since it goes on while changes are kept."""


class _Batch(Struct, eq=False):
    """Changes up to ``position``; the route table among them does not count in ``size_bytes``."""

    changes: list[Change]
    position: StorePosition
    size_bytes: int


class ChangeHistory:
    """The changes after ``begin``, oldest first.

    Of all route tables, only the newest version is kept, in the batch that published it: an entry
    that lacks an older one lacks this one as well. It is the table in force, so it takes no memory
    of its own. The oldest batches are dropped when the other changes exceed ``max_bytes``.
    """

    __slots__ = ("_batches", "_max_bytes", "_table", "_table_batch", "begin", "size_bytes")

    def __init__(self, begin: StorePosition, *, max_bytes: int = MAX_HISTORY_BYTES) -> None:
        self._batches: deque[_Batch] = deque()
        self._max_bytes = max_bytes
        self._table: RoutesPublished | None = None
        self._table_batch: _Batch | None = None
        self.begin = begin
        self.size_bytes = 0

    def append(self, changes: list[Change], position: StorePosition) -> None:
        """Add the newest changes, which are complete up to ``position``."""
        table = self._newer_table(changes)
        kept: list[Change] = [c for c in changes if c is table or not isinstance(c, NOT_KEPT)]
        if not kept:
            return
        batch = _Batch(kept, position, sum(map(_retained_bytes, kept)))
        if table is not None:
            self._drop_table()
            self._table, self._table_batch = table, batch
        self._batches.append(batch)
        self.size_bytes += batch.size_bytes
        self._drop_oldest()

    def after(self, position: StorePosition) -> list[Change] | None:
        """Return the changes after ``position``, None if it is before the begin of the history."""
        if position < self.begin:
            return None
        newer = [batch for batch in self._batches if batch.position > position]
        return [change for batch in newer for change in batch.changes]

    def _newer_table(self, changes: list[Change]) -> RoutesPublished | None:
        """Return the newest table among ``changes`` if it is newer than the known one."""
        newest = self._table
        for change in changes:
            if isinstance(change, RoutesPublished) and (
                newest is None or change.table.version > newest.table.version
            ):
                newest = change
        return None if newest is self._table else newest

    def _drop_table(self) -> None:
        batch = self._table_batch
        if batch is None:
            return
        batch.changes = [change for change in batch.changes if change is not self._table]
        if not batch.changes:
            self._batches.remove(batch)

    def _drop_oldest(self) -> None:
        while self.size_bytes > self._max_bytes:
            oldest = self._batches.popleft()
            self.size_bytes -= oldest.size_bytes
            self.begin = oldest.position
            if oldest is self._table_batch:
                self._table = self._table_batch = None


def _retained_bytes(change: Change) -> int:
    if isinstance(change, RoutesPublished):
        return 0
    return CHANGE_OVERHEAD_BYTES + len(msgspec.msgpack.encode(change))
