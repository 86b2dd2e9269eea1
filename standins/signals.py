"""Lets a curio task wait for SIGTERM or SIGINT."""

from __future__ import annotations

import signal
import socket

import curio


class TerminationSignal:
    """Waits for SIGTERM or SIGINT through a socket pair that the signal handler writes to."""

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
