"""Which targets to ask for their load, and which of those that answered gets the request."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Protocol, TypeVar

from kingcupusher._core import Registry
from kingcupusher._core.rendezvous import rendezvous_weight
from kingcupusher._routing.load_reading import LoadReading, expected_slowness

OTHER_ZONE_SLOWNESS = 0.05
"""How much slower a target in the own zone may be and still be preferred."""


class Candidate(Protocol):
    """A target as the choice of whom to ask sees it."""

    @property
    def target_id(self) -> str:
        """Identity of the target."""

    @property
    def is_suspended(self) -> bool:
        """Whether it failed lately."""

    @property
    def is_cold(self) -> bool:
        """Whether it is known to bear only few requests."""

    @property
    def is_own_zone(self) -> bool:
        """Whether it is in the zone of the entry."""


C = TypeVar("C", bound=Candidate)


class AskSelection(Protocol):
    """Puts the targets in the order in which they are to be asked."""

    def order(self, candidates: Sequence[C], *, entry: str, near: int, rng: Random) -> list[C]:
        """Return ``candidates``, first those to ask first."""


ASK_SELECTIONS: Registry[AskSelection] = Registry("ask selection")


def _by_affinity(candidates: Sequence[C], entry: str) -> list[C]:
    return sorted(candidates, key=lambda c: rendezvous_weight(entry, c.target_id))


def _shuffled(groups: Sequence[list[C]], rng: Random) -> list[C]:
    """Return the candidates of all groups, one group after the other."""
    for group in groups:
        rng.shuffle(group)
    return [candidate for group in groups for candidate in group]


@ASK_SELECTIONS.register("near_first")
class _NearFirst:
    """Targets in random order, but those that this entry knows closely before the others.

    Each entry knows ``near`` targets of a service closely, chosen by hash: its connections to
    them stay open, and each target is known by the same number of entries on average.
    """

    @staticmethod
    def order(candidates: Sequence[C], *, entry: str, near: int, rng: Random) -> list[C]:
        """Return the candidates that neither failed lately nor are cold first."""
        by_affinity = _by_affinity(candidates, entry)
        good = [c for c in by_affinity if not c.is_suspended and not c.is_cold]
        suspended = [c for c in by_affinity if c.is_suspended and not c.is_cold]
        cold = [c for c in by_affinity if c.is_cold]
        return _shuffled((good[:near], good[near:], suspended, cold), rng)


@ASK_SELECTIONS.register("zone_first")
class _ZoneFirst:
    """As ``near_first``, but the near targets of the own zone come before those of other zones."""

    @staticmethod
    def order(candidates: Sequence[C], *, entry: str, near: int, rng: Random) -> list[C]:
        """Return the candidates that neither failed lately nor are cold first."""
        by_affinity = _by_affinity(candidates, entry)
        good = [c for c in by_affinity if not c.is_suspended and not c.is_cold]
        own = [c for c in good if c.is_own_zone]
        other = [c for c in good if not c.is_own_zone]
        suspended = [c for c in by_affinity if c.is_suspended and not c.is_cold]
        cold = [c for c in by_affinity if c.is_cold]
        return _shuffled(
            (own[:near], other[:near], own[near:] + other[near:], suspended, cold), rng
        )


def cost(reading: LoadReading, *, is_own_zone: bool) -> float:
    """Return the expected slowness, a little higher for another zone."""
    return expected_slowness(reading) + (0.0 if is_own_zone else OTHER_ZONE_SLOWNESS)
