"""A zone goes out and returns under load."""

from __future__ import annotations

import time
from collections.abc import Iterator

from bench.cases import CASES, Options
from bench.deployment import ZONES, Deployment, Shape, duplicates, errors
from bench.result import BenchResult
from bench.tail import SERVICE_TIME_MS, SLOTS, TARGETS, ideal_p99_ms, random_p99_ms
from kingcupusher._core import now_ms
from standins.processes import ProcessGroup

# Two of three zones then run at 75 %.
UTILISATION = 0.50
ENTRIES = 3
MOVED_ZONE = ZONES[1]
SETTLE_S = 2.0
GOAL_MS = 3_000.0
OBSERVED_S = 3.0
RETURN_S = 8.0


@CASES.register("zone")
def zone(options: Options) -> Iterator[BenchResult]:
    """Take a zone out and bring it back while requests run."""
    shape = Shape(
        entries=ENTRIES,
        targets=TARGETS,
        slots=SLOTS,
        service_time_ms=SERVICE_TIME_MS,
        policy=options.policy,
    )
    with ProcessGroup() as group:
        deployment = Deployment(group, shape)
        deployment.start()
        yield _measure(deployment, options)


def _measure(deployment: Deployment, options: Options) -> BenchResult:
    plan = deployment.plan(seed=options.seed * 100 + 1, utilisation=UTILISATION, requests=0)
    duration_s = SETTLE_S + GOAL_MS / 1000.0 + OBSERVED_S + RETURN_S
    plan = deployment.plan(
        seed=plan.seed, utilisation=UTILISATION, requests=int(plan.rate_per_s * duration_s)
    )
    before = deployment.read_usage()
    load = deployment.start_load("load-zone", plan)
    new_work = _move_zone(deployment)
    result = load.finish()
    cost = deployment.cost(before, deployment.read_usage(), requests=plan.requests)
    latency = result.summary.latency
    return BenchResult(
        case="zone",
        seed=options.seed,
        policy=options.policy,
        entries=deployment.shape.entries,
        utilisation=UTILISATION,
        p50_ms=latency.p50_ms,
        p99_ms=latency.p99_ms,
        p999_ms=latency.p999_ms,
        ratio_to_ideal=round(latency.p99_ms / ideal_p99_ms(plan), 3),
        ratio_to_random=round(latency.p99_ms / random_p99_ms(plan, seed=options.seed), 3),
        probes_per_target_s=cost.probes_per_target_s,
        control_bytes_per_s=cost.control_bytes_per_s,
        cpu_us_per_request=cost.cpu_us_per_request,
        errors=errors(result),
        duplicates=duplicates(result),
        new_work_after_zone_out=new_work,
    )


def _move_zone(deployment: Deployment) -> int:
    time.sleep(SETTLE_S)
    deployment.cluster.command("zone", "out", MOVED_ZONE)
    # Every process of the machine reads the same monotonic clock.
    goal_ms = now_ms() + GOAL_MS
    time.sleep(GOAL_MS / 1000.0 + OBSERVED_S)
    return_ms = now_ms()
    deployment.cluster.command("zone", "in", MOVED_ZONE)
    started = [execution.started_ms for execution in deployment.executions(MOVED_ZONE)]
    return sum(goal_ms < started_ms < return_ms for started_ms in started)
