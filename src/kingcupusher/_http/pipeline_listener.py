"""Listener for connections with concurrent handling of pipelined requests."""

from __future__ import annotations

import socket
from collections.abc import Callable

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.acceptor import Acceptor
from kingcupusher._http.caller_resources import RECEIVE_BUFFER_BYTES, CallerResources
from kingcupusher._http.close_reason import CloseReason
from kingcupusher._http.pipeline import PipelinedConnection, RequestHandler
from kingcupusher._http.pipeline_limits import PipelineLimits

DEADLINE_CHECK_INTERVAL_S = 0.1
ROOM_CHECK_INTERVAL_S = 0.01

CloseObserver = Callable[[PipelinedConnection], None]


class PipelineListener:
    """A listening socket and its open connections; ``on_closed`` gets each that has ended."""

    __slots__ = (
        "_acceptor",
        "_connections",
        "_handler",
        "_is_draining",
        "_limits",
        "_on_closed",
        "_resources",
    )

    def __init__(
        self,
        listening: socket.socket,
        handler: RequestHandler,
        *,
        limits: PipelineLimits,
        on_closed: CloseObserver | None = None,
        resources: CallerResources | None = None,
    ) -> None:
        # Accepted sockets inherit the size.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._resources = resources or CallerResources()
        self._acceptor = Acceptor(listening, self._serve, make_room=self._make_room)
        self._handler = handler
        self._limits = limits
        self._connections: set[PipelinedConnection] = set()
        self._is_draining = False
        self._on_closed = on_closed

    @property
    def address(self) -> Address:
        """Address of the listening socket."""
        return self._acceptor.address

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def run(self) -> None:
        """Accept connections until cancelled; open connections continue, with their deadlines."""
        await curio.spawn(self._check_deadlines, daemon=True)
        await self._acceptor.run()

    async def _serve(self, sock: curio.io.Socket) -> None:
        connection = PipelinedConnection(
            sock, limits=self._limits, handler=self._handler, resources=self._resources
        )
        connection.is_draining = self._is_draining
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
            if self._on_closed is not None:
                self._on_closed(connection)
            await sock.close()

    async def _make_room(self) -> None:
        """Wait until one more connection may be accepted; close the one idle for longest for it.

        Without idle ones, new connections wait in the kernel's backlog: closing a connection with a
        request would leave its caller without a response.
        """
        # The connection that was accepted last has to be counted first.
        await curio.sleep(0)
        while len(self._connections) >= self._resources.connection_limit:
            idle = [connection for connection in self._connections if connection.is_idle]
            for connection in sorted(idle, key=lambda connection: connection.idle_since_ms):
                if await connection.close_if_unused():
                    break
            await curio.sleep(ROOM_CHECK_INTERVAL_S if not idle else 0)

    def start_drain(self) -> None:
        """Send ``Connection: close`` with the last response on each connection."""
        self._is_draining = True
        for connection in self._connections:
            connection.is_draining = True

    async def close(self) -> None:
        """Accept the connections in the backlog and close the listening socket."""
        await self._acceptor.accept_backlog_and_close()

    async def close_idle(self) -> None:
        """Close the connections on which no request is being read or handled."""
        for connection in list(self._connections):
            # A request may have come while the connections before this one were closed.
            if connection.is_idle:
                await connection.close(CloseReason.DRAIN)

    async def _check_deadlines(self) -> None:
        while True:
            await curio.sleep(DEADLINE_CHECK_INTERVAL_S)
            current_ms = now_ms()
            for connection in list(self._connections):
                if connection.deadline_ms <= current_ms:
                    await connection.on_deadline()
