"""Policies that pick one of several targets."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from kingcupusher._core.registry import Registry
from kingcupusher._routing.view import TargetView


@dataclass(slots=True, frozen=True)
class PolicySettings:
    """What a policy may depend on besides the targets."""

    rng: Random
    seat: int
    seats: int


class Policy(Protocol):
    """Picks a target for one request."""

    def __init__(self, settings: PolicySettings) -> None: ...

    def pick(self, views: Sequence[TargetView], *, now_ms: float) -> TargetView:
        """Return one of ``views``, of which there is at least one."""
        ...


POLICIES: Registry[type[Policy]] = Registry("policy")


@POLICIES.register("random")
class RandomPolicy:
    """Any target with equal probability."""

    __slots__ = ("_random",)

    def __init__(self, settings: PolicySettings) -> None:
        self._random = settings.rng.random

    def pick(self, views: Sequence[TargetView], *, now_ms: float) -> TargetView:  # noqa: ARG002
        """Return a random target."""
        return views[int(self._random() * len(views))]


@POLICIES.register("round_robin")
class RoundRobinPolicy:
    """Targets in turn; entries start at random places, so that they are not in step."""

    __slots__ = ("_turn",)

    def __init__(self, settings: PolicySettings) -> None:
        self._turn = settings.rng.randrange(1 << 20)

    def pick(self, views: Sequence[TargetView], *, now_ms: float) -> TargetView:  # noqa: ARG002
        """Return the next target."""
        self._turn += 1
        return views[self._turn % len(views)]


@POLICIES.register("two_choices")
class TwoChoicesPolicy:
    """The less loaded of two random targets, by this entry's requests in flight."""

    __slots__ = ("_random",)

    def __init__(self, settings: PolicySettings) -> None:
        self._random = settings.rng.random

    def pick(self, views: Sequence[TargetView], *, now_ms: float) -> TargetView:  # noqa: ARG002
        """Return the less loaded of two targets."""
        count = len(views)
        first = int(self._random() * count)
        if count == 1:
            return views[0]
        second = (first + 1 + int(self._random() * (count - 1))) % count
        one, other = views[first], views[second]
        return other if other.in_flight * one.slots < one.in_flight * other.slots else one


@POLICIES.register("least_in_flight")
class LeastInFlightPolicy:
    """The target with the fewest of this entry's requests in flight; ties are broken at random."""

    __slots__ = ("_random",)

    def __init__(self, settings: PolicySettings) -> None:
        self._random = settings.rng.random

    def pick(self, views: Sequence[TargetView], *, now_ms: float) -> TargetView:  # noqa: ARG002
        """Return a least loaded target."""
        loads = [view.in_flight / view.slots for view in views]
        least = min(loads)
        ties = [view for view, load in zip(views, loads, strict=True) if load == least]
        return ties[int(self._random() * len(ties))]
