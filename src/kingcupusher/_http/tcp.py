"""TCP connections to IP addresses, and keepalive."""

from __future__ import annotations

import socket

import curio.io

from kingcupusher._core.address import Address

KEEPALIVE_INTERVAL_S = 1
TCP_USER_TIMEOUT_MS = 2_000


async def connect(address: Address, *, receive_buffer_bytes: int | None = None) -> curio.io.Socket:
    """Open a connection; raise :class:`OSError` on failure.

    ``receive_buffer_bytes`` bounds what the kernel keeps for this process to read; None leaves
    that to the kernel.

    ``curio.open_connection`` is not used because it resolves even an IP address in a worker
    thread, which costs a thread switch per connection.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = curio.io.Socket(socket.socket(family, socket.SOCK_STREAM))
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if receive_buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        await sock.connect((address.host, address.port))
    except BaseException:
        await sock.close()
        raise
    return sock


def enable_tcp_keepalive(sock: curio.io.Socket) -> None:
    """Make the kernel close the connection if the peer acknowledges nothing for some seconds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
