"""Latency and CPU time that one entry adds to a request."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct

from bench.cases import CASES, Options
from bench.deployment import HOST, Cost, Deployment, Shape, duplicates, errors
from bench.result import BenchResult
from standins.load.plan import PlanSettings
from standins.load.process import LoadOptions, LoadProcess, LoadResult
from standins.load.summary import Latency
from standins.processes import ProcessGroup

# Many slots and short work: no request waits for a slot, so that only the path is measured.
TARGETS = 3
SLOTS = 50
SERVICE_TIME_MS = 5.0
# The direct load has targets of its own, so that neither load delays the other at a target.
DIRECT = "direct"
# Service times are almost constant, so that the difference of two quantiles is the added time.
SERVICE_TIME_SHAPE = 10_000.0
LOW_RATE_PER_S = 200.0
DURATION_S = 20.0
QUICK_DURATION_S = 6.0
SATURATION_SHARE = 0.8
US_PER_S = 1_000_000.0


class Comparison(Struct, frozen=True):
    """The same plan sent straight to targets and through one entry at the same time."""

    direct: LoadResult
    through: LoadResult
    cost: Cost


@CASES.register("added-latency")
def added_latency(options: Options) -> Iterator[BenchResult]:
    """Compare at a low rate, and near the rate at which the entry uses a whole core."""
    shape = Shape(
        entries=1,
        targets=TARGETS,
        slots=SLOTS,
        service_time_ms=SERVICE_TIME_MS,
        policy=options.policy,
    )
    duration_s = QUICK_DURATION_S if options.quick else DURATION_S
    with ProcessGroup() as group:
        deployment = Deployment(group, shape)
        deployment.start(bystanders=DIRECT)
        low = _compare(deployment, _plan(options.seed, LOW_RATE_PER_S, duration_s))
        yield from _results(options, low, "200/s")
        if options.quick:
            return
        high_rate_per_s = SATURATION_SHARE * US_PER_S / low.cost.cpu_us_per_request
        high = _compare(deployment, _plan(options.seed + 1, high_rate_per_s, duration_s))
        yield from _results(options, high, f"{high_rate_per_s:.0f}/s")


def _plan(seed: int, rate_per_s: float, duration_s: float) -> PlanSettings:
    return PlanSettings(
        seed=seed * 100,
        rate_per_s=rate_per_s,
        requests=int(rate_per_s * duration_s),
        service_time_ms=SERVICE_TIME_MS,
        service_time_shape=SERVICE_TIME_SHAPE,
    )


def _compare(deployment: Deployment, plan: PlanSettings) -> Comparison:
    before = deployment.read_usage()
    through = deployment.start_load(f"through-{plan.seed}", plan)
    options = LoadOptions(
        entries=[target.address for target in deployment.cluster.targets_of(DIRECT)],
        host=HOST,
        plan=plan,
    )
    direct = LoadProcess(deployment.group, f"direct-{plan.seed}", options)
    through_result, direct_result = through.finish(), direct.finish()
    cost = deployment.cost(before, deployment.read_usage(), requests=plan.requests)
    return Comparison(direct_result, through_result, cost)


def _results(options: Options, found: Comparison, label: str) -> Iterator[BenchResult]:
    direct, through = found.direct.summary.latency, found.through.summary.latency
    yield _result(options, f"direct-{label}", direct, errors(found.direct))
    result = _result(options, f"through-entry-{label}", through, errors(found.through))
    result.duplicates = duplicates(found.through)
    result.cpu_us_per_request = found.cost.cpu_us_per_request
    result.probes_per_target_s = found.cost.probes_per_target_s
    yield result
    yield BenchResult(
        case=f"added-{label}",
        seed=options.seed,
        policy=options.policy,
        entries=1,
        p50_ms=round(through.p50_ms - direct.p50_ms, 3),
        p99_ms=round(through.p99_ms - direct.p99_ms, 3),
        p999_ms=round(through.p999_ms - direct.p999_ms, 3),
    )


def _result(options: Options, case: str, latency: Latency, failed: int) -> BenchResult:
    return BenchResult(
        case=case,
        seed=options.seed,
        policy=options.policy,
        entries=1,
        p50_ms=latency.p50_ms,
        p99_ms=latency.p99_ms,
        p999_ms=latency.p999_ms,
        errors=failed,
    )
