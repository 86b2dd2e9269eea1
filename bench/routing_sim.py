"""Compares the routing policies with an all-knowing single queue.

``python -m bench.routing_sim`` prints one JSON object a line. The routers, the admission queue and
the cold-start ramp are those of the product; arrivals and service times are recorded from seeds.
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
ENTRIES = (3, 15)
UTILISATIONS = (0.70, 0.85, 0.95)
SHAPES = (4.0, 0.5)
COUNT = 60_000
FLOOD_PER_ENTRY_S = 3_000.0
"""120 % of what an entry can handle at 0.4 ms a request."""
ODD_FROM_SHARE = 0.3
"""Part of the run after which a target turns slow or failing, so that detection is measured."""
QUICK_COUNT = 15_000

Prepare = Callable[[Simulation], None]


class CaseSettings(msgspec.Struct, frozen=True, kw_only=True):
    """One situation: what is unusual and how many slots remain usable."""

    prepare: Prepare = lambda _: None
    usable_slots: int = TARGETS * SLOTS
    is_unequal: bool = False
    zone_preference: bool = False
    use_queue: bool = False
    use_priority: bool = True
    bulk_per_entry_s: float = 0.0


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """One line of output: means over the seeds; ``ratio_max`` is the worst seed's."""

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
    """Requests of the busiest zone over those of an equal share."""
    odd_share: float
    """Share of the requests that target t00 got."""
    seeds: tuple[int, ...]
    requests: int


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one seed."""

    p50_ms: float
    p99_ms: float
    reference_p99_ms: float
    hottest_zone: float
    odd_share: float


CASES: Registry[CaseSettings] = Registry("case")
CASES.register("equal")(CaseSettings())
CASES.register("unequal_entries")(CaseSettings(is_unequal=True))
CASES.register("zone_preferred")(CaseSettings(is_unequal=True, zone_preference=True))
CASES.register("no_flood")(CaseSettings(use_queue=True))
CASES.register("bulk_flood")(CaseSettings(use_queue=True, bulk_per_entry_s=FLOOD_PER_ENTRY_S))
CASES.register("bulk_flood_unordered")(
    CaseSettings(use_queue=True, use_priority=False, bulk_per_entry_s=FLOOD_PER_ENTRY_S)
)


def _without_one(prepare: Prepare) -> CaseSettings:
    return CaseSettings(prepare=prepare, usable_slots=(TARGETS - 1) * SLOTS)


def _turn_odd(simulation: Simulation) -> None:
    simulation.targets[0].odd_from_ms = simulation.requests[-1].at_ms * ODD_FROM_SHARE


def _make_slow(simulation: Simulation) -> None:
    simulation.targets[0].slowness = 10.0
    _turn_odd(simulation)


def _make_failing(simulation: Simulation) -> None:
    simulation.targets[0].fails = True
    _turn_odd(simulation)


def _make_cold(simulation: Simulation) -> None:
    simulation.set_cold(simulation.targets[0], slow_requests=50)


CASES.register("one_slow")(_without_one(_make_slow))
CASES.register("one_failing")(_without_one(_make_failing))
CASES.register("one_cold")(_without_one(_make_cold))


def _weights(entries: int, settings: CaseSettings) -> tuple[float, ...]:
    """Give the entries of the first zone four times the traffic of the others."""
    if not settings.is_unequal:
        return ()
    return tuple(4.0 if seat % ZONES == 0 else 1.0 for seat in range(entries))


def _run(policy: str, workload: Workload, settings: CaseSettings) -> Run:
    simulation = Simulation(
        policy,
        workload,
        zone_preference=settings.zone_preference,
        use_queue=settings.use_queue,
        use_priority=settings.use_priority,
    )
    settings.prepare(simulation)
    simulation.run()
    times_ms = simulation.latencies_ms()
    reference = reference_latencies_ms(simulation.requests, slots=settings.usable_slots)
    zones = dict.fromkeys((target.zone for target in simulation.targets), 0)
    for target in simulation.targets:
        zones[target.zone] += target.served
    total = sum(zones.values())
    return Run(
        p50_ms=quantile(times_ms, 0.50),
        p99_ms=quantile(times_ms, 0.99),
        reference_p99_ms=quantile(reference, 0.99),
        hottest_zone=max(zones.values()) * ZONES / total,
        odd_share=simulation.targets[0].served / total,
    )


def measure(
    case: str,
    policy: str,
    *,
    entries: int,
    utilisation: float,
    shape: float,
    count: int = COUNT,
    seeds: tuple[int, ...] = SEEDS,
) -> Result:
    """Run one configuration with each seed and return the means."""
    settings = CASES.get(case)
    runs = [
        _run(
            policy,
            Workload(
                entries=entries,
                utilisation=utilisation,
                shape=shape,
                seed=seed,
                count=count,
                entry_weights=_weights(entries, settings),
                bulk_per_entry_s=settings.bulk_per_entry_s,
            ),
            settings,
        )
        for seed in seeds
    ]
    ratios = [run.p99_ms / run.reference_p99_ms for run in runs]
    return Result(
        case=case,
        policy=policy,
        entries=entries,
        utilisation=utilisation,
        shape=shape,
        p50_ms=round(fmean(run.p50_ms for run in runs), 2),
        p99_ms=round(fmean(run.p99_ms for run in runs), 2),
        reference_p99_ms=round(fmean(run.reference_p99_ms for run in runs), 2),
        ratio=round(fmean(ratios), 3),
        ratio_max=round(max(ratios), 3),
        hottest_zone=round(max(run.hottest_zone for run in runs), 3),
        odd_share=round(fmean(run.odd_share for run in runs), 4),
        seeds=seeds,
        requests=count,
    )


def _results(arguments: argparse.Namespace) -> Iterator[Result]:
    count = QUICK_COUNT if arguments.quick else COUNT
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


def _parse(argv: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    add = parser.add_argument
    add("--case", nargs="+", choices=list(CASES), default=["equal"])
    add("--policy", nargs="+", choices=list(POLICIES), default=[DEFAULT_POLICY])
    add("--entries", nargs="+", type=int, default=list(ENTRIES))
    add("--shape", nargs="+", type=float, default=list(SHAPES))
    add("--utilisation", nargs="+", type=float, default=list(UTILISATIONS))
    add("--quick", action="store_true", help="fewer requests; for a rough look")
    return parser.parse_args(argv)


def print_results(results: Iterable[Result]) -> None:
    """Print one JSON object a line."""
    for result in results:
        print(msgspec.json.encode(result).decode(), flush=True)


if __name__ == "__main__":
    print_results(_results(_parse(sys.argv[1:])))
