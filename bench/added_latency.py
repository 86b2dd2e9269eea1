"""Latency and CPU time that one entry adds to a request."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct

from bench.cases import Options, case, new_result, plan_seed
from bench.deployment import Deployment, duplicates, errors, sent_late_share
from bench.result import BenchResult
from bench.usage import US_PER_S, cpu_us
from standins.load.plan import PlanSettings
from standins.load.process import LoadResult

# Short work: even near saturation of the entry no request waits for a slot of a target.
WORK_MS = 5.0
# Service times are almost constant, so that the difference of two quantiles is the added time.
SHAPE = 10_000.0
LOW_RATE_PER_S = 200.0
DURATION_S = 20.0
QUICK_DURATION_S = 5.0
SATURATION_SHARE = 0.8
LOW_PART = 2
HIGH_PART = 3


class _Comparison(Struct, frozen=True):
    """The same plan sent straight to targets and through one entry at the same time."""

    rate_per_s: float
    direct: LoadResult
    through: LoadResult
    cpu_us_per_request: float


@case("added-latency", entry_counts=(3,))
def added_latency(deployment: Deployment, options: Options) -> Iterator[BenchResult]:
    """Compare at a low rate, and near the rate at which the entry uses a whole core."""
    duration_s = QUICK_DURATION_S if options.quick else DURATION_S
    low = _compare(deployment, _plan(plan_seed(options, LOW_PART), LOW_RATE_PER_S, duration_s))
    yield from _results(deployment, options, low)
    if options.quick:
        return
    high_rate_per_s = SATURATION_SHARE * US_PER_S / low.cpu_us_per_request
    high = _compare(deployment, _plan(plan_seed(options, HIGH_PART), high_rate_per_s, duration_s))
    yield from _results(deployment, options, high)


def _plan(seed: int, rate_per_s: float, duration_s: float) -> PlanSettings:
    return PlanSettings(
        seed=seed,
        rate_per_s=rate_per_s,
        requests=int(rate_per_s * duration_s),
        service_time_ms=WORK_MS,
        service_time_shape=SHAPE,
    )


def _compare(deployment: Deployment, plan: PlanSettings) -> _Comparison:
    entry = deployment.cluster.entries[0]
    before_us = cpu_us(entry.process.pid)
    through = deployment.start_load(f"through-{plan.seed}", plan, entries=[entry.caller_address])
    direct = deployment.start_direct_load(f"direct-{plan.seed}", plan)
    through_result, direct_result = through.wait_for_result(), direct.wait_for_result()
    used_us = cpu_us(entry.process.pid) - before_us
    return _Comparison(plan.rate_per_s, direct_result, through_result, used_us / plan.requests)


def _results(deployment: Deployment, options: Options, found: _Comparison) -> Iterator[BenchResult]:
    rate = f"{found.rate_per_s:.0f}/s"
    direct = new_result(f"direct-{rate}", deployment, options)
    _fill(direct, found.direct)
    yield direct
    through = new_result(f"through-entry-{rate}", deployment, options)
    _fill(through, found.through)
    through.duplicates = duplicates(found.through)
    through.cpu_us_per_request = round(found.cpu_us_per_request, 1)
    yield through
    yield _difference(new_result(f"added-{rate}", deployment, options), found)


def _fill(result: BenchResult, load: LoadResult) -> None:
    result.p50_ms = load.summary.latency.p50_ms
    result.p99_ms = load.summary.latency.p99_ms
    result.p999_ms = load.summary.latency.p999_ms
    result.requests = load.summary.requests
    result.errors = errors(load)
    result.sent_late_share = sent_late_share(load)


def _difference(result: BenchResult, found: _Comparison) -> BenchResult:
    direct, through = found.direct.summary.latency, found.through.summary.latency
    result.p50_ms = round(through.p50_ms - direct.p50_ms, 3)
    result.p99_ms = round(through.p99_ms - direct.p99_ms, 3)
    result.p999_ms = round(through.p999_ms - direct.p999_ms, 3)
    return result
