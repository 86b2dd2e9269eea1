"""Admission: requests that no target can take now wait in the queue of their service."""

from __future__ import annotations

import curio

from kingcupusher._config import Service
from kingcupusher._core import now_ms
from kingcupusher._http.errors import CallerDisconnectedError
from kingcupusher._http.server_connection import ServerConnection
from kingcupusher._proxy.classify import ProxyRequest
from kingcupusher._proxy.load_balancer import LoadBalancer, NotSentEvent
from kingcupusher._proxy.service_queue import QueuedRequest, ServiceQueue


class RequestQueues:
    """The queued requests of all services."""

    __slots__ = ("_load_balancer", "_has_queued_requests", "_queues")

    def __init__(self, load_balancer: LoadBalancer) -> None:
        self._load_balancer = load_balancer
        self._queues: dict[str, ServiceQueue] = {}
        self._has_queued_requests = curio.Event()

    def has_queued_requests(self, service: Service) -> bool:
        """Return whether a request for ``service`` is queued; a new one must not overtake it."""
        queue = self._queues.get(service.name)
        return queue is not None and len(queue) > 0

    @property
    def count(self) -> int:
        """Number of queued requests of all services."""
        return sum(len(queue) for queue in self._queues.values())

    async def wait_until_not_empty(self) -> None:
        """Wait until a request is queued, so that an idle process need not poll."""
        if self.count == 0:
            self._has_queued_requests.clear()
            await self._has_queued_requests.wait()

    async def wait_for_target(
        self, request: ProxyRequest, *, caller: ServerConnection, size_bytes: int
    ) -> str | None:
        """Wait for a slot; return its target, or ``None`` if rejected (at once if full)."""
        if caller.is_disconnected:
            raise CallerDisconnectedError("the caller closed before its request was queued")
        queued = QueuedRequest(size_bytes=size_bytes, deadline_ms=request.deadline_ms)
        service = request.service
        if not self._queue(service).offer(queued, now_ms=now_ms()):
            return None
        await self._has_queued_requests.set()
        caller.on_disconnect = queued.abandon
        try:
            await queued.wait()
        except BaseException:
            queued.is_abandoned = True
            self._release_assigned_slot(queued, service)
            raise
        finally:
            caller.on_disconnect = None
        if queued.is_abandoned or caller.is_disconnected:
            self._release_assigned_slot(queued, service)
            raise CallerDisconnectedError("the caller closed while its request was queued")
        return queued.target_id

    def _release_assigned_slot(self, queued: QueuedRequest, service: Service) -> None:
        if queued.target_id is not None:
            self._release_slot(queued.target_id, service)

    def _queue(self, service: Service) -> ServiceQueue:
        queue = self._queues.get(service.name)
        if queue is None:
            queue = ServiceQueue(service)
            self._queues[service.name] = queue
        queue.update(service)
        return queue

    async def dispatch_all(self) -> None:
        """Assign free slots to the queued requests of all services, by priority."""
        for queue in sorted(self._queues.values(), key=lambda queue: queue.priority_rank):
            await self._dispatch(queue)

    async def dispatch(self, service: Service) -> None:
        """Assign free slots to the queued requests of ``service``."""
        queue = self._queues.get(service.name)
        if queue is not None:
            await self._dispatch(queue)

    async def _dispatch(self, queue: ServiceQueue) -> None:
        while len(queue) > 0:
            current_ms = now_ms()
            target_id = self._load_balancer.choose_target(
                queue.service, now_ms=current_ms, exclude=()
            )
            if target_id is None:
                break
            queued = queue.take(now_ms=current_ms)
            if queued is None:
                self._release_slot(target_id, queue.service)
            else:
                await queued.assign(target_id)
        for queued in queue.expire(now_ms=now_ms()):
            await queued.reject()

    def _release_slot(self, target_id: str, service: Service) -> None:
        event = NotSentEvent(
            service=service.name, target_id=target_id, at_ms=now_ms(), elapsed_ms=0.0
        )
        self._load_balancer.report(event)
