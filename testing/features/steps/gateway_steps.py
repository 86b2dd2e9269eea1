"""Steps for the request path to targets that register themselves."""

from __future__ import annotations

import json

import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._discovery import (
    TargetGone,
    TargetSeen,
    ZoneTakenOut,
)
from kingcupusher._gateway import FleetLimits
from testing.gateway.fixture import World, read_responses, record, request_bytes, route_table

REQUESTS = {
    "a lookup": ("lookup", {}),
    "a transfer": ("transfer", {}),
    "a hurried lookup": ("lookup", {"timeout_ms": 200}),
    "a hurried transfer": ("transfer", {"timeout_ms": 200}),
    "an unknown path": ("unknown", {}),
}
COLD_LOAD = "0,0,100,2000"
COLD_SLOW_LOAD = "0,0,400,2000"
CROWDED_LOAD = "2,0,100,0"
FULL_LOAD = "3,9,100,0"


def run(context, action):
    """Run ``action`` with the world of the scenario, prepared as the givens say."""

    async def main():
        async with World(context.behaviours, **context.options) as world:
            context.world = world
            for prepare in context.prepare:
                await prepare(world)
            async with curio.timeout_after(20):
                return await action(world)

    return curio.run(main)


def _start(context, behaviours, **options):
    context.behaviours = behaviours
    context.options = options
    context.prepare = []


def _let_know_entries(context, count):
    async def prepare(world):
        names = [f"e{i + 1}" for i in range(count)]
        world.catalog.live_entries.mark_seen(names, now_ms=now_ms())

    context.prepare.append(prepare)


@given("a gateway before targets that behave as {targets}")
def given_gateway(context, targets):
    _start(context, targets.split(","))


@given("a gateway of {count:d} entries before one cold target")
def given_cold(context, count):
    fleet_limits = FleetLimits(retry_slack=0.0, probes_per_s=1_000_000.0, cold_overshoot=2.0)
    _start(context, ["well"], loads=[COLD_LOAD], fleet_limits=fleet_limits)
    _let_know_entries(context, count)


@given("a gateway of {count:d} entries before one target that bears {connections:d} connections")
def given_few_connections(context, count, connections):
    _start(context, ["slow"], table=route_table(max_connections=connections))
    _let_know_entries(context, count)


@given("a gateway without repeats before targets that behave as {targets}")
def given_no_repeats(context, targets):
    fleet_limits = FleetLimits(retry_ratio=0.0, retry_slack=0.0, probes_per_s=1_000_000.0)
    _start(context, targets.split(","), fleet_limits=fleet_limits)


@given("reading responses fails with an unexpected error")
def given_fault(context):
    async def prepare(world):
        def fail(_response):
            raise ValueError("a fault of the entry")

        world.gateway.header_codec.classify = fail

    context.prepare.append(prepare)


@when("a caller sends it a transfer and waits for the end of the connection")
def when_waits_for_end(context):
    async def action(world):
        sock = await world.connect()
        await sock.sendall(request_bytes("transfer"))
        return await sock.recv(65_536)

    started_ms = now_ms()
    context.received = run(context, action)
    context.elapsed_ms = now_ms() - started_ms


@then("the connection ended within {bound_ms:d} ms")
def then_ended(context, bound_ms):
    # Guards against a caller that waits until its deadline after a fault of the entry.
    assert context.received == b"", context.received
    assert context.elapsed_ms < bound_ms, context.elapsed_ms


@given("the first target looks better than the second")
def given_preference(context):
    async def prepare(world):
        world.targets[1].load = "0,0,130,0"

    context.prepare.append(prepare)


@given("a gateway that knows no routes")
def given_no_routes(context):
    _start(context, ["well"])

    async def prepare(world):
        world.catalog.route_table = None

    context.prepare.append(prepare)


async def _drain(world, target):
    world.catalog.apply([TargetSeen(record(target, is_draining=True))], now_ms=now_ms())


async def _take_zone_out(world, target):
    moved = record(target, zone="b", born_unix_ms=2)
    world.catalog.apply([TargetSeen(moved), ZoneTakenOut("b")], now_ms=now_ms())


async def _remove(world, target):
    world.catalog.apply([TargetGone(target.target_id)], now_ms=now_ms())


async def _replace(world, target):
    del world
    target.target_id = "another"


def _says(load):
    async def change(world, target):
        del world
        target.load = load

    return change


async def _fall_ill(world, target):
    del world
    target.behaviour = "ill"


STATES = {
    "draining": _drain,
    "in a zone that was taken out": _take_zone_out,
    "gone": _remove,
    "replaced at its address": _replace,
    "cold": _says(COLD_LOAD),
    "cold and slow now": _says(COLD_SLOW_LOAD),
    "crowded": _says(CROWDED_LOAD),
    "slow now": _says("0,0,400,0"),
    "full": _says(FULL_LOAD),
    "calling itself ill": _fall_ill,
}


def _prepare_target(context, index, state):
    async def prepare(world):
        await STATES[state](world, world.targets[index])

    context.prepare.append(prepare)


@given("the first target is {state}")
def given_state(context, state):
    _prepare_target(context, 0, state)


@given("the second target is {state}")
def given_second_state(context, state):
    _prepare_target(context, 1, state)


@given("the target is crowded for {duration_ms:d} ms")
def given_crowded(context, duration_ms):
    async def prepare(world):
        target = world.targets[0]
        target.load = CROWDED_LOAD

        async def recover():
            await curio.sleep(duration_ms / 1000.0)
            target.load = "0,0,100,0"

        await curio.spawn(recover, daemon=True)

    context.prepare.append(prepare)


@given("the target stays full")
def given_full(context):
    _prepare_target(context, 0, "full")


@when("a caller sends it {request}")
def when_sends(context, request):
    words = request.split()
    if words[0].isdigit():
        context.count = int(words[0])
        action = _at_once if request.endswith("at once") else _in_turn
        options = {"timeout_ms": 200} if "hurried" in words else {}
        context.responses = run(context, lambda world: action(world, context.count, **options))
        return
    if request == "three lookups in turn":
        context.responses = run(context, lambda world: _in_turn(world, 3))
        return
    name, options = REQUESTS[request]
    started_ms = now_ms()
    context.response = run(context, lambda world: world.call(name, **options))
    context.elapsed_ms = now_ms() - started_ms


async def _in_turn(world, count, **options):
    return [await world.call("lookup", f"r{i}", **options) for i in range(count)]


async def _at_once(world, count):
    async with curio.TaskGroup() as group:
        tasks = [await group.spawn(world.call, "lookup", f"r{i}") for i in range(count)]
    return [task.result for task in tasks]


@when("a caller sends three lookups at once on one connection")
def when_pipelined(context):
    async def action(world):
        sock = await world.connect()
        started_ms = now_ms()
        await sock.sendall(b"".join(request_bytes("lookup", f"r{i}") for i in range(3)))
        responses = await read_responses(sock, 3)
        context.elapsed_ms = now_ms() - started_ms
        return responses

    context.responses = run(context, action)


@when("a caller sends a lookup and closes its connection")
def when_gone(context):
    async def action(world):
        sock = await world.connect()
        await sock.sendall(request_bytes("lookup"))
        target = world.targets[0]
        while not target.ran:
            await curio.sleep(0.005)
        await sock.close()
        closed_ms = now_ms()
        while not target.cancelled and now_ms() < closed_ms + 3_000:
            await curio.sleep(0.005)
        return now_ms() - closed_ms

    context.elapsed_ms = run(context, action)


def _runs(context):
    return sum(len(target.ran) for target in context.world.targets)


@then("it gets status {status:d}, and {runs} runs are known to targets")
def then_status(context, status, runs):
    low, _, high = runs.partition("-")
    assert context.response[0] == status, context.response
    assert int(low) <= _runs(context) <= int(high or low), _runs(context)
    if status == 200:
        assert context.response[2].startswith(b"answer to r1"), context.response


@then("it gets status {status:d} with the time to come back, and no target ran it")
def then_refused(context, status):
    assert context.response[0] == status, context.response
    assert float(context.response[1][b"retry-after"]) >= 0.0
    assert _runs(context) == 0
    assert context.elapsed_ms < 1_500, context.elapsed_ms


@then("each caller gets the answer to its own request")
def then_own(context):
    bodies = [body for _, _, body in context.responses]
    assert bodies == [f"answer to r{i}".encode() for i in range(3)], context.responses


@then("the answers come in order, in less than the time of two")
def then_pipelined(context):
    then_own(context)
    assert context.elapsed_ms < 600, context.elapsed_ms


@then("the target's connection is closed within {bound_ms:d} ms")
def then_cancelled(context, bound_ms):
    assert context.world.targets[0].cancelled == 1
    assert context.elapsed_ms < bound_ms, context.elapsed_ms


@then("the first target got {count:d} of them")
def then_count(context, count):
    assert all(status == 200 for status, _, _ in context.responses), context.responses
    assert len(context.world.targets[0].ran) == count, context.world.targets[0].ran


@then("the first target got at most {bound:d} of them")
def then_at_most(context, bound):
    assert len(context.world.targets[0].arrived) <= bound, context.world.targets[0].arrived


@then("the target got at most a quarter of what a cold target bears")
def then_cold_share(context):
    # 4 requests a second, doubled by the fleet's rules, over 4 entries.
    assert 1 <= len(context.world.targets[0].ran) <= 2, context.world.targets[0].ran


@then("the second target ran it without a wait")
def then_cold_helped(context):
    # Guards against refusing or holding requests while new targets could take their first ones.
    assert context.response[0] == 200, context.response
    assert context.world.targets[1].ran == ["r1"], context.world.targets[1].ran
    assert '"event":"wait"' not in context.world.log_text()


@then("the second target ran it within {bound_ms:d} ms, and the log says that it was first")
def then_second_in_time(context, bound_ms):
    # Guards against an idempotent request that waits for a lost answer until its deadline.
    assert context.response[0] == 200, context.response
    assert context.world.targets[1].ran == ["r1"], context.world.targets[1].ran
    assert context.elapsed_ms < bound_ms, context.elapsed_ms
    lines = [json.loads(line) for line in context.world.log_text().splitlines()]
    outcomes = {line["target"]: line["outcome"] for line in lines if line["event"] == "send"}
    assert outcomes == {"t0": "superseded", "t1": "success"}, outcomes


@then("the first target got all {count:d} of it")
def then_stayed(context, count):
    assert context.response[0] == 200, context.response
    arrived = [len(target.arrived) for target in context.world.targets]
    assert arrived == [count, 0], arrived


@then("all of them are served over at most {bound:d} connections")
def then_few_connections(context, bound):
    assert all(status == 200 for status, _, _ in context.responses), context.responses
    assert context.world.targets[0].most_connections <= bound, context.world.targets[0]


@then("it is served after the target has room again, and the wait is in the log")
def then_waited(context):
    assert context.response[0] == 200, context.response
    assert context.elapsed_ms >= 100, context.elapsed_ms
    assert '"event":"wait"' in context.world.log_text()


@then("the log has the choice, the send with its reading and reason, and the end of the request")
def then_logged(context):
    lines = [json.loads(line) for line in context.world.log_text().splitlines()]
    by_event = {line["event"]: line for line in lines if line.get("id") == "r1"}
    assert by_event["choice"]["target"] == "t0", lines
    assert by_event["send"]["outcome"] == "broken" and by_event["send"]["reason"], lines
    assert by_event["send"]["reading_age_ms"] >= 0
    assert by_event["request"]["status"] == 502 and by_event["request"]["sends"] == 1


@then("the log has an unanswered send and the end of the request with status {status:d}")
def then_unanswered(context, status):
    lines = [json.loads(line) for line in context.world.log_text().splitlines()]
    by_event = {line["event"]: line for line in lines if line.get("id") == "r1"}
    assert by_event["send"]["outcome"] == "unanswered" and by_event["send"]["reason"], lines
    assert by_event["request"]["status"] == status, lines
