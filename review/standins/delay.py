"""Proxy that delays the bytes of both directions, as the distance to the clients does."""

from __future__ import annotations

import asyncio


class DelayProxy:
    """Forwards connections to ``upstream_port``; each byte arrives ``delay_s`` later."""

    def __init__(self, upstream_port: int, *, delay_s: float) -> None:
        self._upstream_port = upstream_port
        self._delay_s = delay_s
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self._upstream_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pass(reader, up_writer), self._pass(up_reader, writer))

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        queue: asyncio.Queue = asyncio.Queue()
        sender = asyncio.create_task(self._send(queue, writer))
        while True:
            try:
                data = await reader.read(65_536)
            except OSError:
                data = None
            await queue.put((loop.time() + self._delay_s, data))
            if not data:
                await sender
                return

    async def _send(self, queue: asyncio.Queue, writer: asyncio.StreamWriter) -> None:
        """Write what arrives in time; b"" is the end of the stream and None a reset."""
        loop = asyncio.get_running_loop()
        while True:
            at, data = await queue.get()
            await asyncio.sleep(max(0.0, at - loop.time()))
            try:
                if data is None:
                    writer.transport.abort()
                    return
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
            except (OSError, RuntimeError):
                writer.transport.abort()
                return
