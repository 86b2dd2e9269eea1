"""Admission: requests that no target can take at once wait in a queue of their service."""

from __future__ import annotations

import curio

from kingcupusher._config import Service
from kingcupusher._core import now_ms
from kingcupusher._http.errors import CallerGoneError
from kingcupusher._http.server_connection import ServerConnection
from kingcupusher._proxy.admission import Queue, QueueFactory, Waiter
from kingcupusher._proxy.classify import ProxyRequest
from kingcupusher._proxy.directory import Directory, NotSentEvent


class _ServiceQueue:
    """A service that has or had waiting requests, with its queue."""

    __slots__ = ("queue", "service")

    def __init__(self, service: Service, queue: Queue) -> None:
        self.service = service
        self.queue = queue


class WaitingRoom:
    """The waiting requests of all services."""

    __slots__ = ("_directory", "_factory", "_has_waiters", "_queues")

    def __init__(self, directory: Directory, factory: QueueFactory) -> None:
        self._directory = directory
        self._factory = factory
        self._queues: dict[str, _ServiceQueue] = {}
        self._has_waiters = curio.Event()

    def has_waiters(self, service: Service) -> bool:
        """Return whether a request for ``service`` waits; a new one must not overtake it."""
        entry = self._queues.get(service.name)
        return entry is not None and len(entry.queue) > 0

    @property
    def count(self) -> int:
        """Number of waiting requests of all services."""
        return sum(len(entry.queue) for entry in self._queues.values())

    async def wait_for_waiters(self) -> None:
        """Wait until a request waits, so that an idle process need not wake up regularly."""
        if self.count == 0:
            self._has_waiters.clear()
            await self._has_waiters.wait()

    async def wait(
        self, request: ProxyRequest, *, caller: ServerConnection, size_bytes: int
    ) -> str | None:
        """Wait for a place; return its target, or ``None`` at once if the queue is full."""
        if caller.is_gone:
            raise CallerGoneError("the caller closed before its request waited")
        waiter = Waiter()
        service = request.service
        accepted = self._queue(service).offer(
            waiter,
            size_bytes=size_bytes,
            deadline_ms=request.deadline_ms,
            priority=service.priority,
            now_ms=now_ms(),
        )
        if not accepted:
            return None
        await self._has_waiters.set()
        caller.on_gone = waiter.give_up
        try:
            await waiter.wait()
        except BaseException:
            waiter.is_gone = True
            self._give_back(waiter, service)
            raise
        finally:
            caller.on_gone = None
        if waiter.is_gone or caller.is_gone:
            self._give_back(waiter, service)
            raise CallerGoneError("the caller closed while its request waited")
        return waiter.target_id

    def _give_back(self, waiter: Waiter, service: Service) -> None:
        if waiter.target_id is None:
            return
        event = NotSentEvent(
            service=service.name, target_id=waiter.target_id, at_ms=now_ms(), elapsed_ms=0.0
        )
        self._directory.report(event)

    def _queue(self, service: Service) -> Queue:
        entry = self._queues.get(service.name)
        if entry is None:
            entry = _ServiceQueue(service, self._factory(service))
            self._queues[service.name] = entry
        entry.service = service
        return entry.queue

    async def pump_all(self) -> None:
        """Give places to the waiters of all services."""
        for entry in list(self._queues.values()):
            await self._pump(entry)

    async def pump(self, service: Service) -> None:
        """Give places to the waiters of ``service``."""
        entry = self._queues.get(service.name)
        if entry is not None:
            await self._pump(entry)

    async def _pump(self, entry: _ServiceQueue) -> None:
        while len(entry.queue) > 0:
            current_ms = now_ms()
            target_id = self._directory.choose(entry.service, now_ms=current_ms, exclude=())
            if target_id is None:
                return
            waiter = self._take(entry.queue, current_ms)
            if waiter is None:
                self._give_back_place(target_id, entry.service)
                return
            await waiter.grant(target_id)

    def _take(self, queue: Queue, current_ms: float) -> Waiter | None:
        waiter = queue.take(now_ms=current_ms)
        while waiter is not None and waiter.is_gone:
            waiter = queue.take(now_ms=current_ms)
        return waiter

    def _give_back_place(self, target_id: str, service: Service) -> None:
        event = NotSentEvent(
            service=service.name, target_id=target_id, at_ms=now_ms(), elapsed_ms=0.0
        )
        self._directory.report(event)
