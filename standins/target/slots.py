"""Concurrency slots of a target, with a first-in first-out queue."""

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
    """A fixed number of slots; work waits in order of arrival while none is free.

    Queued work starts at the time when the previous work was due to end, not when its timer
    fired, so that late timers do not reduce the capacity of the slots.
    """

    __slots__ = ("_free", "_waiters", "slot_count")

    def __init__(self, slot_count: int) -> None:
        self.slot_count = slot_count
        self._free = slot_count
        self._waiters: deque[_Waiter] = deque()

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return self.slot_count - self._free

    @property
    def waiting(self) -> int:
        """Number of queued acquisitions."""
        return len(self._waiters)

    async def acquire(self) -> float:
        """Acquire a slot and return the start time of the work in milliseconds."""
        if self._free:
            self._free -= 1
            return now_ms()
        waiter = _Waiter(curio.Event())
        self._waiters.append(waiter)
        try:
            await waiter.event.wait()
        except BaseException:
            await self._cancel(waiter)
            raise
        return waiter.start_ms

    async def release(self, *, end_ms: float) -> None:
        """Release a slot whose work was due to end at ``end_ms``."""
        if not self._waiters:
            self._free += 1
            return
        waiter = self._waiters.popleft()
        waiter.start_ms = min(end_ms, now_ms())
        waiter.granted = True
        await waiter.event.set()

    async def _cancel(self, waiter: _Waiter) -> None:
        if waiter.granted:
            await self.release(end_ms=waiter.start_ms)
        else:
            self._waiters.remove(waiter)
