"""Queue of one service, bounded in length and bytes, for requests that wait for a target."""

from __future__ import annotations

import curio

from kingcupusher._config import Priority, Service
from kingcupusher._limits import AdmissionQueue

PRIORITY_RANKS = {Priority.INTERACTIVE: 0, Priority.STANDARD: 1, Priority.BULK: 2}


class QueuedRequest:
    """A request that waits for a target; ``target_id`` is set when a slot was assigned."""

    __slots__ = ("_finished", "deadline_ms", "is_abandoned", "size_bytes", "target_id")

    def __init__(self, *, size_bytes: int, deadline_ms: float) -> None:
        self._finished = curio.Event()
        self.size_bytes = size_bytes
        self.deadline_ms = deadline_ms
        self.is_abandoned = False
        self.target_id: str | None = None

    async def wait(self) -> None:
        """Wait until a slot was assigned, the request was rejected or the caller disconnected."""
        await self._finished.wait()

    async def assign(self, target_id: str) -> None:
        """End the wait with a reserved slot at ``target_id``."""
        self.target_id = target_id
        await self._finished.set()

    async def reject(self) -> None:
        """End the wait without a slot."""
        await self._finished.set()

    async def abandon(self) -> None:
        """End the wait because the caller disconnected."""
        self.is_abandoned = True
        await self._finished.set()


class ServiceQueue:
    """The queued requests of one service."""

    __slots__ = ("_queue", "service")

    def __init__(self, service: Service) -> None:
        self.service = service
        self._queue = _new_queue(service)

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def priority_rank(self) -> int:
        """Rank of the service's priority; queues with a lower rank are dispatched first."""
        return PRIORITY_RANKS[self.service.priority]

    def update(self, service: Service) -> None:
        """Apply a changed configuration; its bounds hold for requests that are queued already."""
        if service is self.service:
            return
        self.service = service
        self._rebuild()

    def offer(self, queued: QueuedRequest, *, now_ms: float) -> bool:
        """Append ``queued``; return ``False`` if the queue is full of live requests."""
        if self._offer(queued, now_ms):
            return True
        self._rebuild(now_ms=now_ms)
        return self._offer(queued, now_ms)

    def take(self, *, now_ms: float) -> QueuedRequest | None:
        """Remove and return the next request that is not abandoned."""
        queued = self._queue.take(now_ms=now_ms)
        while queued is not None and queued.is_abandoned:
            queued = self._queue.take(now_ms=now_ms)
        return queued

    def expire(self, *, now_ms: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        return self._queue.expire(now_ms=now_ms)

    def _offer(self, queued: QueuedRequest, now_ms: float) -> bool:
        return self._queue.offer(
            queued,
            size_bytes=queued.size_bytes,
            deadline_ms=queued.deadline_ms,
            priority=self.priority_rank,
            now_ms=now_ms,
        )

    def _rebuild(self, *, now_ms: float = 0.0) -> None:
        """Copy the queue without abandoned requests; it cannot remove single items itself."""
        old, self._queue = self._queue, _new_queue(self.service)
        while (queued := old.take(now_ms=now_ms)) is not None:
            if not queued.is_abandoned:
                self._offer(queued, now_ms)


def _new_queue(service: Service) -> AdmissionQueue[QueuedRequest]:
    policy = service.request
    return AdmissionQueue(max_length=policy.queue_length, max_bytes=policy.queue_bytes)
