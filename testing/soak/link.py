"""Loopback proxy that delays, resets, silences or refuses connections."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address

RECEIVE_BYTES = 65_536
RESET_LINGER = struct.pack("ii", 1, 0)
POLL_S = 0.02


class Link:
    """Forwards connections to ``upstream``. A fault holds until ``until_ms``.

    ``delay`` holds bytes back for 200 ms, ``mute_up`` and ``mute_down`` hold them back in one
    direction until the fault ends, ``refuse`` resets new connections, ``reset`` all of them.
    """

    def __init__(self, address: Address, upstream: Address) -> None:
        self.address = address
        self.upstream = upstream
        self.fault = ""
        self.until_ms = 0.0
        self._sockets: set[curio.io.Socket] = set()

    def set_fault(self, fault: str, *, for_ms: float) -> None:
        """Start a fault."""
        self.fault, self.until_ms = fault, now_ms() + for_ms
        if fault == "reset":
            for sock in list(self._sockets):
                _reset(sock)

    def has_fault(self, *faults: str) -> bool:
        """Whether one of ``faults`` holds now."""
        return self.fault in faults and now_ms() < self.until_ms

    async def run(self) -> None:
        """Forward until cancelled."""
        await curio.tcp_server(
            self.address.host, self.address.port, self._serve, backlog=512, reuse_address=True
        )

    async def _serve(self, client: curio.io.Socket, _peer: object) -> None:
        if self.has_fault("refuse", "reset"):
            _reset(client)
            return
        try:
            server = await curio.open_connection(self.upstream.host, self.upstream.port)
        except OSError:
            _reset(client)
            return
        self._sockets |= {client, server}
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._pump, client, server, "mute_up")
                await group.spawn(self._pump, server, client, "mute_down")
        finally:
            self._sockets -= {client, server}
            await server.close()
            await client.close()

    async def _pump(self, source: curio.io.Socket, sink: curio.io.Socket, mute: str) -> None:
        with suppress(OSError):
            while data := await source.recv(RECEIVE_BYTES):
                if self.has_fault("delay"):
                    await curio.sleep(0.2)
                while self.has_fault(mute):
                    await curio.sleep(POLL_S)
                await sink.sendall(data)


def _reset(sock: curio.io.Socket) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        sock._socket.shutdown(socket.SHUT_RDWR)
