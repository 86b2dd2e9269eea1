"""Serves callers: admits each request, sends it to targets and responds."""

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
from kingcupusher._proxy.outcome import rejection, respond
from kingcupusher._proxy.silence import SilenceWatch
from kingcupusher._proxy.tracing import NO_TRACER, Tracer
from kingcupusher._proxy.waiting import WaitingRoom

PUMP_S = 0.02
DRAIN_GRACE_MS = 500.0
STATUS_REQUEST_TIMEOUT = 408


class Proxy:
    """The request path of an entry."""

    __slots__ = ("_directory", "_limits", "_listeners", "_silence", "_tracer", "_waiting")

    def __init__(
        self,
        directory: LoadBalancer,
        *,
        limits: ServerLimits | None = None,
        tracer: Tracer = NO_TRACER,
    ) -> None:
        self._tracer = tracer
        self._directory = directory
        self._limits = limits or ServerLimits()
        self._listeners: list[Listener] = []
        self._waiting = WaitingRoom(directory)
        self._silence = SilenceWatch()

    def listen(self, address: Address) -> Listener:
        """Open a listening socket; with port 0 the system chooses the port."""
        listener = Listener(address, self._handle, limits=self._limits)
        self._listeners.append(listener)
        return listener

    async def serve(self, address: Address) -> None:
        """Serve callers on ``address`` until :meth:`drain` has completed."""
        await self.run(self.listen(address))

    async def run(self, listener: Listener) -> None:
        """Serve the callers of ``listener`` until :meth:`drain` has completed."""
        pump = await curio.spawn(self._pump_regularly)
        sweep = await curio.spawn(self._silence.run)
        try:
            await listener.run()
        finally:
            await pump.cancel()
            await sweep.cancel()

    async def drain(self, *, deadline_ms: float, grace_ms: float = DRAIN_GRACE_MS) -> None:
        """Stop accepting, finish the requests in flight, then let :meth:`serve` return."""
        for listener in self._listeners:
            await listener.drain(grace_ms=grace_ms, deadline_ms=deadline_ms)

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a target."""
        return self._waiting.count

    async def pump(self) -> None:
        """Give waiting requests a target; call it when targets became usable."""
        await self._waiting.pump_all()

    async def _pump_regularly(self) -> None:
        while True:
            await self._waiting.wait_for_waiters()
            await curio.sleep(PUMP_S)
            await self._waiting.pump_all()

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
            # A request may be on its way; its caller must learn that it was not read.
            await self._refuse(caller, STATUS_REQUEST_TIMEOUT, "the entry closes idle connections")
        if not caller.is_disconnected:
            await caller.linger_and_close()

    async def _refuse(self, caller: ServerConnection, status: int, reason: str) -> None:
        try:
            await respond(caller, rejection(status, reason))
        except CallerDisconnectedError:
            return

    async def _serve_request(self, caller: ServerConnection, head: RequestHead) -> None:
        try:
            request = classify(head, self._directory, received_ms=caller.received_ms)
        except RejectedError as error:
            await respond(caller, rejection(error.status, str(error)))
            return
        span = self._tracer.begin(
            head.headers, service=request.service.name, request_id=request.request_id
        )
        exchange = Exchange(
            request,
            caller=caller,
            directory=self._directory,
            waiting=self._waiting,
            silence=self._silence,
        )
        try:
            await exchange.run()
        finally:
            span.end(status=caller.response_status)
