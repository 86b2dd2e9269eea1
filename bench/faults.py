"""Tail latency with one faulty target, and during a flood of bulk requests."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import curio
import msgspec
from msgspec import Struct

from bench.cases import Options, case, plan_seed
from bench.deployment import BULK_SERVICE, BULK_TARGETS, SLOTS, TARGETS, Deployment, make_load_plan
from bench.load_measurement import measure_under_load
from bench.result import BenchResult
from standins.load.plan import PlanSettings
from standins.target.faults import FaultParameters

UTILISATION = 0.70
DURATION_S = 30.0
# Twice the capacity of the targets of the bulk service.
FLOOD_UTILISATION = 2.0
FAULT_PLAN = 4
FLOOD_PLAN = 5


class _FaultCase(Struct, frozen=True):
    """A fault of one target, and the name of its result."""

    name: str
    fault: str
    parameters: FaultParameters


FAULT_CASES = (
    _FaultCase("fault-slow", "slow", FaultParameters(factor=10.0)),
    _FaultCase("fault-fail-fast", "fail-fast", FaultParameters()),
    _FaultCase("fault-cold", "restart", FaultParameters()),
)


@case("faults", entry_counts=(3, 15))
def faults(deployment: Deployment, options: Options) -> Iterator[BenchResult]:
    """Measure a plan without a fault, then with each fault of one target, then during a flood."""
    if options.quick:
        return
    plan = make_load_plan(
        seed=plan_seed(options, FAULT_PLAN), utilisation=UTILISATION, duration_s=DURATION_S
    )
    healthy = _measure_with_fall_overs("healthy", deployment, options, plan)
    yield healthy
    for fault_case in FAULT_CASES:
        _set_fault(deployment, fault_case.fault, fault_case.parameters)
        result = _measure_with_fall_overs(fault_case.name, deployment, options, plan)
        _set_fault(deployment, "clear", FaultParameters())
        yield _with_ratio_to_healthy(result, healthy)
    result = _measure_flood(deployment, options, plan)
    yield _with_ratio_to_healthy(result, healthy)


def _measure_with_fall_overs(
    name: str,
    deployment: Deployment,
    options: Options,
    plan: PlanSettings,
    *,
    during_load: Callable[[], None] | None = None,
) -> BenchResult:
    labelled_plan = msgspec.structs.replace(plan, label=f"{name}-")
    before = _fall_overs(deployment)
    result = measure_under_load(name, deployment, options, labelled_plan, during_load=during_load)
    result.utilisation = UTILISATION
    result.fall_overs = _fall_overs(deployment) - before
    return result


def _measure_flood(deployment: Deployment, options: Options, plan: PlanSettings) -> BenchResult:
    flood = make_load_plan(
        seed=plan_seed(options, FLOOD_PLAN),
        utilisation=FLOOD_UTILISATION * BULK_TARGETS * SLOTS / (TARGETS * SLOTS),
        duration_s=DURATION_S,
    )
    load = deployment.start_load("flood", flood, service=BULK_SERVICE)
    result = _measure_with_fall_overs("flood", deployment, options, plan)
    load.wait_for_result()
    return result


def _with_ratio_to_healthy(result: BenchResult, healthy: BenchResult) -> BenchResult:
    if result.p99_ms is not None and healthy.p99_ms:
        result.ratio_to_healthy = round(result.p99_ms / healthy.p99_ms, 3)
    return result


def _set_fault(deployment: Deployment, fault: str, parameters: FaultParameters) -> None:
    curio.run(deployment.targets[0].control.set_fault, fault, parameters)


def _fall_overs(deployment: Deployment) -> int:
    statuses = deployment.cluster.target_statuses(deployment.targets)
    return sum(status.counters.fall_overs for status in statuses)
