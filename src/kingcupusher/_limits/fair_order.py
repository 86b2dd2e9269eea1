"""Order of the waiting requests of a service: start-time fair queueing over customers.

Start-time fair queueing needs no estimate of the work of a request and no weights, and a customer
that was idle gains no credit. Deficit round robin differs by a whole round after each idle time,
and the queues of an entry are shorter than a round. Only the first request of a customer has a tag
here, so that requests that leave without a target cost their customer nothing.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from itertools import count
from typing import Generic, TypeVar

T = TypeVar("T")

ON_TIME, LATE = 0, 1
COMPACT_MIN_ITEMS = 16
"""Heaps are rebuilt when more than half of their items, and of at least this many, have left."""


class Waiting(Generic[T]):
    """A waiting request; it is ``LATE`` from ``late_at_ms`` on, when it misses its objective."""

    __slots__ = (
        "flow",
        "is_removed",
        "is_waiting",
        "item",
        "late_at_ms",
        "level",
        "received_ms",
        "state",
    )

    def __init__(
        self, item: T, level: _Level[T], flow: _Flow[T], received_ms: float, late_at_ms: float
    ) -> None:
        self.item = item
        self.level = level
        self.flow = flow
        self.received_ms = received_ms
        self.late_at_ms = late_at_ms
        self.state = ON_TIME
        self.is_waiting = True
        self.is_removed = False


class _Flow(Generic[T]):
    """Waiting requests of one customer at one priority; ``start`` is the tag of the next one.

    ``number`` decides between equal tags: the customer that began to wait first precedes.
    """

    __slots__ = ("counts", "customer", "number", "queues", "start")

    def __init__(self, customer: str | None) -> None:
        self.customer = customer
        self.number = 0
        self.start = 0
        self.counts = [0, 0]
        self.queues: tuple[list[tuple[float, int, Waiting[T]]], ...] = ([], [])

    def first(self, state: int) -> Waiting[T]:
        """Return the oldest request in ``state``; there must be one."""
        queue = self.queues[state]
        while not (queue[0][2].is_waiting and queue[0][2].state == state):
            heappop(queue)
        return queue[0][2]

    def push(self, number: int, waiting: Waiting[T]) -> None:
        """Add a request in its state."""
        state = waiting.state
        queue = self.queues[state]
        heappush(queue, (waiting.received_ms, number, waiting))
        self.counts[state] += 1
        if len(queue) > 2 * self.counts[state] + COMPACT_MIN_ITEMS:
            queue[:] = [row for row in queue if row[2].is_waiting and row[2].state == state]
            heapify(queue)


class _Level(Generic[T]):
    """Waiting requests of one priority; ``virtual_time`` is the tag that was served last."""

    __slots__ = ("counts", "flows", "heaps", "priority", "virtual_time")

    def __init__(self, priority: int) -> None:
        self.priority = priority
        self.virtual_time = 0
        self.counts = [0, 0]
        self.flows: dict[str | None, _Flow[T]] = {}
        self.heaps: tuple[list[tuple[int, int, int, _Flow[T]]], ...] = ([], [])

    def flow(self, customer: str | None, number: int) -> _Flow[T]:
        """Return the flow of ``customer``; one without waiting requests begins at the present."""
        flow = self.flows.get(customer)
        if flow is None:
            self._drop_idle_flows()
            flow = self.flows[customer] = _Flow(customer)
        if not any(flow.counts):
            flow.start = max(flow.start, self.virtual_time)
            flow.number = number
        return flow

    def push_flow(self, number: int, flow: _Flow[T], state: int) -> None:
        """Queue ``flow`` by its tag."""
        heap = self.heaps[state]
        heappush(heap, (flow.start, flow.number, number, flow))
        if len(heap) > 2 * len(self.flows) + COMPACT_MIN_ITEMS:
            heap[:] = {id(row[3]): row for row in heap if self._is_next(row, state)}.values()
            heapify(heap)

    def first(self, state: int) -> Waiting[T]:
        """Return the first request in ``state``; there must be one."""
        heap = self.heaps[state]
        while not self._is_next(heap[0], state):
            heappop(heap)
        return heap[0][3].first(state)

    @staticmethod
    def _is_next(row: tuple[int, int, int, _Flow[T]], state: int) -> bool:
        start, number, _, flow = row
        return flow.counts[state] > 0 and (flow.start, flow.number) == (start, number)

    def count_ahead(self, customer: str | None, state: int) -> int:
        """Return how many requests in ``state`` precede a new one of ``customer``."""
        own = self.flows.get(customer)
        tag, ahead = self.virtual_time, 0
        is_waiting = own is not None and any(own.counts)
        if own is not None:
            ahead = own.counts[state]
            tag = (own.start if is_waiting else max(own.start, tag)) + ahead
            tag += own.counts[ON_TIME] * state
        for flow in self.flows.values():
            if flow is not own:
                start = flow.start + flow.counts[ON_TIME] * state
                precedes = not (own is not None and is_waiting and own.number < flow.number)
                ahead += min(flow.counts[state], max(0, tag - start + precedes))
        return ahead

    def _drop_idle_flows(self) -> None:
        """Forget customers without waiting requests whose last service is in the past."""
        idle = [
            customer
            for customer, flow in self.flows.items()
            if not any(flow.counts) and flow.start <= self.virtual_time
        ]
        for customer in idle:
            del self.flows[customer]


class FairOrder(Generic[T]):
    """Waiting requests in the order in which they get targets.

    With customers, the priority goes first, then requests that can still meet their objective,
    then the customer that was served least. Without any, requests that can still meet their
    objective go first, then the priority, then the arrival. Adding, serving and removing take
    O(log n); the memory is proportional to the waiting requests and the customers served last.
    """

    __slots__ = ("_late_heap", "_length", "_levels", "_named", "_numbers")

    def __init__(self) -> None:
        self._levels: dict[int, _Level[T]] = {}
        self._late_heap: list[tuple[float, int, Waiting[T]]] = []
        self._length = 0
        self._named = 0
        self._numbers = count()

    def __len__(self) -> int:
        return self._length

    def add(
        self,
        item: T,
        *,
        priority: int,
        customer: str | None,
        received_ms: float,
        late_at_ms: float,
    ) -> Waiting[T]:
        """Add a request; keep the result to serve or remove it."""
        level = self._level(priority)
        flow = level.flow(customer, next(self._numbers))
        waiting = Waiting(item, level, flow, received_ms, late_at_ms)
        self._length += 1
        self._named += customer is not None
        self._enter(waiting)
        return waiting

    def first(self, *, now_ms: float) -> Waiting[T] | None:
        """Return the request that is next to get a target."""
        self._mark_late(now_ms)
        priorities = sorted(self._levels)
        pairs = (
            [(p, state) for p in priorities for state in (ON_TIME, LATE)]
            if self._named
            else [(p, state) for state in (ON_TIME, LATE) for p in priorities]
        )
        for priority, state in pairs:
            level = self._levels[priority]
            if level.counts[state]:
                return level.first(state)
        return None

    def serve(self, waiting: Waiting[T]) -> None:
        """Remove a request that got a target, and charge it to its customer."""
        level, flow = waiting.level, waiting.flow
        self._leave(waiting)
        level.virtual_time = max(level.virtual_time, flow.start)
        flow.start += 1
        for state in (ON_TIME, LATE):
            if flow.counts[state]:
                level.push_flow(next(self._numbers), flow, state)
        self._drop_empty_levels()

    def remove(self, waiting: Waiting[T]) -> None:
        """Remove a request that got no target; its customer is not charged."""
        waiting.is_removed = True
        if waiting.is_waiting:
            self._leave(waiting)
            self._drop_empty_levels()

    def set_aside(self, waiting: Waiting[T]) -> None:
        """Take a request out for now, so that others can be considered."""
        self._leave(waiting)

    def put_back(self, waiting: Waiting[T]) -> None:
        """Undo :meth:`set_aside`, unless the request was removed in the meantime."""
        if waiting.is_removed:
            return
        waiting.is_waiting = True
        waiting.level = self._level(waiting.level.priority)
        waiting.flow = waiting.level.flow(waiting.flow.customer, next(self._numbers))
        self._length += 1
        self._named += waiting.flow.customer is not None
        self._enter(waiting)

    def count_ahead(
        self, *, priority: int, customer: str | None, late_at_ms: float, now_ms: float
    ) -> int:
        """Return how many of the waiting requests precede a new one; takes O(customers)."""
        self._mark_late(now_ms)
        state = LATE if late_at_ms < now_ms else ON_TIME
        has_customers = self._named > 0 or customer is not None
        ahead = 0
        for other, level in self._levels.items():
            if other == priority:
                ahead += level.count_ahead(customer, state) + (level.counts[ON_TIME] * state)
            elif other < priority:
                ahead += level.counts[ON_TIME]
                ahead += level.counts[LATE] if has_customers or state == LATE else 0
            elif state == LATE and not has_customers:
                ahead += level.counts[ON_TIME]
        return ahead

    def _level(self, priority: int) -> _Level[T]:
        level = self._levels.get(priority)
        if level is None:
            level = self._levels[priority] = _Level(priority)
        return level

    def _enter(self, waiting: Waiting[T]) -> None:
        flow, state = waiting.flow, waiting.state
        flow.push(next(self._numbers), waiting)
        waiting.level.counts[state] += 1
        if flow.counts[state] == 1:
            waiting.level.push_flow(next(self._numbers), flow, state)
        if state == ON_TIME:
            heappush(self._late_heap, (waiting.late_at_ms, next(self._numbers), waiting))
            if len(self._late_heap) > 2 * self._length + COMPACT_MIN_ITEMS:
                self._late_heap = [row for row in self._late_heap if row[2].is_waiting]
                heapify(self._late_heap)

    def _leave(self, waiting: Waiting[T]) -> None:
        waiting.is_waiting = False
        flow = waiting.flow
        flow.counts[waiting.state] -= 1
        if not flow.counts[waiting.state]:
            flow.queues[waiting.state].clear()
        waiting.level.counts[waiting.state] -= 1
        self._length -= 1
        self._named -= flow.customer is not None

    def _drop_empty_levels(self) -> None:
        """Forget priorities without waiting requests: nobody competes there any more."""
        for priority in [p for p, level in self._levels.items() if not any(level.counts)]:
            del self._levels[priority]

    def _mark_late(self, now_ms: float) -> None:
        """Move the requests that miss their objective by now behind those that may meet it."""
        while self._late_heap and self._late_heap[0][0] < now_ms:
            waiting = heappop(self._late_heap)[2]
            if waiting.is_waiting and waiting.state == ON_TIME:
                waiting.flow.counts[ON_TIME] -= 1
                waiting.level.counts[ON_TIME] -= 1
                waiting.state = LATE
                self._enter(waiting)
