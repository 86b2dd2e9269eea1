"""Steps for hedged requests of a gateway with fake targets."""

from __future__ import annotations

import json
from math import inf
from random import Random

import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from testing.gateway.fixture import route_table, run_with_fixture

KNOWN_RESPONSES = 30
HEDGE_EVENTS = ("hedge", "hedge held back")


async def _know_response_times(fixture):
    state = fixture.gateway.hedge_state
    if state is not None:
        for route in ("lookup", "transfer"):
            for _ in range(KNOWN_RESPONSES):
                state.relative_times(route).add(1.0)


@given("hedges of up to {percent:d} percent, with the usual response times known")
def given_hedges(context, percent):
    context.options["hedge_percent"] = percent
    context.preparations.append(_know_response_times)


@given("hedges of up to {percent:d} percent, without known response times")
def given_hedges_at_start(context, percent):
    context.options["hedge_percent"] = percent


@given("another request waits for a target")
def given_waiting(context):
    async def prepare(fixture):
        async def add_after_send():
            while not fixture.targets[0].received:
                await curio.sleep(0.001)
            # Until the slow target has responded, so that the hedge finds no later moment either.
            order = fixture.gateway.wait_queue("s")._order
            waiting = order.add(
                None, priority=0, customer=None, received_ms=now_ms(), late_at_ms=inf
            )
            await curio.sleep(0.4)
            order.remove(waiting)

        await curio.spawn(add_after_send, daemon=True)

    context.preparations.append(prepare)


@given("the entry drains once the first target has the request")
def given_draining(context):
    async def prepare(fixture):
        async def drain():
            while not fixture.targets[0].received:
                await curio.sleep(0.001)
            fixture.gateway.drain.start(grace_period_ms=6_000.0, now_ms=now_ms())

        await curio.spawn(drain, daemon=True)

    context.preparations.append(prepare)


@when("a lookup is hedged and the connection of its first target is watched")
def when_watched(context):
    async def action(fixture):
        response = await fixture.call("lookup")
        answered_ms = now_ms()
        while not fixture.targets[0].disconnect_count and now_ms() < answered_ms + 1_000:
            await curio.sleep(0.005)
        context.cancelled_after_ms = now_ms() - answered_ms
        context.metrics = fixture.gateway.metrics.render().decode()
        return response

    context.response = run_with_fixture(context, action)


@then("the connection of the first target is closed within {bound_ms:d} ms of the response")
def then_loser_cancelled(context, bound_ms):
    # Guards against targets that go on working on a request whose response is not needed.
    assert context.response[0] == 200, context.response
    assert context.fixture.targets[0].disconnect_count == 1
    assert context.cancelled_after_ms < bound_ms, context.cancelled_after_ms


@then("the metrics count one hedge that was sent, won and cancelled an attempt")
def then_hedge_metrics(context):
    for event in ("sent", "won", "cancelled"):
        line = f'kingcupusher_hedges_total{{event="{event}",service="s"}} 1'
        assert line in context.metrics, context.metrics


def _hedge_lines(context):
    lines = [json.loads(line) for line in context.fixture.log_text().splitlines()]
    return [line for line in lines if line["event"] in HEDGE_EVENTS]


@then('the log names "{limit}" as the limit that held the hedge of "{request_id}" back')
def then_held_back(context, limit, request_id):
    found = [(line["id"], line.get("limit")) for line in _hedge_lines(context)]
    assert (request_id, limit) in found, found


@then("the log has no line about hedges")
def then_no_hedge_line(context):
    assert not _hedge_lines(context), _hedge_lines(context)


@given("requests go to one target at most")
def given_one_target(context):
    context.options["table"] = route_table(max_targets=1)


@given("most responses of the service were overdue")
def given_slow_service(context):
    async def prepare(fixture):
        for _ in range(KNOWN_RESPONSES):
            fixture.gateway.hedge_state.overdue_share("s").record(is_overdue=True)

    context.preparations.append(prepare)


@given("no hedge was saved up yet")
def given_no_permit(context):
    async def prepare(fixture):
        fixture.gateway.hedge_state._rng = Random(1)  # 87 requests until the first hedge

    context.preparations.append(prepare)
