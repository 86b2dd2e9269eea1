"""Queue of requests of one service that wait for an acceptable target."""

from __future__ import annotations

from collections.abc import Collection

import curio

from kingcupusher._core import now_ms
from kingcupusher._discovery import ServiceConfig
from kingcupusher._gateway.load_probe import ProbedTarget
from kingcupusher._gateway.selector import TargetSelector
from kingcupusher._routing.acceptance import AcceptanceCriteria

POLL_INTERVAL_S = 0.06
POLL_PROBE_COUNT = 3


class WaitingRequest:
    """A waiting request; ``assigned`` is its target once one is found."""

    __slots__ = ("assigned", "exclude", "priority_key", "criteria", "wakeup", "typical_ms")

    def __init__(
        self,
        criteria: AcceptanceCriteria,
        *,
        exclude: Collection[str],
        priority: int,
        received_ms: float,
        typical_ms: float,
    ) -> None:
        self.criteria = criteria
        self.exclude = exclude
        self.priority_key = (priority, received_ms)
        self.typical_ms = typical_ms
        self.wakeup = curio.Event()
        self.assigned: ProbedTarget | None = None

    def sort_key(self, *, now_ms: float) -> tuple[bool, int, float]:
        """Return the sort key: requests that can still meet their objective go first."""
        is_late = not self.criteria.can_meet_objective(typical_ms=self.typical_ms, now_ms=now_ms)
        return (is_late, *self.priority_key)


class WaitQueue:
    """Waiting requests of one service; one task probes targets on behalf of all of them."""

    __slots__ = ("_capacity_freed", "_dispatcher", "_selector", "_service", "_waiting")

    def __init__(self, selector: TargetSelector) -> None:
        self._selector = selector
        self._waiting: list[WaitingRequest] = []
        self._capacity_freed = curio.Event()
        self._dispatcher: curio.Task | None = None
        self._service: ServiceConfig | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    async def wait(self, waiting: WaitingRequest, service: ServiceConfig) -> ProbedTarget | None:
        """Wait for a target until ``wait_until_ms`` of the criteria; return None without one."""
        self._service = service
        self._waiting.append(waiting)
        if self._dispatcher is None:
            self._dispatcher = await curio.spawn(self._run, daemon=True)
        try:
            wait_s = max(0.0, (waiting.criteria.wait_until_ms - now_ms()) / 1000.0)
            await curio.ignore_after(wait_s, waiting.wakeup.wait)
            assigned, waiting.assigned = waiting.assigned, None
            return assigned
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
            if waiting.assigned is not None:
                await self._selector.release([waiting.assigned])

    async def notify_capacity(self) -> None:
        """Wake the dispatcher, since a target has finished a request of this entry."""
        if self._waiting:
            await self._capacity_freed.set()

    async def _run(self) -> None:
        try:
            while self._waiting:
                await self._assign_targets()
                self._capacity_freed.clear()
                await curio.ignore_after(POLL_INTERVAL_S, self._capacity_freed.wait)
        finally:
            self._dispatcher = None

    async def _assign_targets(self) -> None:
        assert self._service is not None
        results = await self._selector.probe_targets(
            self._service, exclude=(), count=POLL_PROBE_COUNT, deadline_ms=float("inf")
        )
        unassigned = list(results.usable)
        try:
            current_ms = now_ms()
            for waiting in sorted(self._waiting, key=lambda w: w.sort_key(now_ms=current_ms)):
                assigned = self._select_for(waiting, unassigned)
                if assigned is None:
                    continue
                unassigned.remove(assigned)
                waiting.assigned = assigned
                self._waiting.remove(waiting)
                await waiting.wakeup.set()
        finally:
            await self._selector.release(unassigned)

    def _select_for(
        self, waiting: WaitingRequest, available: list[ProbedTarget]
    ) -> ProbedTarget | None:
        assert self._service is not None
        allowed = [p for p in available if p.target.target_id not in waiting.exclude]
        return self._selector.claim_first(allowed, self._service, criteria=waiting.criteria)
