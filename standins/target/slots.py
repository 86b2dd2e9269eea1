"""Slots in which a target does its work, with a first-in first-out queue."""

from __future__ import annotations

from collections import deque

import curio
from msgspec import Struct

from kingcupusher._core import now_ms


class _Waiter(Struct, eq=False):
    event: curio.Event
    start_ms: float = 0.0
    granted: bool = False


class SlotPool:
    """A fixed number of slots; work that finds none free waits in order of arrival.

    Work that waited starts at the instant at which the earlier work was due to end, not at the
    instant at which the timer fired. Late timers therefore take no slot capacity.
    """

    __slots__ = ("_free", "_waiters", "size")

    def __init__(self, size: int) -> None:
        self.size = size
        self._free = size
        self._waiters: deque[_Waiter] = deque()

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return self.size - self._free

    @property
    def waiting(self) -> int:
        """Number of pieces of work that wait for a slot."""
        return len(self._waiters)

    async def acquire(self) -> float:
        """Take a slot and return the instant in milliseconds at which the work starts."""
        if self._free:
            self._free -= 1
            return now_ms()
        waiter = _Waiter(curio.Event())
        self._waiters.append(waiter)
        try:
            await waiter.event.wait()
        except BaseException:
            await self._withdraw(waiter)
            raise
        return waiter.start_ms

    async def release(self, *, end_ms: float) -> None:
        """Give back a slot whose work was due to end at ``end_ms``."""
        if not self._waiters:
            self._free += 1
            return
        waiter = self._waiters.popleft()
        waiter.start_ms = min(end_ms, now_ms())
        waiter.granted = True
        await waiter.event.set()

    async def _withdraw(self, waiter: _Waiter) -> None:
        if waiter.granted:
            await self.release(end_ms=waiter.start_ms)
        else:
            self._waiters.remove(waiter)
