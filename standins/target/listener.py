"""Accepts connections, and carries out restarts of the simulated server."""

from __future__ import annotations

import socket

import curio

from kingcupusher._core import now_ms
from standins.signals import TerminationSignal
from standins.target.connection import TargetConnection
from standins.target.control import serve_control
from standins.target.settings import TargetSettings
from standins.target.simulated_server import SimulatedServer

BACKLOG = 512
POLL_INTERVAL_S = 0.02


class TargetListener:
    """Owns the listening socket and the open connections of a simulated server."""

    __slots__ = ("_connections", "_server")

    def __init__(self, server: SimulatedServer) -> None:
        self._server = server
        self._connections: set[TargetConnection] = set()

    async def run(self) -> None:
        """Serve until cancelled; at a restart reset connections and stop listening for a time."""
        while True:
            acceptor = await curio.spawn(self._accept_connections)
            await self._server.restart_requested.wait()
            await acceptor.cancel()
            await self._reset_connections()
            await curio.sleep(self._server.settings.restart_ms / 1000.0)
            self._server.reboot()

    async def _accept_connections(self) -> None:
        address = self._server.settings.address
        listener = curio.tcp_server_socket(address.host, address.port, backlog=BACKLOG)
        async with listener:
            while True:
                client, _peer = await listener.accept()
                await self._open_connection(client)

    async def _open_connection(self, client: curio.io.Socket) -> None:
        counters = self._server.activity_log.counters
        if len(self._connections) >= self._server.settings.connections:
            counters.connections_refused += 1
            await client.close()
            return
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        counters.connections_opened += 1
        connection = TargetConnection(client, self._server, number=counters.connections_opened)
        self._connections.add(connection)
        self._server.connections = len(self._connections)
        counters.max_connections = max(counters.max_connections, len(self._connections))
        connection.task = await curio.spawn(self._serve, connection, daemon=True)

    async def _serve(self, connection: TargetConnection) -> None:
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
            self._server.connections = len(self._connections)

    async def _reset_connections(self) -> None:
        for connection in list(self._connections):
            connection.reset()
            await connection.task.cancel()


async def run_target(settings: TargetSettings) -> None:
    """Run a target until SIGTERM, then drain and return."""
    terminated = TerminationSignal()
    server = SimulatedServer(settings)
    listener_task = await curio.spawn(TargetListener(server).run, daemon=True)
    control_task = await curio.spawn(serve_control, settings.control, server, daemon=True)
    await terminated.wait()
    await _drain(server)
    await control_task.cancel()
    await listener_task.cancel()


async def _drain(server: SimulatedServer) -> None:
    server.draining = True
    server.record_state()
    linger_until_ms = now_ms() + server.settings.linger_ms
    while server.cold_start.in_flight or now_ms() < linger_until_ms:
        await curio.sleep(POLL_INTERVAL_S)
