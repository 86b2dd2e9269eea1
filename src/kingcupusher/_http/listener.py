"""Listener that runs a handler for each caller connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._core.startup import listen
from kingcupusher._http.acceptor import Acceptor
from kingcupusher._http.server_connection import ServerConnection, ServerLimits

BACKLOG = 512
DEADLINE_CHECK_INTERVAL_S = 0.25
DRAIN_CHECK_INTERVAL_S = 0.02

ConnectionHandler = Callable[[ServerConnection], Awaitable[None]]


class Listener:
    """A listening socket with its open connections.

    One periodic task enforces the idle and head deadlines of all connections, so that no request
    needs a timer for them.
    """

    __slots__ = (
        "_acceptor",
        "_connections",
        "_abort_ms",
        "_grace_end_ms",
        "_handler",
        "_limits",
        "_draining",
    )

    def __init__(
        self, address: Address, handler: ConnectionHandler, *, limits: ServerLimits
    ) -> None:
        self._acceptor = Acceptor(listen(address, backlog=BACKLOG), self._serve)
        self._handler = handler
        self._limits = limits
        self._connections: set[ServerConnection] = set()
        self._draining = curio.Event()
        self._grace_end_ms = 0.0
        self._abort_ms = 0.0

    @property
    def address(self) -> Address:
        """Address of the listening socket."""
        return self._acceptor.address

    @property
    def connection_count(self) -> int:
        """Number of open caller connections."""
        return len(self._connections)

    async def run(self) -> None:
        """Accept and serve connections until :meth:`drain` has closed all of them."""
        acceptor_task = await curio.spawn(self._acceptor.run)
        deadline_checker = await curio.spawn(self._check_deadlines)
        try:
            await self._draining.wait()
            await acceptor_task.cancel()
            await self._acceptor.accept_backlog_and_close()
            await self._finish_connections()
        finally:
            await acceptor_task.cancel()
            await deadline_checker.cancel()
            await self._acceptor.close()

    async def _serve(self, sock: curio.io.Socket) -> None:
        task = await curio.current_task()
        connection = ServerConnection(sock, task=task, limits=self._limits)
        connection.is_draining = self._draining.is_set()
        self._connections.add(connection)
        reader = await curio.spawn(connection.read_socket, daemon=True)
        try:
            await self._handler(connection)
        finally:
            self._connections.discard(connection)
            await reader.cancel()
            await sock.close()

    async def _check_deadlines(self) -> None:
        while True:
            await curio.sleep(DEADLINE_CHECK_INTERVAL_S)
            await self._wake_overdue()

    async def _wake_overdue(self) -> None:
        current_ms = now_ms()
        for connection in list(self._connections):
            if connection.deadline_ms <= current_ms:
                await connection.wake_handler()

    async def drain(self, *, grace_ms: float, deadline_ms: float) -> None:
        """Stop accepting, let requests in flight finish, then let :meth:`run` return.

        Responses carry ``Connection: close`` from now on. Idle connections stay open for
        ``grace_ms``, because a request may be in transit. Connections that are still open at
        ``deadline_ms`` are aborted.
        """
        self._grace_end_ms = now_ms() + grace_ms
        self._abort_ms = deadline_ms
        for connection in self._connections:
            connection.is_draining = True
        await self._draining.set()

    async def _finish_connections(self) -> None:
        while self._connections and now_ms() < self._abort_ms:
            if now_ms() >= self._grace_end_ms:
                await self._close_idle()
            await curio.sleep(DRAIN_CHECK_INTERVAL_S)
        for connection in list(self._connections):
            await connection.task.cancel()

    async def _close_idle(self) -> None:
        for connection in list(self._connections):
            if connection.is_idle:
                connection.deadline_ms = 0.0
                await connection.wake_handler()
