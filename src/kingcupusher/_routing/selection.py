"""Order in which an entry probes targets, and the cost by which it compares the responses."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Protocol, TypeVar

from msgspec import Struct

from kingcupusher._core import Registry
from kingcupusher._core.rendezvous import rendezvous_weight
from kingcupusher._routing.load_reading import LoadReading, expected_slowness

OTHER_ZONE_PENALTY = 0.05
"""Added to the cost of targets in other zones, so that equally fast ones in the own zone win."""
LARGE_RESPONSE_PENALTY = 3.0
"""The same for a route with large responses: a transfer between zones costs more than the extra
time of a target whose VM has other work."""


class Candidate(Protocol):
    """Properties of a target that determine its position in the probe order."""

    @property
    def target_id(self) -> str:
        """Identity of the target."""

    @property
    def is_suspended(self) -> bool:
        """Whether it failed recently."""

    @property
    def is_cold(self) -> bool:
        """Whether it is in cold start and can take only few requests."""

    @property
    def is_own_zone(self) -> bool:
        """Whether it is in the zone of the entry."""


C = TypeVar("C", bound=Candidate)


class ProbeOrder(Protocol):
    """Orders targets for probing."""

    def order(self, candidates: Sequence[C], *, entry: str, top_k: int, rng: Random) -> list[C]:
        """Return ``candidates`` in probe order; ``top_k`` is the number of near targets."""


PROBE_ORDERS: Registry[ProbeOrder] = Registry("probe order")


def _by_affinity(candidates: Sequence[C], entry: str) -> list[C]:
    return sorted(candidates, key=lambda c: rendezvous_weight(entry, c.target_id))


def _shuffled(groups: Sequence[list[C]], rng: Random) -> list[C]:
    """Return the groups one after the other, each in random order."""
    for group in groups:
        rng.shuffle(group)
    return [candidate for group in groups for candidate in group]


def _by_zone(candidates: Sequence[C]) -> tuple[list[C], list[C], list[C], list[C]]:
    """Return the good ones of the own zone and of others, then the suspended and the cold ones."""
    good = [c for c in candidates if not c.is_suspended and not c.is_cold]
    own = [c for c in good if c.is_own_zone]
    other = [c for c in good if not c.is_own_zone]
    suspended = [c for c in candidates if c.is_suspended and not c.is_cold]
    return own, other, suspended, [c for c in candidates if c.is_cold]


@PROBE_ORDERS.register("near_first")
class _NearFirst:
    """Random order, but the near targets of this entry before the others.

    Rendezvous hashing assigns ``top_k`` near targets of a service to each entry. The entry's
    connections to them stay open, and each target is near to the same number of entries on average.
    """

    @staticmethod
    def order(candidates: Sequence[C], *, entry: str, top_k: int, rng: Random) -> list[C]:
        """Return the candidates that neither failed lately nor are cold first."""
        by_affinity = _by_affinity(candidates, entry)
        good = [c for c in by_affinity if not c.is_suspended and not c.is_cold]
        suspended = [c for c in by_affinity if c.is_suspended and not c.is_cold]
        cold = [c for c in by_affinity if c.is_cold]
        return _shuffled((good[:top_k], good[top_k:], suspended, cold), rng)


@PROBE_ORDERS.register("zone_first")
class _ZoneFirst:
    """As ``near_first``, but near targets in the own zone come before those in other zones."""

    @staticmethod
    def order(candidates: Sequence[C], *, entry: str, top_k: int, rng: Random) -> list[C]:
        """Return the candidates that neither failed lately nor are cold first."""
        own, other, suspended, cold = _by_zone(_by_affinity(candidates, entry))
        return _shuffled(
            (own[:top_k], other[:top_k], own[top_k:] + other[top_k:], suspended, cold), rng
        )


@PROBE_ORDERS.register("own_zone")
class _OwnZone:
    """All targets of the own zone, the near ones first, before those of other zones."""

    @staticmethod
    def order(candidates: Sequence[C], *, entry: str, top_k: int, rng: Random) -> list[C]:
        """Return the candidates that neither failed lately nor are cold first."""
        own, other, suspended, cold = _by_zone(_by_affinity(candidates, entry))
        parts = (own[:top_k], own[top_k:], other[:top_k], other[top_k:], suspended, cold)
        return _shuffled(parts, rng)


class ZonePreference(Struct, frozen=True):
    """How strongly a request prefers the targets of the own zone."""

    probe_order: str
    other_zone_penalty: float


USUAL_PREFERENCE = ZonePreference("zone_first", OTHER_ZONE_PENALTY)
LARGE_RESPONSE_PREFERENCE = ZonePreference("own_zone", LARGE_RESPONSE_PENALTY)


def target_cost(reading: LoadReading, *, is_own_zone: bool) -> float:
    """Return the expected slowness plus a penalty for a target in another zone."""
    return expected_slowness(reading) + (0.0 if is_own_zone else OTHER_ZONE_PENALTY)
