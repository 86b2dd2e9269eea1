"""Termination signals as a curio event."""

from __future__ import annotations

import signal
import socket

import curio


class TerminationSignal:
    """Becomes readable when the process receives SIGTERM or SIGINT."""

    __slots__ = ("_reader", "_writer")

    def __init__(self) -> None:
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._reader = curio.io.Socket(reader)
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)

    def _on_signal(self, _number: int, _frame: object) -> None:
        try:
            self._writer.send(b"\0")
        except BlockingIOError:
            return

    async def wait(self) -> None:
        """Wait for the first signal."""
        await self._reader.recv(1)
