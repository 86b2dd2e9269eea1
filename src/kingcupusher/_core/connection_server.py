"""Accept loop whose cancellation ends the tasks of all connections."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import curio

ACCEPT_RETRY_DELAY_S = 0.05

ConnectionHandler = Callable[[curio.io.Socket], Awaitable[None]]


async def accept_connection(listening: curio.io.Socket) -> curio.io.Socket:
    """Return the next connection; errors of a single one are not raised."""
    while True:
        try:
            sock, _ = await listening.accept()
            return sock
        except OSError:
            # The peer aborted its connection, or no file descriptor is free.
            await curio.sleep(ACCEPT_RETRY_DELAY_S)


async def serve_connections(listening: socket.socket, handler: ConnectionHandler) -> None:
    """Run ``handler`` in a task for each connection until cancelled; then cancel these tasks.

    Takes ownership of the non-blocking socket ``listening``, and closes each connection when its
    handler ends. ``curio.tcp_server`` is not used: a connection that is accepted during its
    cancellation is not cancelled but waited for.
    """
    sockets: dict[curio.Task, curio.io.Socket] = {}

    async def serve(sock: curio.io.Socket) -> None:
        try:
            await handler(sock)
        finally:
            sockets.pop(await curio.current_task(), None)
            await sock.close()

    async with curio.io.Socket(listening) as server:
        try:
            while True:
                sock = await accept_connection(server)
                sockets[await curio.spawn(serve, sock, daemon=True)] = sock
        finally:
            # Nothing is accepted any more, so that no task is added while these end.
            for task, sock in list(sockets.items()):
                await task.cancel()
                # A task that was cancelled before it began has not closed its socket.
                await sock.close()
