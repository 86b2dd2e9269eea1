"""Accepts connections whose pipelined requests are handled at the same time."""

from __future__ import annotations

import socket

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.acceptor import Acceptor
from kingcupusher._http.pipeline import PipelinedConnection, PipelineLimits, RequestHandler

SWEEP_S = 0.1


class PipelineListener:
    """A listening socket with its open connections."""

    __slots__ = ("_acceptor", "_connections", "_handler", "_limits", "_stopping")

    def __init__(
        self, listening: socket.socket, handler: RequestHandler, *, limits: PipelineLimits
    ) -> None:
        self._acceptor = Acceptor(listening, self._serve)
        self._handler = handler
        self._limits = limits
        self._connections: set[PipelinedConnection] = set()
        self._stopping = False

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self._acceptor.address

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def run(self) -> None:
        """Accept connections until cancelled; the open ones are served on."""
        sweeping = await curio.spawn(self._sweep, daemon=True)
        try:
            await self._acceptor.run()
        finally:
            await sweeping.cancel()

    async def _serve(self, sock: curio.io.Socket) -> None:
        connection = PipelinedConnection(sock, limits=self._limits, handler=self._handler)
        connection.stop_requested = self._stopping
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
            await sock.close()

    def start_drain(self) -> None:
        """Let each last response on a connection say that the connection ends."""
        self._stopping = True
        for connection in self._connections:
            connection.stop_requested = True

    async def close(self) -> None:
        """Accept what the system already holds, then stop listening."""
        await self._acceptor.finish()

    async def close_idle(self) -> None:
        """End the connections on which no request is being read or answered."""
        for connection in [c for c in self._connections if c.is_idle]:
            await connection.close()

    async def _sweep(self) -> None:
        while True:
            await curio.sleep(SWEEP_S)
            current_ms = now_ms()
            for connection in list(self._connections):
                if connection.deadline_ms <= current_ms:
                    await connection.close()
