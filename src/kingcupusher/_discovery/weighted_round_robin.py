"""Smooth weighted round robin over the services of a route."""

from __future__ import annotations

from collections.abc import Sequence
from random import random

from kingcupusher._discovery.model import WeightedService


class WeightedRoundRobin:
    """Gives each service its share of the requests, as evenly spread as the weights allow.

    Entries start at random offsets, so that a service of low weight does not get the first
    request of every entry.
    """

    __slots__ = ("_credits", "_parts", "_total")

    def __init__(self, parts: Sequence[WeightedService]) -> None:
        self._parts = [part for part in parts if part.weight > 0.0] or list(parts)
        self._total = sum(part.weight for part in self._parts)
        self._credits = [random() * part.weight for part in self._parts]

    def next_service(self) -> str:
        """Return the service for the next request."""
        if len(self._parts) == 1:
            return self._parts[0].service
        for index, part in enumerate(self._parts):
            self._credits[index] += part.weight
        chosen = max(range(len(self._parts)), key=self._credits.__getitem__)
        self._credits[chosen] -= self._total
        return self._parts[chosen].service
