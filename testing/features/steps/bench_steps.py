"""Steps for the reference latencies and bounds of the benchmark."""

from __future__ import annotations

from math import factorial, isclose
from statistics import fmean

from behave import given, then, when

from bench.bounds import broken_bounds
from bench.queueing import random_latencies_ms, single_queue_latencies_ms
from bench.result import BenchResult
from standins.load.plan import PlannedRequest, PlanSettings, make_plan

SERVICE_TIME_MS = 10.0
UTILISATION = 0.6


def _numbers(text):
    return [float(part) for part in text.split()]


@given("requests that arrive at {arrivals} ms and take {services} ms")
def given_requests(context, arrivals, services):
    pairs = zip(_numbers(arrivals), _numbers(services), strict=True)
    context.plan = [PlannedRequest("a", at, work, True, 0, b"") for at, work in pairs]


@given("{count:d} requests with exponential service times at 60 % of {slots:d} slots")
def given_exponential(context, count, slots):
    settings = PlanSettings(
        seed=3,
        rate_per_s=UTILISATION * slots * 1000.0 / SERVICE_TIME_MS,
        requests=count,
        service_time_ms=SERVICE_TIME_MS,
        service_time_shape=1.0,
    )
    context.plan = make_plan(settings)


@when("they go through one queue in front of {slots:d} slots")
def when_single_queue(context, slots):
    context.slots = slots
    context.latencies = single_queue_latencies_ms(context.plan, slots=slots)


@then("their latencies are {latencies} ms")
def then_latencies(context, latencies):
    assert context.latencies == _numbers(latencies), context.latencies


def _erlang_c_wait_ms(slots):
    offered_load = UTILISATION * slots
    tail = offered_load**slots / factorial(slots) / (1 - UTILISATION)
    wait_share = tail / (sum(offered_load**n / factorial(n) for n in range(slots)) + tail)
    return wait_share * SERVICE_TIME_MS / (slots * (1 - UTILISATION))


@then("their mean waiting time is that of the Erlang C formula within 10 %")
def then_erlang_c_wait(context):
    waits_ms = [
        latency - planned.service_time_ms
        for latency, planned in zip(context.latencies, context.plan, strict=True)
    ]
    expected_ms = _erlang_c_wait_ms(context.slots)
    # The sampling error of this mean is up to 7 % over seven seeds.
    assert isclose(fmean(waits_ms), expected_ms, rel_tol=0.10), (fmean(waits_ms), expected_ms)


@then("random routing to 1 target of {slots:d} slots gives the same latencies")
def then_random_routing(context, slots):
    latencies = random_latencies_ms(context.plan, targets=1, slots=slots, seed=1)
    assert latencies == context.latencies


@given("a result of case {case} with {field} {value:g}")
def given_result(context, case, field, value):
    result = BenchResult(case=case, seed=1, policy="p", entries=3, utilisation=0.85)
    setattr(result, field, value)
    context.result = result


@then("{broken:d} bounds are broken")
def then_broken(context, broken):
    problems = list(broken_bounds(context.result))
    assert len(problems) == broken, problems


@given("its {requests:d} requests over 12 targets")
def given_request_count(context, requests):
    context.result.requests = requests
