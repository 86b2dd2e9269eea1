"""Admission: requests that no target can take at once wait in a queue of their service."""

from __future__ import annotations

import curio

from kingcupusher._config import Service
from kingcupusher._core import now_ms
from kingcupusher._http.errors import CallerDisconnectedError
from kingcupusher._http.server_connection import ServerConnection
from kingcupusher._proxy.admission import ServiceQueue, Waiter
from kingcupusher._proxy.classify import ProxyRequest
from kingcupusher._proxy.load_balancer import LoadBalancer, NotSentEvent


class WaitingRoom:
    """The waiting requests of all services."""

    __slots__ = ("_directory", "_has_waiters", "_queues")

    def __init__(self, directory: LoadBalancer) -> None:
        self._directory = directory
        self._queues: dict[str, ServiceQueue] = {}
        self._has_waiters = curio.Event()

    def has_waiters(self, service: Service) -> bool:
        """Return whether a request for ``service`` waits; a new one must not overtake it."""
        queue = self._queues.get(service.name)
        return queue is not None and len(queue) > 0

    @property
    def count(self) -> int:
        """Number of waiting requests of all services."""
        return sum(len(queue) for queue in self._queues.values())

    async def wait_for_waiters(self) -> None:
        """Wait until a request waits, so that an idle process need not wake up regularly."""
        if self.count == 0:
            self._has_waiters.clear()
            await self._has_waiters.wait()

    async def wait(
        self, request: ProxyRequest, *, caller: ServerConnection, size_bytes: int
    ) -> str | None:
        """Wait for a place; return its target, or ``None`` at once if the queue is full."""
        if caller.is_disconnected:
            raise CallerDisconnectedError("the caller closed before its request waited")
        waiter = Waiter(size_bytes=size_bytes, deadline_ms=request.deadline_ms)
        service = request.service
        if not self._queue(service).offer(waiter, now_ms=now_ms()):
            return None
        await self._has_waiters.set()
        caller.on_disconnect = waiter.give_up
        try:
            await waiter.wait()
        except BaseException:
            waiter.is_gone = True
            self._give_back(waiter, service)
            raise
        finally:
            caller.on_disconnect = None
        if waiter.is_gone or caller.is_disconnected:
            self._give_back(waiter, service)
            raise CallerDisconnectedError("the caller closed while its request waited")
        return waiter.target_id

    def _give_back(self, waiter: Waiter, service: Service) -> None:
        if waiter.target_id is not None:
            self._give_back_place(waiter.target_id, service)

    def _queue(self, service: Service) -> ServiceQueue:
        queue = self._queues.get(service.name)
        if queue is None:
            queue = ServiceQueue(service)
            self._queues[service.name] = queue
        queue.update(service)
        return queue

    async def pump_all(self) -> None:
        """Give places to the waiters of all services, by priority."""
        for queue in sorted(self._queues.values(), key=lambda queue: queue.order):
            await self._pump(queue)

    async def pump(self, service: Service) -> None:
        """Give places to the waiters of ``service``."""
        queue = self._queues.get(service.name)
        if queue is not None:
            await self._pump(queue)

    async def _pump(self, queue: ServiceQueue) -> None:
        while len(queue) > 0:
            current_ms = now_ms()
            target_id = self._directory.choose_target(queue.service, now_ms=current_ms, exclude=())
            if target_id is None:
                break
            waiter = queue.take(now_ms=current_ms)
            if waiter is None:
                self._give_back_place(target_id, queue.service)
            else:
                await waiter.grant(target_id)
        for waiter in queue.expire(now_ms=now_ms()):
            await waiter.refuse()

    def _give_back_place(self, target_id: str, service: Service) -> None:
        event = NotSentEvent(
            service=service.name, target_id=target_id, at_ms=now_ms(), elapsed_ms=0.0
        )
        self._directory.report(event)
