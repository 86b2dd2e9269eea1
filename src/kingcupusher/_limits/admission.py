"""Bounded priority queue of requests that wait for a target."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class _QueuedItem(Generic[T]):
    item: T
    size_bytes: int
    deadline_ms: float


class AdmissionQueue(Generic[T]):
    """Queue bounded in items and bytes, ordered by priority (lowest number first), then FIFO.

    When the queue is full, a new item evicts the newest items of the lowest priority below its
    own, so that a flood of bulk requests does not block interactive ones. :meth:`expire` returns
    evicted and expired items; their callers get a response that the request was not run. The queue
    rejects new items while it holds as many uncollected items of this kind as its bounds allow.
    """

    __slots__ = ("_bytes", "_length", "_by_priority", "_max_bytes", "_max_length", "_removed")

    def __init__(self, *, max_length: int, max_bytes: int) -> None:
        self._max_length = max_length
        self._max_bytes = max_bytes
        self._by_priority: dict[int, deque[_QueuedItem[T]]] = {}
        self._removed: list[_QueuedItem[T]] = []
        self._length = 0
        self._bytes = 0

    def __len__(self) -> int:
        return self._length

    @property
    def size_bytes(self) -> int:
        """Sum of the sizes of the waiting items."""
        return self._bytes

    def offer(
        self, item: T, *, size_bytes: int, deadline_ms: float, priority: int, now_ms: float
    ) -> bool:
        """Append an item; return False if its deadline has passed or there is no room for it."""
        if deadline_ms <= now_ms or self._has_uncollected_items():
            return False
        if not self._fits(size_bytes):
            self._drop_expired(now_ms)
        if not self._fits(size_bytes) and not self._evict_lower_priority(size_bytes, priority):
            return False
        queued = _QueuedItem(item, size_bytes, deadline_ms)
        self._by_priority.setdefault(priority, deque()).append(queued)
        self._length += 1
        self._bytes += size_bytes
        return True

    def take(self, *, now_ms: float) -> T | None:
        """Remove and return the first item that has not expired, or None."""
        for priority in sorted(self._by_priority):
            level = self._by_priority[priority]
            while level:
                queued = self._subtract(level.popleft())
                if queued.deadline_ms > now_ms:
                    return queued.item
                self._removed.append(queued)
        return None

    def expire(self, *, now_ms: float) -> list[T]:
        """Remove and return the items that expired or were evicted since the last call."""
        self._drop_expired(now_ms)
        removed, self._removed = self._removed, []
        return [queued.item for queued in removed]

    def _has_uncollected_items(self) -> bool:
        removed_bytes = sum(queued.size_bytes for queued in self._removed)
        return len(self._removed) >= self._max_length or removed_bytes > self._max_bytes

    def _fits(self, size_bytes: int) -> bool:
        return self._length < self._max_length and self._bytes + size_bytes <= self._max_bytes

    def _subtract(self, queued: _QueuedItem[T]) -> _QueuedItem[T]:
        self._length -= 1
        self._bytes -= queued.size_bytes
        return queued

    def _drop_expired(self, now_ms: float) -> None:
        for level in self._by_priority.values():
            expired = [queued for queued in level if queued.deadline_ms <= now_ms]
            if not expired:
                continue
            self._removed.extend(self._subtract(queued) for queued in expired)
            alive = [queued for queued in level if queued.deadline_ms > now_ms]
            level.clear()
            level.extend(alive)

    def _evict_lower_priority(self, size_bytes: int, priority: int) -> bool:
        """Make room by evicting items of lower priorities; if that fails, evict none."""
        lower = [level for key, level in sorted(self._by_priority.items()) if key > priority]
        spare_bytes = sum(queued.size_bytes for level in lower for queued in level)
        if not any(lower) or self._bytes - spare_bytes + size_bytes > self._max_bytes:
            return False
        while not self._fits(size_bytes):
            while not lower[-1]:
                lower.pop()
            self._removed.append(self._subtract(lower[-1].pop()))
        return True
