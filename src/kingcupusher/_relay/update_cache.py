"""Encoded updates for subscribers that lack the same changes."""

from __future__ import annotations

from kingcupusher._discovery import StorePosition

MAX_UPDATES = 8
MAX_CACHED_BYTES = 1_048_576

UpdateKey = tuple[StorePosition | None, StorePosition, float]
"""Positions before and after an update, and for how long lapsed registrations may be renewed; the
first is None for a full snapshot."""


class UpdateCache:
    """The latest encoded updates, limited by their number and their size.

    The newest update is kept whatever its size, since many subscribers may need it.
    """

    __slots__ = ("_updates", "size_bytes")

    def __init__(self) -> None:
        self._updates: dict[UpdateKey, bytes] = {}
        self.size_bytes = 0

    def get(self, key: UpdateKey) -> bytes | None:
        """Return the encoded update, None if it is not kept."""
        return self._updates.get(key)

    def put(self, key: UpdateKey, encoded: bytes) -> None:
        """Keep ``encoded``; drop the oldest updates beyond the limits."""
        while self._updates and self._is_full_with(encoded):
            self.size_bytes -= len(self._updates.pop(next(iter(self._updates))))
        self._updates[key] = encoded
        self.size_bytes += len(encoded)

    def _is_full_with(self, encoded: bytes) -> bool:
        has_room = self.size_bytes + len(encoded) <= MAX_CACHED_BYTES
        return len(self._updates) >= MAX_UPDATES or not has_room
