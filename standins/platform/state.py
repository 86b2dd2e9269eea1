"""State of one stand-in process and the wake-up of its waiting watches."""

from __future__ import annotations

from collections import Counter

import curio

from kingcupusher._core import now_ms
from standins.platform.faults import Faults
from standins.platform.store import Snapshot, Store
from standins.platform.vms import LaggingVmList


class Platform:
    """Everything that the two ports of one stand-in share."""

    __slots__ = ("_waiting", "counts", "faults", "snapshots", "store", "vms")

    def __init__(self, *, vm_list_lag_ms: float) -> None:
        self.store = Store()
        self.vms = LaggingVmList(lag_ms=vm_list_lag_ms)
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        # Snapshot 0 is the empty store.
        self.snapshots: list[Snapshot] = [self.store.snapshot()]
        self._waiting: list[curio.Event] = []

    async def wait_for_change(self) -> None:
        """Wait until :meth:`notify` is called."""
        event = curio.Event()
        self._waiting.append(event)
        await event.wait()

    async def notify(self) -> None:
        """Wake the waiting watches after a change of the store or the faults."""
        waiting, self._waiting = self._waiting, []
        for event in waiting:
            await event.set()

    async def expire_leases(self) -> None:
        """End the leases whose time is over."""
        if self.store.expire(now_ms=now_ms()):
            await self.notify()
