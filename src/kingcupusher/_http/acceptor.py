"""Listening socket that starts a task for each accepted connection."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import curio

from kingcupusher._core.address import Address
from kingcupusher._core.connection_server import ConnectionHandler, accept_connection


class Acceptor:
    """Accepts connections on a listening socket and closes it at the end.

    ``make_room`` returns when another connection may be accepted; until then, new ones stay in the
    kernel's backlog.
    """

    __slots__ = ("_handler", "_make_room", "_sock", "address")

    def __init__(
        self,
        listening: socket.socket,
        handler: ConnectionHandler,
        *,
        make_room: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._make_room = make_room
        self._sock = curio.io.Socket(listening)
        self._handler = handler
        host, port = listening.getsockname()[:2]
        self.address = Address(host, port)

    async def run(self) -> None:
        """Accept until cancelled."""
        while True:
            if self._make_room is not None:
                await self._make_room()
            await self._spawn_handler(await accept_connection(self._sock))

    async def accept_backlog_and_close(self) -> None:
        """Accept the connections in the kernel's backlog, which closing would reset, and close."""
        with suppress(OSError):
            while True:
                sock, _ = self._sock._socket.accept()
                await self._spawn_handler(curio.io.Socket(sock))
        # Closed before any other task runs, because what the kernel accepts meanwhile is reset.
        await self.close()
        # The handlers have to run once before they count as open connections.
        await curio.sleep(0)

    async def close(self) -> None:
        """Close the listening socket."""
        await self._sock.close()

    async def _spawn_handler(self, sock: curio.io.Socket) -> None:
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await curio.spawn(self._handler, sock, daemon=True)
