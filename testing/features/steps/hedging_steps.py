"""Steps for the limit on hedges, the time of a hedge, and their effect in a queueing model."""

from __future__ import annotations

from bisect import bisect_right
from math import inf
from random import Random

from behave import given, then, when
from hypothesis import strategies as st

from kingcupusher._limits.hedge_limit import FLEET_SLACK, HedgeLimit
from kingcupusher._routing.hedging import MIN_SAMPLES, WINDOW_SAMPLES, OverdueShare, RelativeTimes
from kingcupusher_platform.settings import SettingsFileError, parse_hedge_percent
from testing.hedging_model import Deployment, HedgingModel
from testing.properties import check_property

DEPLOYMENTS = {
    "85 ms": {"work_ms": 85.0, "objective_ms": 308.0, "deadline_ms": 815.0, "slots": 2},
    "281 ms": {"work_ms": 281.0, "objective_ms": 913.0, "deadline_ms": 2_400.0, "slots": 4},
}
REQUESTS = 4_000
STEP_MS = 500
WINDOW_MS = 10_000.0
CALM_MS = 40_000.0
SPARE_LOAD = 0.1
"""So low that no request waits and good targets are free, which would hold hedges back as well."""


@then("in no history has a window more hedges than its share of the requests and the saved ones")
def then_window_share(context):
    # Guards against an entry that saves its share in a calm time and spends it at once.
    def prop(share, entries, steps, seed):
        limit = HedgeLimit(share=share, rng=Random(seed))
        saved = max(1.0, FLEET_SLACK / entries)
        hedges = [0]
        for tries, is_refunded in steps:
            limit.on_request(entries=entries)
            sent = 0
            for _ in range(tries):
                if limit.try_spend():
                    if is_refunded:
                        limit.refund()
                        break
                    sent += 1
            hedges.append(hedges[-1] + sent)
        for end in range(len(hedges)):
            for begin in range(end):
                assert hedges[end] - hedges[begin] <= share * (end - begin) + saved + 1e-6

    check_property(
        context,
        prop,
        share=st.floats(0.0, 1.0),
        entries=st.integers(1, 312),
        steps=st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=80),
        seed=st.integers(0, 2**32),
    )


def _fleet_hedges(entries, *, per_s, percent, seed):
    """Return times of requests and of hedges, which all requests want after a calm time."""
    rng = Random(seed)
    requests, hedges = [], []
    for _ in range(entries):
        limit = HedgeLimit(share=percent / 100.0, rng=rng)
        now_ms = rng.expovariate(per_s / 1_000.0)
        while now_ms < 2 * CALM_MS:
            requests.append(now_ms)
            limit.on_request(entries=entries)
            if now_ms >= CALM_MS and limit.try_spend():
                hedges.append(now_ms)
            now_ms += rng.expovariate(per_s / 1_000.0)
    return sorted(requests), sorted(hedges)


def _count(times_ms, end_ms):
    return bisect_right(times_ms, end_ms) - bisect_right(times_ms, end_ms - WINDOW_MS)


@then(
    "{entries:d} entries with {per_s:g} requests a second stay within {percent:g} percent when all"
    " want hedges after a calm time"
)
def then_fleet_limit(context, entries, per_s, percent):
    # Guards against the moment when all targets become slow and every entry holds a saved hedge.
    slack = max(entries, FLEET_SLACK)
    for seed in range(3):
        requests, hedges = _fleet_hedges(entries, per_s=per_s, percent=percent, seed=seed)
        for end_ms in range(10_000, int(2 * CALM_MS), STEP_MS):
            excess = _count(hedges, end_ms) - percent / 100.0 * _count(requests, end_ms)
            assert excess <= slack, (seed, end_ms, excess)
    context.hedge_share = len(hedges) / (len(requests) - bisect_right(requests, CALM_MS))


@then("they use at least {percent:g} percent for hedges while all want them")
def then_share_used(context, percent):
    # Guards against entries with less than one hedge a window that may never send one.
    assert context.hedge_share >= percent / 100.0, context.hedge_share


@then("no quantile is read before enough samples, and it equals that of the last samples")
def then_quantile(context):
    # Guards against memory that grows with the requests, and against a percentile that drifts.
    def prop(values, share):
        times = RelativeTimes()
        for count, value in enumerate(values):
            assert times.has_enough_samples == (count >= MIN_SAMPLES)
            delay_ms = times.hedge_delay_ms(
                expected_ms=100.0, typical_ms=100.0, until_objective_ms=300.0
            )
            assert (delay_ms == inf) == (count < MIN_SAMPLES)
            times.add(value)
        recent = sorted(values[-WINDOW_SAMPLES:])
        below = sum(value <= times.quantile(share) for value in recent)
        assert below >= share * len(recent)
        assert sum(value < times.quantile(share) for value in recent) < share * len(recent)

    check_property(
        context,
        prop,
        values=st.lists(st.floats(0.01, 50.0), min_size=1, max_size=300),
        share=st.floats(0.5, 1.0),
    )


@then("a hedge is sent before the 95th percentile only if that meets the objective")
def then_hedge_time(context):
    # Guards against hedges that always come too late for a tight objective.
    times = RelativeTimes()
    for value in range(100):
        times.add(1.0 + value / 25.0)

    def delay_ms(until_objective_ms):
        return times.hedge_delay_ms(
            expected_ms=85.0, typical_ms=85.0, until_objective_ms=until_objective_ms
        )

    p90_ms, p95_ms = 85.0 * times.quantile(0.9), 85.0 * times.quantile(0.95)
    assert delay_ms(10_000.0) == p95_ms
    assert p90_ms <= delay_ms(p90_ms + 100.0) < p95_ms
    assert delay_ms(100.0) == p95_ms


def _run(name, percent, **options):
    deployment = Deployment(**DEPLOYMENTS[name], entries=options.pop("entries", 20))
    count = options.pop("count", REQUESTS)
    return HedgingModel(deployment, percent=percent, **options).run(count)


@when("the model runs a route of {name} with hedging off and with {percent:g} percent")
def when_model(context, name, percent):
    context.percent = percent
    context.objective_ms = DEPLOYMENTS[name]["objective_ms"]
    context.off, context.on = _run(name, 0.0), _run(name, percent)


@then("hedging changes p50 by at most {tolerance:g}, and lowers p99 at least to {ratio:g} of it")
def then_latency(context, tolerance, ratio):
    # Guards against hedges that add load without shortening the slowest responses.
    p50 = context.on.latency_ms(0.5) / context.off.latency_ms(0.5)
    p99 = context.on.latency_ms(0.99) / context.off.latency_ms(0.99)
    assert abs(p50 - 1.0) <= tolerance and p99 <= ratio, (p50, p99)
    late = [model.late_share(context.objective_ms) for model in (context.off, context.on)]
    assert late[1] < late[0], late


@then("the hedges stay within the limit in each window")
def then_extra_work(context):
    model = context.on
    end_ms = int(model.requests_ms[-1])
    slack = max(len(model.entries), FLEET_SLACK)
    for at_ms in range(int(WINDOW_MS), end_ms, STEP_MS):
        allowed = context.percent / 100.0 * _count(model.requests_ms, at_ms) + slack
        assert _count(model.hedges_ms, at_ms) <= allowed, (at_ms, allowed)


@given("all targets of the model become {factor:g} times slower at once, with {percent:g} percent")
def given_slow_fleet(context, factor, percent):
    context.percent = percent
    context.on = _run(
        "85 ms",
        percent,
        load=SPARE_LOAD,
        slow_from_ms=15_000.0,
        slow_factor=factor,
        entries=10,
        count=1_200,
    )


@then("less than {percent:g} percent of the requests are hedged in the 10 s after it")
def then_slow_fleet(context, percent):
    # Guards against a slow service that doubles its own load; a limit of 100 % would allow it.
    requests, hedges = context.on.requests_ms, context.on.hedges_ms
    share = _count(hedges, 25_000.0) / _count(requests, 25_000.0)
    assert share < percent / 100.0, share


@then("a service counts as slow after {count:d} overdue responses, and seldom at the usual share")
def then_slow_service(context, count):
    # Guards against hedges that go on while the whole service is slow, and against none at all.
    overdue = OverdueShare()
    rng, slow = Random(1), 0
    for _ in range(5_000):
        overdue.record(is_overdue=rng.random() < 0.1)
        slow += overdue.is_service_slow
    assert slow < 0.02 * 5_000, slow
    overdue = OverdueShare()
    for sent in range(count):
        assert not overdue.is_service_slow or sent == count - 1, sent
        overdue.record(is_overdue=True)
    assert overdue.is_service_slow, overdue.share


@then("a hedge limit of {text} is read as {percent:g} percent")
def then_percent_read(context, text, percent):
    assert parse_hedge_percent("" if text == "nothing" else text) == percent


@then("a hedge limit of {text} is an error that names the variable")
def then_percent_refused(context, text):
    # Guards against an entry that starts with another limit than the operator meant.
    try:
        parse_hedge_percent(text)
    except SettingsFileError as error:
        assert "KINGCUPUSHER_HEDGE_PERCENT" in str(error) and text in str(error), error
        return
    raise AssertionError(f"{text} was accepted")
