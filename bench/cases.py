"""Registry of the cases and what every case gets."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from msgspec import Struct

from bench.deployment import Deployment
from bench.result import BenchResult
from kingcupusher._core import Registry


class Options(Struct, frozen=True, kw_only=True):
    """What the command line sets for all cases."""

    quick: bool
    seed: int
    policy: str


Measure = Callable[[Deployment, Options], Iterator[BenchResult]]


class Case(Struct, frozen=True):
    """One case and the numbers of entries with which it runs."""

    measure: Measure
    entry_counts: tuple[int, ...]


CASES: Registry[Case] = Registry("bench case")


def case(name: str, *, entry_counts: tuple[int, ...]) -> Callable[[Measure], Measure]:
    """Return a decorator that registers a case."""

    def add(measure: Measure) -> Measure:
        CASES.register(name)(Case(measure, entry_counts))
        return measure

    return add


def new_result(name: str, deployment: Deployment, options: Options) -> BenchResult:
    """Return a result without figures."""
    return BenchResult(
        case=name,
        seed=options.seed,
        policy=options.policy,
        entries=len(deployment.cluster.entries),
    )


def plan_seed(options: Options, part: int) -> int:
    """Return a seed for one part of a run; request ids contain it, so parts must differ."""
    return options.seed * 1_000 + part
