"""State shared by the two ports of the platform stand-in."""

from __future__ import annotations

from collections import Counter

import curio

from kingcupusher._core import now_ms
from standins.platform.faults import Faults
from standins.platform.store import Snapshot, Store
from standins.platform.vms import LaggingVmList


class Platform:
    """Store, VM list, faults and call counts, and the notification of waiting calls."""

    __slots__ = ("_waiting", "call_counts", "faults", "snapshots", "store", "vms")

    def __init__(self, *, vm_list_lag_ms: float) -> None:
        self.store = Store()
        self.vms = LaggingVmList(lag_ms=vm_list_lag_ms)
        self.faults = Faults()
        self.call_counts: Counter[str] = Counter()
        # Snapshot 0 is the empty store.
        self.snapshots: list[Snapshot] = [self.store.snapshot()]
        self._waiting: list[curio.Event] = []

    async def wait_for_change(self) -> None:
        """Wait until :meth:`notify_change` is called."""
        event = curio.Event()
        self._waiting.append(event)
        await event.wait()

    async def notify_change(self) -> None:
        """Wake all waiting calls after a change of the store or the faults."""
        waiting, self._waiting = self._waiting, []
        for event in waiting:
            await event.set()

    async def expire_leases(self) -> None:
        """Remove expired leases with their keys, and wake the watches if there were any."""
        if self.store.expire_leases(now_ms=now_ms()):
            await self.notify_change()
