"""A listening socket that hands each accepted connection to a task of its own."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import curio

from kingcupusher._core.address import Address

ACCEPT_RETRY_S = 0.05

SocketHandler = Callable[[curio.io.Socket], Awaitable[None]]


class Acceptor:
    """Accepts on a listening socket, which it owns from then on."""

    __slots__ = ("_handler", "_sock", "address")

    def __init__(self, listening: socket.socket, handler: SocketHandler) -> None:
        self._sock = curio.io.Socket(listening)
        self._handler = handler
        host, port = listening.getsockname()[:2]
        self.address = Address(host, port)

    async def run(self) -> None:
        """Accept until cancelled."""
        while True:
            try:
                sock, _ = await self._sock.accept()
            except OSError:
                # A caller gave up, or no file descriptor is free; accepting must go on.
                await curio.sleep(ACCEPT_RETRY_S)
                continue
            await self._start(sock)

    async def finish(self) -> None:
        """Accept what the system already holds, which closing would reset, and stop listening."""
        with suppress(OSError):
            while True:
                sock, _ = self._sock._socket.accept()
                await self._start(curio.io.Socket(sock))
        await self.close()

    async def close(self) -> None:
        """Stop listening."""
        await self._sock.close()

    async def _start(self, sock: curio.io.Socket) -> None:
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await curio.spawn(self._handler, sock, daemon=True)
