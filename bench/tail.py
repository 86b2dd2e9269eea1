"""Tail latency of a service against the all-knowing single queue."""

from __future__ import annotations

from collections.abc import Iterator

from bench.cases import CASES, Options
from bench.deployment import Deployment, Shape, duplicates, errors
from bench.queueing import random_latencies_ms, single_queue_latencies_ms
from bench.result import BenchResult
from standins.load.plan import PlanSettings, make_plan
from standins.load.summary import summarise_latency
from standins.processes import ProcessGroup

# 36 slots of 100 ms serve 360 requests/s, which is about the rate of one service in section 1.3;
# all processes together then use about one core, and the path itself adds 2 % to the p99.
TARGETS = 12
SLOTS = 3
SERVICE_TIME_MS = 100.0
ENTRY_COUNTS = (3, 15)
UTILISATIONS = (0.70, 0.85, 0.95)
REQUESTS = 15_000
QUICK_REQUESTS = 4_000


@CASES.register("tail")
def tail(options: Options) -> Iterator[BenchResult]:
    """Measure each number of entries at each utilisation."""
    for entries in ENTRY_COUNTS[:1] if options.quick else ENTRY_COUNTS:
        shape = Shape(
            entries=entries,
            targets=TARGETS,
            slots=SLOTS,
            service_time_ms=SERVICE_TIME_MS,
            policy=options.policy,
        )
        with ProcessGroup() as group:
            deployment = Deployment(group, shape)
            deployment.start()
            for utilisation in UTILISATIONS[1:2] if options.quick else UTILISATIONS:
                yield _measure(deployment, options, utilisation)


def _measure(deployment: Deployment, options: Options, utilisation: float) -> BenchResult:
    plan = deployment.plan(
        # A seed for each utilisation, because request ids contain it.
        seed=options.seed * 100 + round(utilisation * 100),
        utilisation=utilisation,
        requests=QUICK_REQUESTS if options.quick else REQUESTS,
    )
    before = deployment.read_usage()
    result = deployment.start_load(f"load-{plan.seed}", plan).finish()
    cost = deployment.cost(before, deployment.read_usage(), requests=plan.requests)
    latency = result.summary.latency
    return BenchResult(
        case="tail",
        seed=options.seed,
        policy=options.policy,
        entries=deployment.shape.entries,
        utilisation=utilisation,
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
    )


def ideal_p99_ms(plan: PlanSettings) -> float:
    """Return the p99 of the all-knowing single queue for a plan."""
    latencies = single_queue_latencies_ms(make_plan(plan), slots=TARGETS * SLOTS)
    return summarise_latency(latencies).p99_ms


def random_p99_ms(plan: PlanSettings, *, seed: int) -> float:
    """Return the p99 of random placement for a plan."""
    latencies = random_latencies_ms(make_plan(plan), targets=TARGETS, slots=SLOTS, seed=seed)
    return summarise_latency(latencies).p99_ms
