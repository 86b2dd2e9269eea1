"""Tail latency of a service against the all-knowing single queue."""

from __future__ import annotations

from collections.abc import Iterator

from bench.cases import Options, case, plan_seed
from bench.deployment import Deployment, slot_plan
from bench.loaded import measure
from bench.result import BenchResult

UTILISATIONS = (0.70, 0.85, 0.95)
QUICK_UTILISATIONS = (0.85,)
DURATION_S = 45.0
QUICK_DURATION_S = 10.0


@case("tail", entry_counts=(3, 15))
def tail(deployment: Deployment, options: Options) -> Iterator[BenchResult]:
    """Measure each utilisation."""
    for utilisation in QUICK_UTILISATIONS if options.quick else UTILISATIONS:
        plan = slot_plan(
            seed=plan_seed(options, round(utilisation * 100)),
            utilisation=utilisation,
            duration_s=QUICK_DURATION_S if options.quick else DURATION_S,
        )
        result = measure("tail", deployment, options, plan)
        result.utilisation = utilisation
        yield result
