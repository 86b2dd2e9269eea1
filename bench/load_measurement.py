"""Measures the service under a load plan and compares it with computed reference latencies."""

from __future__ import annotations

from collections.abc import Callable

from bench.cases import Options, new_result
from bench.deployment import SLOTS, TARGETS, Deployment, duplicates, errors, sent_late_share
from bench.queueing import random_latencies_ms, single_queue_latencies_ms
from bench.result import BenchResult
from standins.load.plan import PlanSettings, make_plan
from standins.load.summary import summarise_latency


def measure_under_load(
    name: str,
    deployment: Deployment,
    options: Options,
    plan: PlanSettings,
    *,
    during_load: Callable[[], None] | None = None,
) -> BenchResult:
    """Send a plan to all entries, call ``during_load`` meanwhile and return the figures."""
    before = deployment.read_usage()
    load = deployment.start_load(f"{name}-{plan.seed}", plan)
    if during_load:
        during_load()
    load_result = load.wait_for_result()
    cost = deployment.cost_between(before, deployment.read_usage())
    latency = load_result.summary.latency
    result = new_result(name, deployment, options)
    result.p50_ms = latency.p50_ms
    result.p99_ms = latency.p99_ms
    result.p999_ms = latency.p999_ms
    result.ratio_to_ideal = round(latency.p99_ms / _ideal_p99_ms(plan), 3)
    result.ratio_to_random = round(latency.p99_ms / _random_p99_ms(plan), 3)
    result.probes_per_target_s = cost.probes_per_target_s
    result.control_bytes_per_s = cost.control_bytes_per_s
    result.cpu_us_per_request = round(cost.cpu_us / plan.requests, 1)
    result.requests = load_result.summary.requests
    result.errors = errors(load_result)
    result.sent_late_share = sent_late_share(load_result)
    result.duplicates = duplicates(load_result)
    return result


def _ideal_p99_ms(plan: PlanSettings) -> float:
    latencies_ms = single_queue_latencies_ms(make_plan(plan), slots=TARGETS * SLOTS)
    return summarise_latency(latencies_ms).p99_ms


def _random_p99_ms(plan: PlanSettings) -> float:
    requests = make_plan(plan)
    latencies_ms = random_latencies_ms(requests, targets=TARGETS, slots=SLOTS, seed=plan.seed)
    return summarise_latency(latencies_ms).p99_ms
