"""Requests that wait for a target, bounded per service."""

# ruff: noqa: ARG002 - a queue in order of arrival needs only some arguments of the protocol

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

import curio

from kingcupusher._config import Priority, Service


class Waiter:
    """One request that waits; ``target_id`` is set when a place was found for it."""

    __slots__ = ("_woken", "is_gone", "target_id")

    def __init__(self) -> None:
        self._woken = curio.Event()
        self.is_gone = False
        self.target_id: str | None = None

    async def wait(self) -> None:
        """Wait until a place was found or the caller has gone."""
        await self._woken.wait()

    async def grant(self, target_id: str) -> None:
        """Give the waiter a place at ``target_id``."""
        self.target_id = target_id
        await self._woken.set()

    async def give_up(self) -> None:
        """End the wait because the caller has gone."""
        self.is_gone = True
        await self._woken.set()


class Queue(Protocol):
    """Bounded queue of waiting requests."""

    def offer(
        self,
        item: Waiter,
        *,
        size_bytes: int,
        deadline_ms: float,
        priority: Priority,
        now_ms: float,
    ) -> bool:
        """Append ``item``; return ``False`` if the queue is full."""

    def take(self, *, now_ms: float) -> Waiter | None:
        """Remove and return the next waiter, or ``None`` if there is none."""

    def __len__(self) -> int: ...


class FifoQueue:
    """Queue in order of arrival, bounded in length and bytes."""

    __slots__ = ("_bytes", "_items", "_max_bytes", "_max_length")

    def __init__(self, *, max_length: int, max_bytes: int) -> None:
        self._items: deque[tuple[Waiter, int, float]] = deque()
        self._bytes = 0
        self._max_length = max_length
        self._max_bytes = max_bytes

    def offer(
        self,
        item: Waiter,
        *,
        size_bytes: int,
        deadline_ms: float,
        priority: Priority,
        now_ms: float,
    ) -> bool:
        """Append ``item``; return ``False`` if the queue is full."""
        self._drop_gone()
        if len(self._items) >= self._max_length or self._bytes + size_bytes > self._max_bytes:
            return False
        self._items.append((item, size_bytes, deadline_ms))
        self._bytes += size_bytes
        return True

    def take(self, *, now_ms: float) -> Waiter | None:
        """Remove and return the next waiter whose deadline has not passed."""
        while self._items:
            item, size_bytes, deadline_ms = self._items.popleft()
            self._bytes -= size_bytes
            if not item.is_gone and deadline_ms > now_ms:
                return item
        return None

    def _drop_gone(self) -> None:
        kept = [entry for entry in self._items if not entry[0].is_gone]
        if len(kept) < len(self._items):
            self._items = deque(kept)
            self._bytes = sum(entry[1] for entry in kept)

    def __len__(self) -> int:
        return len(self._items)


QueueFactory = Callable[[Service], Queue]


def fifo_queue(service: Service) -> Queue:
    """Return an empty queue with the bounds of ``service``."""
    policy = service.request
    return FifoQueue(max_length=policy.queue_length, max_bytes=policy.queue_bytes)
