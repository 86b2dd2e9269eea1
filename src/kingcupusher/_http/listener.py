"""Accepts caller connections and runs a handler for each."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._core.startup import listen
from kingcupusher._http.acceptor import Acceptor
from kingcupusher._http.server_connection import ServerConnection, ServerLimits

BACKLOG = 512
SWEEP_S = 0.25
DRAIN_CHECK_S = 0.02

ConnectionHandler = Callable[[ServerConnection], Awaitable[None]]


class Listener:
    """A listening socket with its open connections.

    One periodic sweep enforces the idle and head deadlines of all connections, so that these
    deadlines cost nothing per request.
    """

    __slots__ = (
        "_acceptor",
        "_connections",
        "_cut_ms",
        "_grace_end_ms",
        "_handler",
        "_limits",
        "_stopping",
    )

    def __init__(
        self, address: Address, handler: ConnectionHandler, *, limits: ServerLimits
    ) -> None:
        self._acceptor = Acceptor(listen(address, backlog=BACKLOG), self._serve)
        self._handler = handler
        self._limits = limits
        self._connections: set[ServerConnection] = set()
        self._stopping = curio.Event()
        self._grace_end_ms = 0.0
        self._cut_ms = 0.0

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self._acceptor.address

    @property
    def connection_count(self) -> int:
        """Number of open caller connections."""
        return len(self._connections)

    async def run(self) -> None:
        """Accept and serve connections until :meth:`stop` has ended all of them."""
        accepting = await curio.spawn(self._acceptor.run)
        sweeping = await curio.spawn(self._sweep)
        try:
            await self._stopping.wait()
            await accepting.cancel()
            await self._acceptor.finish()
            await self._finish_connections()
        finally:
            await accepting.cancel()
            await sweeping.cancel()
            await self._acceptor.close()

    async def _serve(self, sock: curio.io.Socket) -> None:
        task = await curio.current_task()
        connection = ServerConnection(sock, task=task, limits=self._limits)
        connection.stop_requested = self._stopping.is_set()
        self._connections.add(connection)
        reader = await curio.spawn(connection.read_socket, daemon=True)
        try:
            await self._handler(connection)
        finally:
            self._connections.discard(connection)
            await reader.cancel()
            await sock.close()

    async def _sweep(self) -> None:
        while True:
            await curio.sleep(SWEEP_S)
            await self._wake_expired()

    async def _wake_expired(self) -> None:
        current_ms = now_ms()
        for connection in list(self._connections):
            if connection.deadline_ms <= current_ms:
                await connection.wake()

    async def stop(self, *, grace_ms: float, deadline_ms: float) -> None:
        """Accept no more, let requests in flight finish, then end :meth:`run`.

        An idle connection stays open for ``grace_ms``, because a request may be on its way; a
        response sent from now on says ``Connection: close``. What is still open at
        ``deadline_ms`` is cut.
        """
        self._grace_end_ms = now_ms() + grace_ms
        self._cut_ms = deadline_ms
        for connection in self._connections:
            connection.stop_requested = True
        await self._stopping.set()

    async def _finish_connections(self) -> None:
        while self._connections and now_ms() < self._cut_ms:
            if now_ms() >= self._grace_end_ms:
                await self._close_idle()
            await curio.sleep(DRAIN_CHECK_S)
        for connection in list(self._connections):
            await connection.task.cancel()

    async def _close_idle(self) -> None:
        for connection in list(self._connections):
            if connection.is_idle:
                connection.deadline_ms = 0.0
                await connection.wake()
