"""Tail latency beside one faulty target, and beside a flood of bulk work."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import curio
import msgspec
from msgspec import Struct

from bench.cases import Options, case, plan_seed
from bench.deployment import BULK, BULK_TARGETS, SLOTS, TARGETS, Deployment, slot_plan
from bench.loaded import measure
from bench.result import BenchResult
from standins.load.plan import PlanSettings
from standins.target.faults import FaultParameters

UTILISATION = 0.70
DURATION_S = 30.0
# Twice what the targets of the bulk service can serve.
FLOOD = 2.0
FAULT_PART = 4
FLOOD_PART = 5


class _FaultCase(Struct, frozen=True):
    """A fault of one target under the name of its measurement."""

    name: str
    fault: str
    order: FaultParameters


FAULT_CASES = (
    _FaultCase("fault-slow", "slow", FaultParameters(factor=10.0)),
    _FaultCase("fault-fail-fast", "fail-fast", FaultParameters()),
    _FaultCase("fault-cold", "restart", FaultParameters()),
)


@case("faults", entry_counts=(3, 15))
def faults(deployment: Deployment, options: Options) -> Iterator[BenchResult]:
    """Measure a plan without a fault, then the same plan with one faulty target at a time."""
    if options.quick:
        return
    plan = slot_plan(
        seed=plan_seed(options, FAULT_PART), utilisation=UTILISATION, duration_s=DURATION_S
    )
    healthy = _measure("healthy", deployment, options, plan)
    yield healthy
    for fault_case in FAULT_CASES:
        _order(deployment, fault_case.fault, fault_case.order)
        result = _measure(fault_case.name, deployment, options, plan)
        _order(deployment, "clear", FaultParameters())
        yield _compared(result, healthy)
    result = _beside_flood(deployment, options, plan)
    yield _compared(result, healthy)


def _measure(
    name: str,
    deployment: Deployment,
    options: Options,
    plan: PlanSettings,
    *,
    meanwhile: Callable[[], None] | None = None,
) -> BenchResult:
    labelled = msgspec.structs.replace(plan, label=f"{name}-")
    before = _fall_overs(deployment)
    result = measure(name, deployment, options, labelled, meanwhile=meanwhile)
    result.utilisation = UTILISATION
    result.fall_overs = _fall_overs(deployment) - before
    return result


def _beside_flood(deployment: Deployment, options: Options, plan: PlanSettings) -> BenchResult:
    flood = slot_plan(
        seed=plan_seed(options, FLOOD_PART),
        utilisation=FLOOD * BULK_TARGETS * SLOTS / (TARGETS * SLOTS),
        duration_s=DURATION_S,
    )
    load = deployment.start_load("flood", flood, service=BULK)
    result = _measure("flood", deployment, options, plan)
    load.wait_for_result()
    return result


def _compared(result: BenchResult, healthy: BenchResult) -> BenchResult:
    if result.p99_ms is not None and healthy.p99_ms:
        result.ratio_to_healthy = round(result.p99_ms / healthy.p99_ms, 3)
    return result


def _order(deployment: Deployment, fault: str, order: FaultParameters) -> None:
    curio.run(deployment.targets[0].control.set_fault, fault, order)


def _fall_overs(deployment: Deployment) -> int:
    statuses = deployment.cluster.target_statuses(deployment.targets)
    return sum(status.counters.fall_overs for status in statuses)
