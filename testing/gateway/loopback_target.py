"""Base of targets that accept connections on a loopback port."""

from __future__ import annotations

import curio

from kingcupusher._core.address import Address
from kingcupusher._core.connection_server import serve_connections
from kingcupusher._core.startup import listen

LOOPBACK = Address("127.0.0.1", 0)
BACKLOG = 100


class LoopbackTarget:
    """Accepts connections and hands each to ``_on_client``; ``open_count`` are open now."""

    def __init__(self, target_id):
        self.target_id = target_id
        self.open_count = 0
        self.max_open_connections = 0
        self._sock = listen(LOOPBACK, backlog=BACKLOG)
        self.address = Address("127.0.0.1", self._sock.getsockname()[1])
        self._task = None

    async def start(self):
        """Accept connections."""
        self._task = await curio.spawn(
            serve_connections, self._sock, self._on_connection, daemon=True
        )

    async def stop(self):
        """Stop accepting."""
        await self._task.cancel()

    async def _on_connection(self, sock):
        self.open_count += 1
        self.max_open_connections = max(self.max_open_connections, self.open_count)
        try:
            await self._on_client(sock)
        finally:
            self.open_count -= 1

    async def _on_client(self, sock):
        raise NotImplementedError
