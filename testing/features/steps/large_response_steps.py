"""Steps for routes with large responses."""

from __future__ import annotations

import curio
import msgspec
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._discovery import TargetGone, TargetSeen
from kingcupusher._routing.acceptance import large_response_cost
from testing.gateway.fixture import GatewayFixture, registration, route_table

FREE_LOAD = "0,0,100,0"
OWN_LOADS = {
    "is free": FREE_LOAD,
    "is three times as slow": "0,0,300,0",
    "is ten times as slow": "0,0,1000,0",
    "is full": "3,3,100,0",
    "has no target": FREE_LOAD,
}
OWN_COUNT = 2
LONG_OBJECTIVE_MS = 4_000.0
USUAL_MS = 230.0


def _table(*, has_large_responses):
    table = route_table()
    routes = tuple(
        msgspec.structs.replace(
            route, has_large_responses=has_large_responses, objective_ms=LONG_OBJECTIVE_MS
        )
        for route in table.routes
    )
    return msgspec.structs.replace(table, routes=routes)


@given("a gateway in zone a with targets whose own zone {state}, and free targets in zone b")
def given_zones(context, state):
    context.state = state


@when("a {kind} is sent to it {count:d} times")
def when_sent(context, count, kind):
    async def main():
        loads = [OWN_LOADS[context.state]] * OWN_COUNT + [FREE_LOAD] * OWN_COUNT
        fixture = GatewayFixture(
            ["healthy"] * len(loads),
            loads=loads,
            table=_table(has_large_responses=kind == "download"),
        )
        async with fixture, curio.timeout_after(20):
            own, other = fixture.targets[:OWN_COUNT], fixture.targets[OWN_COUNT:]
            changes = [TargetSeen(registration(t, zone="b", born_unix_ms=2)) for t in other]
            if context.state == "has no target":
                changes += [TargetGone(target.target_id) for target in own]
            fixture.catalog.apply(changes, now_ms=now_ms())
            # The estimate of the usual time begins as a share of the objective.
            for route in fixture.table.routes:
                fixture.gateway.response_time(route).recent_ms = USUAL_MS
            for number in range(count):
                status, _, _ = await fixture.call("lookup", f"r{number}")
                assert status == 200, status
            return {
                "a": sum(len(target.executed) for target in own),
                "b": sum(len(target.executed) for target in other),
            }

    context.count, context.runs = count, curio.run(main)


@then("all of them run in zone {zone}")
def then_zone(context, zone):
    assert context.runs[zone] == context.count, context.runs


@then(
    "with an objective of {objective:g} ms and a usual time of {typical:g} ms,"
    " a cost of {cost:g} is accepted for a large response"
)
def then_accepted(context, objective, typical, cost):
    limit = large_response_cost(objective_ms=objective, recent_ms=typical)
    assert abs(limit - cost) < 0.01, limit
