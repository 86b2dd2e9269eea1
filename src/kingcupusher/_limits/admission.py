"""Queue of requests that wait at an entry for a target."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class _Waiting(Generic[T]):
    item: T
    size_bytes: int
    deadline_ms: float


class AdmissionQueue(Generic[T]):
    """Bounded queue, first by priority (the lowest number first), then by arrival.

    When it is full, an offer displaces the newest items of the lowest priority below its own, so
    that a flood of bulk requests does not refuse interactive ones. Displaced and expired items
    come out of :meth:`expire`; their callers are told that the request was not run. Offers are
    refused while as many of them as the bounds allow have not been collected.
    """

    __slots__ = ("_bytes", "_length", "_levels", "_max_bytes", "_max_length", "_removed")

    def __init__(self, *, max_length: int, max_bytes: int) -> None:
        self._max_length = max_length
        self._max_bytes = max_bytes
        self._levels: dict[int, deque[_Waiting[T]]] = {}
        self._removed: list[_Waiting[T]] = []
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
        """Append an item; return False if it is late or there is no room for it."""
        if deadline_ms <= now_ms or self._has_backlog():
            return False
        if not self._fits(size_bytes):
            self._drop_expired(now_ms)
        if not self._fits(size_bytes) and not self._displace(size_bytes, priority):
            return False
        waiting = _Waiting(item, size_bytes, deadline_ms)
        self._levels.setdefault(priority, deque()).append(waiting)
        self._length += 1
        self._bytes += size_bytes
        return True

    def take(self, *, now_ms: float) -> T | None:
        """Remove and return the first item that has not expired, or None."""
        for priority in sorted(self._levels):
            level = self._levels[priority]
            while level:
                waiting = self._release(level.popleft())
                if waiting.deadline_ms > now_ms:
                    return waiting.item
                self._removed.append(waiting)
        return None

    def expire(self, *, now_ms: float) -> list[T]:
        """Remove and return the items that expired or were displaced since the last call."""
        self._drop_expired(now_ms)
        removed, self._removed = self._removed, []
        return [waiting.item for waiting in removed]

    def _has_backlog(self) -> bool:
        removed_bytes = sum(waiting.size_bytes for waiting in self._removed)
        return len(self._removed) >= self._max_length or removed_bytes > self._max_bytes

    def _fits(self, size_bytes: int) -> bool:
        return self._length < self._max_length and self._bytes + size_bytes <= self._max_bytes

    def _release(self, waiting: _Waiting[T]) -> _Waiting[T]:
        self._length -= 1
        self._bytes -= waiting.size_bytes
        return waiting

    def _drop_expired(self, now_ms: float) -> None:
        for level in self._levels.values():
            expired = [waiting for waiting in level if waiting.deadline_ms <= now_ms]
            if not expired:
                continue
            self._removed.extend(self._release(waiting) for waiting in expired)
            alive = [waiting for waiting in level if waiting.deadline_ms > now_ms]
            level.clear()
            level.extend(alive)

    def _displace(self, size_bytes: int, priority: int) -> bool:
        """Make room from lower priorities, or change nothing and return False."""
        lower = [level for key, level in sorted(self._levels.items()) if key > priority]
        spare_bytes = sum(waiting.size_bytes for level in lower for waiting in level)
        if not any(lower) or self._bytes - spare_bytes + size_bytes > self._max_bytes:
            return False
        while not self._fits(size_bytes):
            while not lower[-1]:
                lower.pop()
            self._removed.append(self._release(lower[-1].pop()))
        return True
