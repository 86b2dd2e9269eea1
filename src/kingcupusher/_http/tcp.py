"""Opening of TCP connections to IP addresses."""

from __future__ import annotations

import socket

import curio.io

from kingcupusher._core.address import Address

KEEPALIVE_S = 1
SILENCE_MS = 2_000


async def connect(address: Address) -> curio.io.Socket:
    """Open a connection; errors of the operating system pass through.

    ``curio.open_connection`` looks up every host in a worker thread, also one that is an IP
    address, which costs a thread and a switch for each connection.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = curio.io.Socket(socket.socket(family, socket.SOCK_STREAM))
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await sock.connect((address.host, address.port))
    except BaseException:
        await sock.close()
        raise
    return sock


def enable_tcp_keepalive(sock: curio.io.Socket) -> None:
    """Let the system end a connection whose peer does not acknowledge probes for some seconds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)
