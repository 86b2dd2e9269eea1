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

# Short enough that no request waits for a slot of a target, even near saturation of the entry.
SERVICE_TIME_MS = 5.0
# Makes service times almost constant, so that the difference of two quantiles is the added time.
SERVICE_TIME_SHAPE = 10_000.0
LOW_RATE_PER_S = 200.0
DURATION_S = 20.0
QUICK_DURATION_S = 5.0
HIGH_RATE_CPU_SHARE = 0.8
LOW_PLAN = 2
HIGH_PLAN = 3


class _LoadPair(Struct, frozen=True):
    """Results of one plan that was sent directly to targets and through one entry in parallel."""

    rate_per_s: float
    direct: LoadResult
    proxied: LoadResult
    cpu_us_per_request: float


@case("added-latency", entry_counts=(3,))
def added_latency(deployment: Deployment, options: Options) -> Iterator[BenchResult]:
    """Compare at a low rate, and near the rate at which the entry saturates one core."""
    duration_s = QUICK_DURATION_S if options.quick else DURATION_S
    low = _compare(deployment, _plan(plan_seed(options, LOW_PLAN), LOW_RATE_PER_S, duration_s))
    yield from _results(deployment, options, low)
    if options.quick:
        return
    high_rate_per_s = HIGH_RATE_CPU_SHARE * US_PER_S / low.cpu_us_per_request
    high = _compare(deployment, _plan(plan_seed(options, HIGH_PLAN), high_rate_per_s, duration_s))
    yield from _results(deployment, options, high)


def _plan(seed: int, rate_per_s: float, duration_s: float) -> PlanSettings:
    return PlanSettings(
        seed=seed,
        rate_per_s=rate_per_s,
        requests=int(rate_per_s * duration_s),
        service_time_ms=SERVICE_TIME_MS,
        service_time_shape=SERVICE_TIME_SHAPE,
    )


def _compare(deployment: Deployment, plan: PlanSettings) -> _LoadPair:
    entry = deployment.cluster.entries[0]
    cpu_before_us = cpu_us(entry.process.pid)
    proxied = deployment.start_load(f"through-{plan.seed}", plan, entries=[entry.caller_address])
    direct = deployment.start_direct_load(f"direct-{plan.seed}", plan)
    proxied_result, direct_result = proxied.wait_for_result(), direct.wait_for_result()
    used_cpu_us = cpu_us(entry.process.pid) - cpu_before_us
    return _LoadPair(plan.rate_per_s, direct_result, proxied_result, used_cpu_us / plan.requests)


def _results(deployment: Deployment, options: Options, pair: _LoadPair) -> Iterator[BenchResult]:
    rate = f"{pair.rate_per_s:.0f}/s"
    direct = new_result(f"direct-{rate}", deployment, options)
    _set_load_figures(direct, pair.direct)
    yield direct
    proxied = new_result(f"through-entry-{rate}", deployment, options)
    _set_load_figures(proxied, pair.proxied)
    proxied.duplicates = duplicates(pair.proxied)
    proxied.cpu_us_per_request = round(pair.cpu_us_per_request, 1)
    yield proxied
    yield _difference(new_result(f"added-{rate}", deployment, options), pair)


def _set_load_figures(result: BenchResult, load: LoadResult) -> None:
    result.p50_ms = load.summary.latency.p50_ms
    result.p99_ms = load.summary.latency.p99_ms
    result.p999_ms = load.summary.latency.p999_ms
    result.requests = load.summary.requests
    result.errors = errors(load)
    result.sent_late_share = sent_late_share(load)


def _difference(result: BenchResult, pair: _LoadPair) -> BenchResult:
    direct, proxied = pair.direct.summary.latency, pair.proxied.summary.latency
    result.p50_ms = round(proxied.p50_ms - direct.p50_ms, 3)
    result.p99_ms = round(proxied.p99_ms - direct.p99_ms, 3)
    result.p999_ms = round(proxied.p999_ms - direct.p999_ms, 3)
    return result
