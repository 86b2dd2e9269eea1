"""Latencies that perfect and random placement would give for a recorded plan."""

from __future__ import annotations

from collections.abc import Sequence
from heapq import heapify, heapreplace
from random import Random

from standins.load.plan import PlannedRequest


class _Servers:
    """Slots with one first-in first-out queue in front of them."""

    __slots__ = ("_free_at_ms",)

    def __init__(self, slots: int) -> None:
        self._free_at_ms = [0.0] * slots
        heapify(self._free_at_ms)

    def serve(self, arrival_ms: float, service_time_ms: float) -> float:
        """Return the instant at which the request ends."""
        end_ms = max(arrival_ms, self._free_at_ms[0]) + service_time_ms
        heapreplace(self._free_at_ms, end_ms)
        return end_ms


def single_queue_latencies_ms(plan: Sequence[PlannedRequest], *, slots: int) -> list[float]:
    """Return the latencies of one all-knowing queue in front of all slots.

    It places each request on the slot that is free first, without any delay or cost.
    """
    servers = _Servers(slots)
    return [servers.serve(p.arrival_ms, p.service_time_ms) - p.arrival_ms for p in plan]


def random_latencies_ms(
    plan: Sequence[PlannedRequest], *, targets: int, slots: int, seed: int
) -> list[float]:
    """Return the latencies when each request goes to a random target and queues there."""
    rng = Random(seed)
    servers = [_Servers(slots) for _ in range(targets)]
    return [rng.choice(servers).serve(p.arrival_ms, p.service_time_ms) - p.arrival_ms for p in plan]
