"""Serves caller connections: classifies each request and forwards it to targets."""

from __future__ import annotations

import curio

from kingcupusher._core.address import Address
from kingcupusher._http.errors import BadRequestError, CallerDisconnectedError
from kingcupusher._http.heads import RequestHead
from kingcupusher._http.listener import Listener
from kingcupusher._http.server_connection import ServerConnection, ServerLimits
from kingcupusher._proxy.classify import classify
from kingcupusher._proxy.errors import RejectedError
from kingcupusher._proxy.exchange import Exchange
from kingcupusher._proxy.load_balancer import LoadBalancer
from kingcupusher._proxy.outcome import not_run_response, respond
from kingcupusher._proxy.request_queues import RequestQueues
from kingcupusher._proxy.response_timeouts import ResponseTimeouts
from kingcupusher._proxy.tracing import NO_TRACER, Tracer

DISPATCH_INTERVAL_S = 0.02
DRAIN_GRACE_MS = 500.0
STATUS_REQUEST_TIMEOUT = 408


class Proxy:
    """The request path of an entry."""

    __slots__ = ("_limits", "_listeners", "_load_balancer", "_queues", "_timeouts", "_tracer")

    def __init__(
        self,
        load_balancer: LoadBalancer,
        *,
        limits: ServerLimits | None = None,
        tracer: Tracer = NO_TRACER,
    ) -> None:
        self._tracer = tracer
        self._load_balancer = load_balancer
        self._limits = limits or ServerLimits()
        self._listeners: list[Listener] = []
        self._queues = RequestQueues(load_balancer)
        self._timeouts = ResponseTimeouts()

    def listen(self, address: Address) -> Listener:
        """Open a listening socket; with port 0 the kernel selects the port."""
        listener = Listener(address, self._handle, limits=self._limits)
        self._listeners.append(listener)
        return listener

    async def serve(self, address: Address) -> None:
        """Serve callers on ``address`` until :meth:`drain` has completed."""
        await self.run(self.listen(address))

    async def run(self, listener: Listener) -> None:
        """Serve the callers of ``listener`` until :meth:`drain` has completed."""
        dispatcher = await curio.spawn(self._dispatch_periodically)
        timeout_checker = await curio.spawn(self._timeouts.run)
        try:
            await listener.run()
        finally:
            await dispatcher.cancel()
            await timeout_checker.cancel()

    async def drain(self, *, deadline_ms: float, grace_ms: float = DRAIN_GRACE_MS) -> None:
        """Stop accepting, finish the requests in flight, then let :meth:`serve` return."""
        for listener in self._listeners:
            await listener.drain(grace_ms=grace_ms, deadline_ms=deadline_ms)

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return self._queues.count

    async def dispatch_queued(self) -> None:
        """Dispatch queued requests; to be called when targets become usable."""
        await self._queues.dispatch_all()

    async def _dispatch_periodically(self) -> None:
        while True:
            await self._queues.wait_until_not_empty()
            await curio.sleep(DISPATCH_INTERVAL_S)
            await self._queues.dispatch_all()

    async def _handle(self, caller: ServerConnection) -> None:
        try:
            while (head := await caller.next_request()) is not None:
                await self._serve_request(caller, head)
                if not caller.can_serve_another():
                    break
        except BadRequestError as error:
            caller.close_after_response = True
            await self._refuse(caller, error.status, str(error))
        except CallerDisconnectedError:
            return
        if caller.is_closed_by_drain:
            # A request may be in transit; its caller must be told that it was not run.
            await self._refuse(caller, STATUS_REQUEST_TIMEOUT, "the entry closes idle connections")
        if not caller.is_disconnected:
            await caller.linger_and_close()

    async def _refuse(self, caller: ServerConnection, status: int, reason: str) -> None:
        try:
            await respond(caller, not_run_response(status, reason))
        except CallerDisconnectedError:
            return

    async def _serve_request(self, caller: ServerConnection, head: RequestHead) -> None:
        try:
            request = classify(head, self._load_balancer, received_ms=caller.received_ms)
        except RejectedError as error:
            await respond(caller, not_run_response(error.status, str(error)))
            return
        span = self._tracer.begin(
            head.headers, service=request.service.name, request_id=request.request_id
        )
        exchange = Exchange(
            request,
            caller=caller,
            load_balancer=self._load_balancer,
            queues=self._queues,
            response_timeouts=self._timeouts,
        )
        try:
            await exchange.run()
        finally:
            span.end(status=caller.response_status)
