"""Operations of non-blocking sockets."""

from __future__ import annotations

import socket

import curio


async def send_all(sock: curio.io.Socket, data: bytes) -> None:
    """Write ``data``; tries a plain ``send`` first, as most messages fit into the socket buffer."""
    try:
        sent = sock._socket_send(data)
    except BlockingIOError:
        sent = 0
    if sent < len(data):
        await sock.sendall(memoryview(data)[sent:])


def has_received(sock: curio.io.Socket) -> bool:
    """Return whether bytes, the end or an error wait to be read."""
    try:
        sock._socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
