"""Smooth weighted round robin over the services of a route."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from kingcupusher._discovery.model import WeightedService

MAX_SKIPPED = 100
"""More positions than a sequence usually has before it repeats."""


class WeightedRoundRobin:
    """Gives each service its share of the requests, as evenly spread as the weights allow.

    Entries start at random positions of the sequence: if each of many entries gets few requests,
    the fleet would otherwise give all of them to the service that comes first.
    """

    __slots__ = ("_credits", "_parts", "_total")

    def __init__(self, parts: Sequence[WeightedService], *, rng: Random | None = None) -> None:
        rng = rng or Random()
        self._parts = [part for part in parts if part.weight > 0.0] or list(parts)
        self._total = sum(part.weight for part in self._parts)
        self._credits = [0.0 for _ in self._parts]
        for _ in range(rng.randrange(MAX_SKIPPED) if len(self._parts) > 1 else 0):
            self.next_service()

    def next_service(self) -> str:
        """Return the service for the next request."""
        if len(self._parts) == 1:
            return self._parts[0].service
        for index, part in enumerate(self._parts):
            self._credits[index] += part.weight
        chosen = max(range(len(self._parts)), key=self._credits.__getitem__)
        self._credits[chosen] -= self._total
        return self._parts[chosen].service
