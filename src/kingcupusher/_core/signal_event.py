"""Event that a signal handler or a task may set."""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterable

import curio.io

MAX_CLEARED_BYTES = 1_024


class SignalEvent:
    """An event that a signal handler may set.

    curio's universal event decides from the calling frame whether ``set`` is a coroutine. In a
    handler that interrupts a coroutine, ``set`` returns a coroutine that is never awaited, and
    the signal is lost. Writing a byte to a socket pair works from any frame.
    """

    __slots__ = ("_reader", "_writer")

    def __init__(self) -> None:
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._reader = curio.io.Socket(reader)

    def set_on_signals(self, signals: Iterable[signal.Signals]) -> None:
        """Set the event when one of ``signals`` arrives."""
        for number in signals:
            signal.signal(number, lambda *_: self.set())

    def set(self) -> None:
        """Set the event; it stays set."""
        try:
            self._writer.send(b"\0")
        except BlockingIOError:
            return

    async def wait(self) -> None:
        """Wait until the event is set."""
        await self._reader.recv(1, socket.MSG_PEEK)

    async def wait_and_clear(self) -> None:
        """Wait until the event is set, and clear it."""
        await self._reader.recv(MAX_CLEARED_BYTES)
