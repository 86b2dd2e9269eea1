"""Accepts connections, and restarts the simulated server when it falls over."""

from __future__ import annotations

import socket

import curio

from kingcupusher._core import now_ms
from standins.signals import TerminationSignal
from standins.target.connection import TargetConnection
from standins.target.control import serve_control
from standins.target.machine import Machine
from standins.target.settings import TargetSettings

BACKLOG = 512
POLL_S = 0.02


class TargetServer:
    """Owns the listening socket and the open connections of a machine."""

    __slots__ = ("_connections", "_machine")

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._connections: set[TargetConnection] = set()

    async def run(self) -> None:
        """Serve; after each restart of the machine serve again."""
        while True:
            acceptor = await curio.spawn(self._accept)
            await self._machine.restart.wait()
            await acceptor.cancel()
            await self._reset_connections()
            await curio.sleep(self._machine.settings.restart_ms / 1000.0)
            self._machine.boot()

    async def _accept(self) -> None:
        address = self._machine.settings.address
        listener = curio.tcp_server_socket(address.host, address.port, backlog=BACKLOG)
        async with listener:
            while True:
                client, _peer = await listener.accept()
                await self._admit(client)

    async def _admit(self, client: curio.io.Socket) -> None:
        counters = self._machine.ledger.counters
        if len(self._connections) >= self._machine.settings.connections:
            counters.connections_refused += 1
            await client.close()
            return
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        counters.connections_opened += 1
        connection = TargetConnection(client, self._machine, number=counters.connections_opened)
        self._connections.add(connection)
        self._machine.connections = len(self._connections)
        counters.max_connections = max(counters.max_connections, len(self._connections))
        connection.task = await curio.spawn(self._serve, connection, daemon=True)

    async def _serve(self, connection: TargetConnection) -> None:
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
            self._machine.connections = len(self._connections)

    async def _reset_connections(self) -> None:
        for connection in list(self._connections):
            connection.reset()
            await connection.task.cancel()


async def run_target(settings: TargetSettings) -> None:
    """Run a target until SIGTERM, then drain and return."""
    terminated = TerminationSignal()
    machine = Machine(settings)
    server = await curio.spawn(TargetServer(machine).run, daemon=True)
    control = await curio.spawn(serve_control, settings.control, machine, daemon=True)
    await terminated.wait()
    await _drain(machine)
    await control.cancel()
    await server.cancel()


async def _drain(machine: Machine) -> None:
    machine.draining = True
    machine.note_change()
    linger_until_ms = now_ms() + machine.settings.linger_ms
    while machine.warmth.present or now_ms() < linger_until_ms:
        await curio.sleep(POLL_S)
