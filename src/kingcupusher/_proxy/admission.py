"""Requests of one service that wait for a target, bounded in number and bytes."""

from __future__ import annotations

import curio

from kingcupusher._config import Priority, Service
from kingcupusher._limits import AdmissionQueue

PRIORITY_ORDER = {Priority.INTERACTIVE: 0, Priority.STANDARD: 1, Priority.BULK: 2}


class Waiter:
    """One request that waits; ``target_id`` is set when a place was found for it."""

    __slots__ = ("_woken", "deadline_ms", "is_gone", "size_bytes", "target_id")

    def __init__(self, *, size_bytes: int, deadline_ms: float) -> None:
        self._woken = curio.Event()
        self.size_bytes = size_bytes
        self.deadline_ms = deadline_ms
        self.is_gone = False
        self.target_id: str | None = None

    async def wait(self) -> None:
        """Wait until a place was found, the queue dropped the request or the caller has gone."""
        await self._woken.wait()

    async def grant(self, target_id: str) -> None:
        """Give the waiter a place at ``target_id``."""
        self.target_id = target_id
        await self._woken.set()

    async def refuse(self) -> None:
        """End the wait without a place."""
        await self._woken.set()

    async def give_up(self) -> None:
        """End the wait because the caller has gone."""
        self.is_gone = True
        await self._woken.set()


class ServiceQueue:
    """The waiting requests of one service."""

    __slots__ = ("_queue", "service")

    def __init__(self, service: Service) -> None:
        self.service = service
        self._queue = _new_queue(service)

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def order(self) -> int:
        """Position among the services when places are given out."""
        return PRIORITY_ORDER[self.service.priority]

    def update(self, service: Service) -> None:
        """Take over a changed service; its bounds apply to the requests that wait already."""
        if service is self.service:
            return
        self.service = service
        self._rebuild()

    def offer(self, waiter: Waiter, *, now_ms: float) -> bool:
        """Append ``waiter``; return ``False`` if the queue is full of requests still wanted."""
        if self._offer(waiter, now_ms):
            return True
        self._rebuild(now_ms=now_ms)
        return self._offer(waiter, now_ms)

    def take(self, *, now_ms: float) -> Waiter | None:
        """Remove and return the next waiter whose caller is still there."""
        waiter = self._queue.take(now_ms=now_ms)
        while waiter is not None and waiter.is_gone:
            waiter = self._queue.take(now_ms=now_ms)
        return waiter

    def expire(self, *, now_ms: float) -> list[Waiter]:
        """Remove and return the waiters whose deadline has passed."""
        return self._queue.expire(now_ms=now_ms)

    def _offer(self, waiter: Waiter, now_ms: float) -> bool:
        return self._queue.offer(
            waiter,
            size_bytes=waiter.size_bytes,
            deadline_ms=waiter.deadline_ms,
            priority=self.order,
            now_ms=now_ms,
        )

    def _rebuild(self, *, now_ms: float = 0.0) -> None:
        """Leave out the waiters whose callers have gone; the queue itself cannot remove one."""
        old, self._queue = self._queue, _new_queue(self.service)
        while (waiter := old.take(now_ms=now_ms)) is not None:
            if not waiter.is_gone:
                self._offer(waiter, now_ms)


def _new_queue(service: Service) -> AdmissionQueue[Waiter]:
    policy = service.request
    return AdmissionQueue(max_length=policy.queue_length, max_bytes=policy.queue_bytes)
