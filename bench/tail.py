"""Tail latency of a service compared with the ideal single queue."""

from __future__ import annotations

from collections.abc import Iterator

from bench.cases import Options, case, plan_seed
from bench.deployment import Deployment, make_load_plan
from bench.load_measurement import measure_under_load
from bench.result import BenchResult

UTILISATIONS = (0.70, 0.85, 0.95)
QUICK_UTILISATIONS = (0.85,)
DURATION_S = 45.0
QUICK_DURATION_S = 10.0


@case("tail", entry_counts=(3, 15))
def tail(deployment: Deployment, options: Options) -> Iterator[BenchResult]:
    """Measure the tail latency at each utilisation."""
    for utilisation in QUICK_UTILISATIONS if options.quick else UTILISATIONS:
        plan = make_load_plan(
            seed=plan_seed(options, round(utilisation * 100)),
            utilisation=utilisation,
            duration_s=QUICK_DURATION_S if options.quick else DURATION_S,
        )
        result = measure_under_load("tail", deployment, options, plan)
        result.utilisation = utilisation
        yield result
