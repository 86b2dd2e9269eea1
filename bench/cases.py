"""Registry of the benchmark cases, and what they share."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from msgspec import Struct

from bench.deployment import Deployment
from bench.result import BenchResult
from kingcupusher._core import Registry


class Options(Struct, frozen=True, kw_only=True):
    """Command-line options that apply to all cases."""

    quick: bool
    seed: int
    policy: str


Measure = Callable[[Deployment, Options], Iterator[BenchResult]]


class Case(Struct, frozen=True):
    """A case and the numbers of entries it is measured with."""

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
    """Return a result without any figure."""
    return BenchResult(
        case=name,
        seed=options.seed,
        policy=options.policy,
        entries=len(deployment.cluster.entries),
    )


def plan_seed(options: Options, plan_number: int) -> int:
    """Return the seed of a plan; request ids contain it, so the plans of a run must differ."""
    return options.seed * 1_000 + plan_number
