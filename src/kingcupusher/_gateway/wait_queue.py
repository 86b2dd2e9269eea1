"""Requests of one service that wait for a good place at a target."""

from __future__ import annotations

from collections.abc import Collection

import curio

from kingcupusher._core import now_ms
from kingcupusher._discovery import ServiceConfig
from kingcupusher._gateway.load_probe import ProbedTarget
from kingcupusher._gateway.selector import Selector
from kingcupusher._routing.acceptance import AcceptanceCriteria

POLL_S = 0.06
POLL_ASK_COUNT = 3


class Waiter:
    """One request that waits; ``answer`` is its place when one was found."""

    __slots__ = ("answer", "exclude", "order", "criteria", "woken", "typical_ms")

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
        self.order = (priority, received_ms)
        self.typical_ms = typical_ms
        self.woken = curio.Event()
        self.answer: ProbedTarget | None = None

    def rank(self, *, now_ms: float) -> tuple[bool, int, float]:
        """Return the waiter's position: those that can still be in time go first."""
        is_late = not self.criteria.can_meet_objective(typical_ms=self.typical_ms, now_ms=now_ms)
        return (is_late, *self.order)


class Line:
    """The waiting requests of one service; one task asks targets on behalf of all of them."""

    __slots__ = ("_freed", "_pump", "_selector", "_service", "_waiters")

    def __init__(self, selector: Selector) -> None:
        self._selector = selector
        self._waiters: list[Waiter] = []
        self._freed = curio.Event()
        self._pump: curio.Task | None = None
        self._service: ServiceConfig | None = None

    def __len__(self) -> int:
        return len(self._waiters)

    async def wait(self, waiter: Waiter, service: ServiceConfig) -> ProbedTarget | None:
        """Wait for a place until the end of the waiter's patience."""
        self._service = service
        self._waiters.append(waiter)
        if self._pump is None:
            self._pump = await curio.spawn(self._run, daemon=True)
        try:
            wait_s = max(0.0, (waiter.criteria.wait_until_ms - now_ms()) / 1000.0)
            await curio.ignore_after(wait_s, waiter.woken.wait)
            answer, waiter.answer = waiter.answer, None
            return answer
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            if waiter.answer is not None:
                await self._selector.give_back([waiter.answer])

    async def on_freed(self) -> None:
        """Note that a target of the service has finished a request of this entry."""
        if self._waiters:
            await self._freed.set()

    async def _run(self) -> None:
        try:
            while self._waiters:
                await self._serve_waiters()
                self._freed.clear()
                await curio.ignore_after(POLL_S, self._freed.wait)
        finally:
            self._pump = None

    async def _serve_waiters(self) -> None:
        assert self._service is not None
        survey = await self._selector.survey(
            self._service, exclude=(), count=POLL_ASK_COUNT, deadline_ms=float("inf")
        )
        left = list(survey.usable)
        try:
            current_ms = now_ms()
            for waiter in sorted(self._waiters, key=lambda w: w.rank(now_ms=current_ms)):
                answer = self._place_for(waiter, left)
                if answer is None:
                    continue
                left.remove(answer)
                waiter.answer = answer
                self._waiters.remove(waiter)
                await waiter.woken.set()
        finally:
            await self._selector.give_back(left)

    def _place_for(self, waiter: Waiter, answers: list[ProbedTarget]) -> ProbedTarget | None:
        for answer in answers:
            if answer.target.target_id in waiter.exclude:
                continue
            if self._selector.suits(answer, waiter.criteria):
                return answer
            return None
        return None
