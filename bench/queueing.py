"""Reference latencies of a plan under ideal and random routing."""

from __future__ import annotations

from collections.abc import Sequence
from heapq import heapify, heapreplace
from random import Random

from standins.load.plan import PlannedRequest


class _SlotQueue:
    """FIFO queue in front of a number of slots."""

    __slots__ = ("_free_at_ms",)

    def __init__(self, slots: int) -> None:
        self._free_at_ms = [0.0] * slots
        heapify(self._free_at_ms)

    def serve(self, arrival_ms: float, service_time_ms: float) -> float:
        """Return the instant at which the request completes; calls are in order of arrival."""
        end_ms = max(arrival_ms, self._free_at_ms[0]) + service_time_ms
        heapreplace(self._free_at_ms, end_ms)
        return end_ms


def single_queue_latencies_ms(plan: Sequence[PlannedRequest], *, slots: int) -> list[float]:
    """Return the latencies of an ideal single queue in front of all slots.

    Each request goes to the slot that is free first, without delay or overhead.
    """
    queue = _SlotQueue(slots)
    return [queue.serve(p.arrival_ms, p.service_time_ms) - p.arrival_ms for p in plan]


def random_latencies_ms(
    plan: Sequence[PlannedRequest], *, targets: int, slots: int, seed: int
) -> list[float]:
    """Return the latencies if each request goes to a random target and queues there."""
    rng = Random(seed)
    queues = [_SlotQueue(slots) for _ in range(targets)]
    return [rng.choice(queues).serve(p.arrival_ms, p.service_time_ms) - p.arrival_ms for p in plan]
