"""Queue of requests of one service that wait for an acceptable target."""

from __future__ import annotations

from math import inf
from random import Random

import curio
from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._discovery import ServiceConfig
from kingcupusher._gateway.error_responses import ErrorResponse, deadline_unreachable, queue_full
from kingcupusher._gateway.load_probe import ProbedTarget
from kingcupusher._gateway.selector import TargetSelector
from kingcupusher._limits.fair_order import FairOrder, Waiting
from kingcupusher._limits.wait_forecast import WaitForecast
from kingcupusher._routing.acceptance import AcceptanceCriteria

POLL_INTERVAL_S = 0.06
POLL_PROBE_COUNT = 3
MAX_PASSED_OVER = 8
"""At most this many requests that accept none of the targets found are passed over in a round."""
FASTEST_SHARE = 0.5
"""A request still waits if this share of its usual time fits before its deadline: the usual time is
a mean, and some requests are much faster than the others of their route."""
REFUSAL_MARGIN = 2.0
"""A request is refused on arrival if its forecast exceeds its wait by this factor: some of those
before it leave without a target when their own wait ends."""


class WaitingRequest:
    """A waiting request; ``assigned`` is its target once one is found."""

    __slots__ = (
        "assigned",
        "criteria",
        "customer",
        "deadline_ms",
        "late_at_ms",
        "priority",
        "received_ms",
        "typical_ms",
        "wakeup",
    )

    def __init__(
        self,
        criteria: AcceptanceCriteria,
        *,
        priority: int,
        customer: str | None,
        received_ms: float,
        deadline_ms: float,
        typical_ms: float,
    ) -> None:
        self.criteria = criteria
        self.priority = priority
        self.customer = customer
        self.received_ms = received_ms
        self.deadline_ms = deadline_ms
        self.typical_ms = typical_ms
        self.wakeup = curio.Event()
        self.assigned: ProbedTarget | None = None
        self.late_at_ms = criteria.objective_end_ms - typical_ms
        if customer is not None and self.late_at_ms <= now_ms():
            # It counts as on time: as late, it would wait behind all on-time requests of others.
            self.late_at_ms = inf

    @property
    def wait_until_ms(self) -> float:
        """End of the wait: a target found later could not complete the request any more."""
        latest_ms = self.deadline_ms - self.typical_ms * FASTEST_SHARE
        return min(self.criteria.wait_until_ms, latest_ms)

    @property
    def is_in_time(self) -> bool:
        """Whether a target at usual speed may still complete the request before its deadline."""
        return now_ms() + self.typical_ms * FASTEST_SHARE <= self.deadline_ms


class Refusal(Struct, frozen=True):
    """Refusal of a request instead of its wait, and the forecast that caused it."""

    response: ErrorResponse
    ahead: int
    min_wait_ms: float


class WaitQueue:
    """Waiting requests of one service; one task probes targets on behalf of all of them."""

    __slots__ = (
        "_capacity_freed",
        "_dispatcher",
        "_forecast",
        "_order",
        "_selector",
        "_service",
    )

    def __init__(self, selector: TargetSelector) -> None:
        self._selector = selector
        self._order: FairOrder[WaitingRequest] = FairOrder()
        self._forecast = WaitForecast(Random())
        self._capacity_freed = curio.Event()
        self._dispatcher: curio.Task | None = None
        self._service: ServiceConfig | None = None

    def __len__(self) -> int:
        return len(self._order)

    def refusal(self, request: WaitingRequest) -> Refusal | None:
        """Return why a wait of the request would be in vain, or None if it may get a target."""
        current_ms = now_ms()
        ahead = self._count_ahead(request, current_ms)
        min_wait_ms = self._forecast.min_wait_ms(ahead, now_ms=current_ms)
        if not request.is_in_time:
            response = deadline_unreachable(self._retry_after_ms(request, ahead, current_ms))
        elif ahead and min_wait_ms > REFUSAL_MARGIN * (request.wait_until_ms - current_ms):
            response = queue_full(self._retry_after_ms(request, ahead, current_ms))
        else:
            return None
        return Refusal(response, ahead, min_wait_ms)

    def retry_after_ms(self, request: WaitingRequest) -> float:
        """Return when the caller should come back after a wait in vain."""
        current_ms = now_ms()
        return self._retry_after_ms(request, self._count_ahead(request, current_ms), current_ms)

    def record_last_probe(self, probed: ProbedTarget | None) -> None:
        """Record whether a request got a target by the probe at the end of its wait."""
        self._forecast.on_wait_ended(is_served=probed is not None, now_ms=now_ms())

    async def wait(self, request: WaitingRequest, service: ServiceConfig) -> ProbedTarget | None:
        """Wait for a target until ``wait_until_ms``; return None without one."""
        self._service = service
        waiting = self._order.add(
            request,
            priority=request.priority,
            customer=request.customer,
            received_ms=request.received_ms,
            late_at_ms=request.late_at_ms,
        )
        self._record_length()
        try:
            if self._dispatcher is None:
                self._dispatcher = await curio.spawn(self._run, daemon=True)
            wait_s = max(0.0, (request.wait_until_ms - now_ms()) / 1000.0)
            await curio.ignore_after(wait_s, request.wakeup.wait)
            assigned, request.assigned = request.assigned, None
            return assigned
        finally:
            self._order.remove(waiting)
            self._record_length()
            if request.assigned is not None:
                await self._selector.release([request.assigned])

    async def notify_capacity(self) -> None:
        """Wake the dispatcher, since a target has finished a request of this entry."""
        if self._order:
            await self._capacity_freed.set()

    async def _run(self) -> None:
        try:
            while self._order:
                self._capacity_freed.clear()
                await self._assign_targets()
                await curio.ignore_after(POLL_INTERVAL_S, self._capacity_freed.wait)
        finally:
            self._dispatcher = None

    async def _assign_targets(self) -> None:
        assert self._service is not None
        results = await self._selector.probe_targets(
            self._service, exclude=(), count=POLL_PROBE_COUNT, deadline_ms=float("inf")
        )
        unassigned = list(results.usable)
        unplaced: list[Waiting[WaitingRequest]] = []
        try:
            while unassigned and len(unplaced) < MAX_PASSED_OVER:
                waiting = self._order.first(now_ms=now_ms())
                if waiting is None:
                    break
                assigned = self._selector.claim_first(
                    unassigned, self._service, criteria=waiting.item.criteria
                )
                if assigned is None:
                    self._order.set_aside(waiting)
                    unplaced.append(waiting)
                    continue
                unassigned.remove(assigned)
                waiting.item.assigned = assigned
                self._order.serve(waiting)
                self._forecast.on_assigned(now_ms=now_ms())
                await waiting.item.wakeup.set()
        finally:
            for waiting in unplaced:
                self._order.put_back(waiting)
            self._record_length()
            await self._selector.release(unassigned)

    def _count_ahead(self, request: WaitingRequest, current_ms: float) -> int:
        return self._order.count_ahead(
            priority=request.priority,
            customer=request.customer,
            late_at_ms=request.late_at_ms,
            now_ms=current_ms,
        )

    def _retry_after_ms(self, request: WaitingRequest, ahead: int, current_ms: float) -> float:
        left_ms = request.deadline_ms - current_ms
        return self._forecast.retry_after_ms(ahead, left_ms=left_ms, now_ms=current_ms)

    def _record_length(self) -> None:
        self._forecast.on_length(len(self._order), now_ms=now_ms())
