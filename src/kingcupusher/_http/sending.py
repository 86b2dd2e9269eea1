"""Writes to non-blocking sockets."""

from __future__ import annotations

import curio


async def send_all(sock: curio.io.Socket, data: bytes) -> None:
    """Write ``data``; tries a plain ``send`` first, as most messages fit into the socket buffer."""
    try:
        sent = sock._socket_send(data)
    except BlockingIOError:
        sent = 0
    if sent < len(data):
        await sock.sendall(memoryview(data)[sent:])
