"""TCP proxy on loopback that delays, stalls, resets or refuses connections."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address

MAX_RECEIVE_BYTES = 65_536
RESET_LINGER = struct.pack("ii", 1, 0)
POLL_INTERVAL_S = 0.02


class FaultyLink:
    """Forwards connections to ``upstream``; a fault is active until ``fault_until_ms``.

    ``delay`` delays data by 200 ms, ``mute_up`` and ``mute_down`` stall one direction until the
    fault ends, ``refuse`` resets new connections, and ``reset`` all connections.
    """

    def __init__(self, address: Address, upstream: Address) -> None:
        self.address = address
        self.upstream = upstream
        self.fault = ""
        self.fault_until_ms = 0.0
        self._sockets: set[curio.io.Socket] = set()

    def set_fault(self, fault: str, *, duration_ms: float) -> None:
        """Start a fault; ``reset`` closes the open connections at once."""
        self.fault, self.fault_until_ms = fault, now_ms() + duration_ms
        if fault == "reset":
            for sock in list(self._sockets):
                _reset(sock)

    def has_active_fault(self, *faults: str) -> bool:
        """Return whether one of ``faults`` is active."""
        return self.fault in faults and now_ms() < self.fault_until_ms

    async def run(self) -> None:
        """Accept and forward connections until cancelled."""
        await curio.tcp_server(
            self.address.host, self.address.port, self._serve, backlog=512, reuse_address=True
        )

    async def _serve(self, client: curio.io.Socket, _peer: object) -> None:
        if self.has_active_fault("refuse", "reset"):
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
                await group.spawn(self._forward, client, server, "mute_up")
                await group.spawn(self._forward, server, client, "mute_down")
        finally:
            self._sockets -= {client, server}
            await server.close()
            await client.close()

    async def _forward(self, source: curio.io.Socket, sink: curio.io.Socket, stall: str) -> None:
        with suppress(OSError):
            while data := await source.recv(MAX_RECEIVE_BYTES):
                if self.has_active_fault("delay"):
                    await curio.sleep(0.2)
                while self.has_active_fault(stall):
                    await curio.sleep(POLL_INTERVAL_S)
                await sink.sendall(data)


def _reset(sock: curio.io.Socket) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        sock._socket.shutdown(socket.SHUT_RDWR)
