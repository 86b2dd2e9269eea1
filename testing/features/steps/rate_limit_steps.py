"""Steps for targets that state a request rate for all entries together."""

from __future__ import annotations

import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._gateway import FleetLimits
from kingcupusher._limits.shares import EntryRank
from testing.gateway.fixture import GatewayFixture

ANY_RATE = "any"
COLD = "cold"
COLD_LOAD = "0,0,100,2000"
NORMAL_LOAD = "0,0,100,0"
SLOWER_LOAD = "0,0,130,0"
"""Still acceptable, so that a target with a rate is preferred."""
WINDOW_S = 4.0


def _load(rate):
    if rate == COLD:
        return COLD_LOAD
    return SLOWER_LOAD if rate == ANY_RATE else f"{NORMAL_LOAD},{rate}"


@given("a gateway that is one of {count:d} entries, with targets that take these rates: {rates}")
def given_rates(context, count, rates):
    context.entries = [f"e{i + 1}" for i in range(count)]
    context.rates = rates.split(", ")
    context.before = []
    context.options = {}


@given("a gateway that knows no other entry, with one cold target that takes 64 requests a second")
def given_unknown_entries(context):
    given_rates(context, 0, COLD)
    # The cold target of the fixture takes 4 requests a second.
    context.options["fleet_limits"] = FleetLimits(
        retry_slack=320.0, probes_per_s=1_000_000.0, cold_overshoot=16.0
    )


@given("{count:d} callers were served before the target states the rate {rate:g}")
def given_served_before(context, count, rate):
    async def serve(fixture):
        await _send_lookups(fixture, count, prefix="before")
        fixture.targets[0].load = _load(rate)

    context.before.append(serve)


@given("the target states no rate {delay_ms:d} ms after a refusal")
def given_rate_ends(context, delay_ms):
    async def end_rate(fixture):
        (response,) = await _send_lookups(fixture, 1, prefix="refused")
        assert response[0] == 503, response
        fixture.targets[0].load = NORMAL_LOAD
        await curio.sleep(delay_ms / 1000.0)

    context.before.append(end_rate)


async def _send_lookups(fixture, count, *, prefix="r"):
    tasks = [await curio.spawn(_timed_lookup, fixture, f"{prefix}{i}") for i in range(count)]
    return [await task.join() for task in tasks]


async def _timed_lookup(fixture, request_id):
    started_ms = now_ms()
    status, headers, _ = await fixture.call("lookup", request_id)
    return status, headers, now_ms() - started_ms


def _run(context, action):
    async def main():
        async with GatewayFixture(
            ["healthy"] * len(context.rates),
            loads=[_load(rate) for rate in context.rates],
            entries=context.entries,
            **context.options,
        ) as fixture:
            context.fixture = fixture
            for before in context.before:
                await before(fixture)
            async with curio.timeout_after(20):
                return await action(fixture)

    return curio.run(main)


@when("{count:d} callers send a lookup at the same time")
def when_lookups(context, count):
    context.responses = _run(context, lambda fixture: _send_lookups(fixture, count))


@when("a request claims the target and is released without being sent")
def when_released(context):
    async def action(fixture):
        selector = fixture.gateway.selector
        service = fixture.table.services["s"]
        claims = []
        for _ in range(2):
            results = await selector.probe_targets(service, exclude=(), deadline_ms=now_ms() + 500)
            claims.append(selector.claim_first(results.usable, service, criteria=None))
            await selector.release(results.usable)
        return claims

    context.claims = _run(context, action)


@then("another request can claim the target")
def then_claimed_again(context):
    # Guards against a share that is used up by requests that were never sent.
    assert all(context.claims), context.claims


@then("each target ran at most its share of 4 s of its rate")
def then_within_share(context):
    # Guards against a target in need that gets its limit from each entry instead of from all.
    for target, rate in zip(context.fixture.targets, context.rates, strict=True):
        if rate != ANY_RATE:
            rank = EntryRank.of("e1", entries=context.entries, target_id=target.target_id)
            bound = rank.share(int(float(rate) * WINDOW_S))
            assert len(target.executed) <= bound, (target.target_id, target.executed, bound)


@then("the others got status {status:d} with Retry-After within {bound_ms:d} ms")
def then_refused_at_once(context, status, bound_ms):
    # Guards against requests that wait for a target although no share can open in time.
    refused = [response for response in context.responses if response[0] != 200]
    assert refused, context.responses
    for response in refused:
        assert response[0] == status and b"retry-after" in response[1], response
        assert response[2] < bound_ms, response


@then("all requests were served")
def then_all_served(context):
    assert all(response[0] == 200 for response in context.responses), context.responses


@then("the first target ran {count:d} requests")
def then_first_target_ran(context, count):
    executed = context.fixture.targets[0].executed
    assert len(executed) == count, executed
