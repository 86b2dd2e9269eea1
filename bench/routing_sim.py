"""Compares the routing policies with an ideal single queue.

``python -m bench.routing_sim`` prints one JSON object a line. The routers, the admission queue and
the cold-start ramp are those of the product; arrivals and service times are drawn from seeds.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Iterable, Iterator
from statistics import fmean

import msgspec

from bench.routing_model import (
    SLOTS,
    TARGETS,
    ZONES,
    Simulation,
    Workload,
    quantile,
    reference_latencies_ms,
)
from kingcupusher._core import Registry
from kingcupusher._routing import DEFAULT_POLICY, POLICIES

SEEDS = (1, 2, 3)
ENTRY_COUNTS = (3, 15)
UTILISATIONS = (0.70, 0.85, 0.95)
SHAPES = (4.0, 0.5)
REQUEST_COUNT = 60_000
FLOOD_PER_ENTRY_S = 3_000.0
"""120 % of the capacity of an entry at 0.4 ms of CPU time per request."""
FAULT_START_SHARE = 0.3
"""Share of the run after which a target becomes faulty, so that detection is measured."""
QUICK_REQUEST_COUNT = 15_000

Prepare = Callable[[Simulation], None]


class CaseSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Traffic, settings and faults of a case; ``usable_slots`` counts those without a fault."""

    prepare: Prepare = lambda _: None
    usable_slots: int = TARGETS * SLOTS
    has_unequal_traffic: bool = False
    zone_preference: bool = False
    use_queue: bool = False
    use_priority: bool = True
    bulk_per_entry_s: float = 0.0


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """One line of output: means over the seeds; ``ratio_max`` is the largest ratio of a seed."""

    case: str
    policy: str
    entries: int
    utilisation: float
    shape: float
    p50_ms: float
    p99_ms: float
    reference_p99_ms: float
    ratio: float
    ratio_max: float
    hottest_zone: float
    """Requests of the busiest zone relative to an equal share."""
    odd_share: float
    """Share of the requests that went to target t00, the only one that a case makes faulty."""
    seeds: tuple[int, ...]
    requests: int


class SeedResult(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of the simulation with one seed."""

    p50_ms: float
    p99_ms: float
    reference_p99_ms: float
    hottest_zone: float
    faulty_target_share: float


CASES: Registry[CaseSettings] = Registry("case")
CASES.register("equal")(CaseSettings())
CASES.register("unequal_entries")(CaseSettings(has_unequal_traffic=True))
CASES.register("zone_preferred")(CaseSettings(has_unequal_traffic=True, zone_preference=True))
CASES.register("no_flood")(CaseSettings(use_queue=True))
CASES.register("bulk_flood")(CaseSettings(use_queue=True, bulk_per_entry_s=FLOOD_PER_ENTRY_S))
CASES.register("bulk_flood_unordered")(
    CaseSettings(use_queue=True, use_priority=False, bulk_per_entry_s=FLOOD_PER_ENTRY_S)
)


def _without_one_target(prepare: Prepare) -> CaseSettings:
    return CaseSettings(prepare=prepare, usable_slots=(TARGETS - 1) * SLOTS)


def _start_fault(simulation: Simulation) -> None:
    simulation.targets[0].fault_start_ms = simulation.requests[-1].arrival_ms * FAULT_START_SHARE


def _make_slow(simulation: Simulation) -> None:
    simulation.targets[0].slowness = 10.0
    _start_fault(simulation)


def _make_failing(simulation: Simulation) -> None:
    simulation.targets[0].fails = True
    _start_fault(simulation)


def _make_cold(simulation: Simulation) -> None:
    simulation.set_cold(simulation.targets[0], slow_requests=50)


CASES.register("one_slow")(_without_one_target(_make_slow))
CASES.register("one_failing")(_without_one_target(_make_failing))
CASES.register("one_cold")(_without_one_target(_make_cold))


def _entry_weights(entries: int, settings: CaseSettings) -> tuple[float, ...]:
    """Return weights that give entries of the first zone four times the traffic of the others."""
    if not settings.has_unequal_traffic:
        return ()
    return tuple(4.0 if seat % ZONES == 0 else 1.0 for seat in range(entries))


def _run_seed(policy: str, workload: Workload, settings: CaseSettings) -> SeedResult:
    simulation = Simulation(
        policy,
        workload,
        zone_preference=settings.zone_preference,
        use_queue=settings.use_queue,
        use_priority=settings.use_priority,
    )
    settings.prepare(simulation)
    simulation.run()
    latencies_ms = simulation.latencies_ms()
    reference = reference_latencies_ms(simulation.requests, slots=settings.usable_slots)
    served_by_zone = dict.fromkeys((target.zone for target in simulation.targets), 0)
    for target in simulation.targets:
        served_by_zone[target.zone] += target.served
    total = sum(served_by_zone.values())
    return SeedResult(
        p50_ms=quantile(latencies_ms, 0.50),
        p99_ms=quantile(latencies_ms, 0.99),
        reference_p99_ms=quantile(reference, 0.99),
        hottest_zone=max(served_by_zone.values()) * ZONES / total,
        faulty_target_share=simulation.targets[0].served / total,
    )


def measure(
    case: str,
    policy: str,
    *,
    entries: int,
    utilisation: float,
    shape: float,
    count: int = REQUEST_COUNT,
    seeds: tuple[int, ...] = SEEDS,
) -> Result:
    """Simulate one configuration with each seed and return the means."""
    settings = CASES.get(case)
    seed_results = [
        _run_seed(
            policy,
            Workload(
                entries=entries,
                utilisation=utilisation,
                shape=shape,
                seed=seed,
                count=count,
                entry_weights=_entry_weights(entries, settings),
                bulk_per_entry_s=settings.bulk_per_entry_s,
            ),
            settings,
        )
        for seed in seeds
    ]
    ratios = [result.p99_ms / result.reference_p99_ms for result in seed_results]
    return Result(
        case=case,
        policy=policy,
        entries=entries,
        utilisation=utilisation,
        shape=shape,
        p50_ms=round(fmean(result.p50_ms for result in seed_results), 2),
        p99_ms=round(fmean(result.p99_ms for result in seed_results), 2),
        reference_p99_ms=round(fmean(result.reference_p99_ms for result in seed_results), 2),
        ratio=round(fmean(ratios), 3),
        ratio_max=round(max(ratios), 3),
        hottest_zone=round(max(result.hottest_zone for result in seed_results), 3),
        odd_share=round(fmean(result.faulty_target_share for result in seed_results), 4),
        seeds=seeds,
        requests=count,
    )


def _measure_all(arguments: argparse.Namespace) -> Iterator[Result]:
    count = QUICK_REQUEST_COUNT if arguments.quick else REQUEST_COUNT
    for case in arguments.case:
        for policy in arguments.policy:
            for entries in arguments.entries:
                for shape in arguments.shape:
                    for utilisation in arguments.utilisation:
                        yield measure(
                            case,
                            policy,
                            entries=entries,
                            utilisation=utilisation,
                            shape=shape,
                            count=count,
                        )


def _parse_arguments(argv: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    add = parser.add_argument
    add("--case", nargs="+", choices=list(CASES), default=["equal"])
    add("--policy", nargs="+", choices=list(POLICIES), default=[DEFAULT_POLICY])
    add("--entries", nargs="+", type=int, default=list(ENTRY_COUNTS))
    add("--shape", nargs="+", type=float, default=list(SHAPES))
    add("--utilisation", nargs="+", type=float, default=list(UTILISATIONS))
    add("--quick", action="store_true", help="fewer requests, for a rough estimate")
    return parser.parse_args(argv)


def print_results(results: Iterable[Result]) -> None:
    """Print one JSON object a line for each result."""
    for result in results:
        print(msgspec.json.encode(result).decode(), flush=True)


if __name__ == "__main__":
    print_results(_measure_all(_parse_arguments(sys.argv[1:])))
