"""Writes whole messages to a socket."""

from __future__ import annotations

import curio


async def send_all(sock: curio.io.Socket, data: bytes) -> None:
    """Write ``data``; most messages fit into the socket's buffer and need one plain call."""
    try:
        sent = sock._socket_send(data)
    except BlockingIOError:
        sent = 0
    if sent < len(data):
        await sock.sendall(memoryview(data)[sent:])
