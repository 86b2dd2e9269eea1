"""Steps for the request path to self-registered targets."""

from __future__ import annotations

import json

import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._discovery import TargetGone, TargetSeen, ZoneTakenOut
from kingcupusher._gateway import FleetLimits
from testing.gateway.fixture import (
    read_responses,
    registration,
    request_bytes,
    route_table,
    run_with_fixture,
)

REQUESTS = {
    "a lookup": ("lookup", {}),
    "a transfer": ("transfer", {}),
    "a short-timeout lookup": ("lookup", {"timeout_ms": 200}),
    "a short-timeout transfer": ("transfer", {"timeout_ms": 200}),
    "an unknown path": ("unknown", {}),
}
COLD_LOAD = "0,0,100,2000"
COLD_SLOW_LOAD = "0,0,400,2000"
BUSY_LOAD = "2,0,100,0"
FULL_LOAD = "3,9,100,0"


def _set_up(context, behaviours, **options):
    context.behaviours = behaviours
    context.options = options
    context.preparations = []


def _add_entries(context, count):
    async def prepare(fixture):
        names = [f"e{i + 1}" for i in range(count)]
        fixture.catalog.live_entries.mark_seen(names, now_ms=now_ms())

    context.preparations.append(prepare)


@given("a gateway with these targets: {targets}")
def given_gateway(context, targets):
    _set_up(context, targets.split(","))


@given("a gateway that is one of {count:d} entries, with one cold target")
def given_cold(context, count):
    fleet_limits = FleetLimits(retry_slack=0.0, probes_per_s=1_000_000.0, cold_overshoot=2.0)
    _set_up(context, ["healthy"], loads=[COLD_LOAD], fleet_limits=fleet_limits)
    _add_entries(context, count)


@given(
    "a gateway that is one of {count:d} entries, with one target that accepts {connections:d}"
    " connections"
)
def given_few_connections(context, count, connections):
    _set_up(context, ["slow"], table=route_table(max_connections=connections))
    _add_entries(context, count)


@given("a gateway without retry budget, with these targets: {targets}")
def given_no_retry_budget(context, targets):
    fleet_limits = FleetLimits(retry_ratio=0.0, retry_slack=0.0, probes_per_s=1_000_000.0)
    _set_up(context, targets.split(","), fleet_limits=fleet_limits)


@given("a gateway whose targets take {count:d} probes in 12 s, with these targets: {targets}")
def given_few_probes(context, count, targets):
    # An entry uses 0.85 of the rate and saves the probes of 12 s.
    fleet_limits = FleetLimits(retry_slack=320.0, probes_per_s=count / 12.0 / 0.85)
    _set_up(context, targets.split(","), fleet_limits=fleet_limits)


@then("all of them are served after at most {bound:d} probes, and both targets ran some")
def then_served_by_readings(context, bound):
    # Guards against requests that are refused because no probe is left, although targets are free.
    assert all(status == 200 for status, _, _ in context.responses), context.responses
    targets = context.fixture.targets
    assert sum(target.probe_count for target in targets) <= bound
    assert all(len(target.executed) >= 5 for target in targets), [t.executed for t in targets]


@given("classifying responses raises an unexpected error")
def given_internal_error(context):
    async def prepare(fixture):
        def fail(_response):
            raise ValueError("an internal error of the entry")

        fixture.gateway.header_codec.classify = fail

    context.preparations.append(prepare)


@when("a caller sends it a transfer and waits for the end of the connection")
def when_waits_for_end(context):
    async def action(fixture):
        sock = await fixture.connect()
        await sock.sendall(request_bytes("transfer"))
        return await sock.recv(65_536)

    started_ms = now_ms()
    context.received = run_with_fixture(context, action)
    context.elapsed_ms = now_ms() - started_ms


@then("the log has the same fingerprint for both and another one for the third")
def then_fingerprints(context):
    # Guards against an incident in which nobody can tell that one request comes again and again.
    lines = [json.loads(line) for line in context.fixture.log_text().splitlines()]
    by_id = {line["id"]: line["fingerprint"] for line in lines if line["event"] == "send"}
    assert by_id["r0"] and by_id["r0"] == by_id["r1"] != by_id["r2"], by_id


@when("a caller sends it two equal lookups and a transfer")
def when_equal_lookups(context):
    async def action(fixture):
        await _in_turn(fixture, 2)
        await fixture.call("transfer", "r2")

    run_with_fixture(context, action)


@then("the connection ended within {bound_ms:d} ms")
def then_connection_ended(context, bound_ms):
    # Guards against a caller that waits until its deadline after an internal error.
    assert context.received == b"", context.received
    assert context.elapsed_ms < bound_ms, context.elapsed_ms


@given("the first target is preferred to the second")
def given_first_target_preferred(context):
    async def prepare(fixture):
        fixture.targets[1].load = "0,0,130,0"

    context.preparations.append(prepare)


@given("a gateway without routes")
def given_no_routes(context):
    _set_up(context, ["healthy"])

    async def prepare(fixture):
        fixture.catalog.route_table = None

    context.preparations.append(prepare)


async def _drain(fixture, target):
    fixture.catalog.apply([TargetSeen(registration(target, is_draining=True))], now_ms=now_ms())


async def _take_zone_out(fixture, target):
    moved = registration(target, zone="b", born_unix_ms=2)
    fixture.catalog.apply([TargetSeen(moved), ZoneTakenOut("b")], now_ms=now_ms())


async def _remove(fixture, target):
    fixture.catalog.apply([TargetGone(target.target_id)], now_ms=now_ms())


async def _replace(fixture, target):
    del fixture
    target.target_id = "another"


def _report_load(load):
    async def change(fixture, target):
        del fixture
        target.load = load

    return change


async def _become_unhealthy(fixture, target):
    del fixture
    target.behaviour = "unhealthy"


STATES = {
    "draining": _drain,
    "in a zone that was taken out": _take_zone_out,
    "removed": _remove,
    "replaced at its address": _replace,
    "cold": _report_load(COLD_LOAD),
    "cold and slow now": _report_load(COLD_SLOW_LOAD),
    "busy": _report_load(BUSY_LOAD),
    "slow now": _report_load("0,0,400,0"),
    "full": _report_load(FULL_LOAD),
    "reporting unhealthy": _become_unhealthy,
}


def _set_target_state(context, index, state):
    async def prepare(fixture):
        await STATES[state](fixture, fixture.targets[index])

    context.preparations.append(prepare)


@given("the first target is {state}")
def given_state(context, state):
    _set_target_state(context, 0, state)


@given("the second target is {state}")
def given_second_state(context, state):
    _set_target_state(context, 1, state)


@given("the target is busy for {duration_ms:d} ms")
def given_busy(context, duration_ms):
    async def prepare(fixture):
        target = fixture.targets[0]
        target.load = BUSY_LOAD

        async def recover():
            await curio.sleep(duration_ms / 1000.0)
            target.load = "0,0,100,0"

        await curio.spawn(recover, daemon=True)

    context.preparations.append(prepare)


@given("the target stays full")
def given_full(context):
    _set_target_state(context, 0, "full")


@when("a caller sends it {request}")
def when_sends(context, request):
    words = request.split()
    if words[0].isdigit():
        context.count = int(words[0])
        action = _at_once if request.endswith("at once") else _in_turn
        options = {"timeout_ms": 200} if "short-timeout" in words else {}
        context.responses = run_with_fixture(
            context, lambda fixture: action(fixture, context.count, **options)
        )
        return
    if request == "three lookups in turn":
        context.responses = run_with_fixture(context, lambda fixture: _in_turn(fixture, 3))
        return
    name, options = REQUESTS[request]
    started_ms = now_ms()
    context.response = run_with_fixture(context, lambda fixture: fixture.call(name, **options))
    context.elapsed_ms = now_ms() - started_ms


async def _in_turn(fixture, count, **options):
    return [await fixture.call("lookup", f"r{i}", **options) for i in range(count)]


async def _at_once(fixture, count):
    async with curio.TaskGroup() as group:
        tasks = [await group.spawn(fixture.call, "lookup", f"r{i}") for i in range(count)]
    return [task.result for task in tasks]


@when("the first target refuses a transfer and a caller sends another one")
def when_refused_first(context):
    async def action(fixture):
        await fixture.call("transfer", "r0")
        assert fixture.targets[0].received == ["r0"], fixture.targets[0].received
        return await fixture.call("transfer", "r1")

    context.response = run_with_fixture(context, action)


@then("the second transfer ran once and got status {status:d}")
def then_second_transfer(context, status):
    # Guards against a repeated refusal taken as proof that the next request did not run: the
    # request would run at a second target, or the caller would be told to send it again.
    executed = [r for target in context.fixture.targets for r in target.executed if r == "r1"]
    assert executed == ["r1"], [target.executed for target in context.fixture.targets]
    assert context.response[0] == status, context.response


@when("the target closes after each number of bytes of the response head to a transfer")
def when_cut_in_head(context):
    async def action(fixture):
        target = fixture.targets[0]
        statuses = []
        for cut_bytes in range(target.head_bytes):
            target.cut_bytes = cut_bytes
            # Each cut counts as a failure, after which the target is used less for a time.
            client = fixture.gateway.target_clients.get(fixture.catalog.targets[target.target_id])
            client.suspended_until_ms = 0.0
            status, _, _ = await fixture.call("transfer", "r1")
            statuses.append(status)
        return statuses

    context.statuses = run_with_fixture(context, action)


@then("every transfer gets status {status:d}")
def then_every_status(context, status):
    # Guards against a complete-looking response made of half a head and no body.
    assert len(context.statuses) > 50, context.statuses
    assert set(context.statuses) == {status}, context.statuses


@when("a caller sends three lookups at once on one connection")
def when_pipelined(context):
    async def action(fixture):
        sock = await fixture.connect()
        started_ms = now_ms()
        await sock.sendall(b"".join(request_bytes("lookup", f"r{i}") for i in range(3)))
        responses = await read_responses(sock, 3)
        context.elapsed_ms = now_ms() - started_ms
        return responses

    context.responses = run_with_fixture(context, action)


@when("a caller sends a lookup and closes its connection")
def when_caller_disconnects(context):
    async def action(fixture):
        sock = await fixture.connect()
        await sock.sendall(request_bytes("lookup"))
        target = fixture.targets[0]
        while not target.executed:
            await curio.sleep(0.005)
        await sock.close()
        closed_ms = now_ms()
        while not target.disconnect_count and now_ms() < closed_ms + 3_000:
            await curio.sleep(0.005)
        return now_ms() - closed_ms

    context.elapsed_ms = run_with_fixture(context, action)


def _execution_count(context):
    return sum(len(target.executed) for target in context.fixture.targets)


@then("it gets status {status:d}, and targets have run it {runs} times")
def then_status(context, status, runs):
    low, _, high = runs.partition("-")
    assert context.response[0] == status, context.response
    assert int(low) <= _execution_count(context) <= int(high or low), _execution_count(context)
    if status == 200:
        assert context.response[2].startswith(b"answer to r1"), context.response


@then("it gets status {status:d} with a Retry-After header, and no target ran it")
def then_refused(context, status):
    assert context.response[0] == status, context.response
    assert float(context.response[1][b"retry-after"]) >= 0.0
    assert _execution_count(context) == 0
    assert context.elapsed_ms < 1_500, context.elapsed_ms


@then("each caller gets the response to its own request")
def then_own_response(context):
    bodies = [body for _, _, body in context.responses]
    assert bodies == [f"answer to r{i}".encode() for i in range(3)], context.responses


@then("the responses arrive in order, in less than the time of two requests")
def then_pipelined(context):
    then_own_response(context)
    assert context.elapsed_ms < 600, context.elapsed_ms


@then("the target's connection is closed within {bound_ms:d} ms")
def then_cancelled(context, bound_ms):
    assert context.fixture.targets[0].disconnect_count == 1
    assert context.elapsed_ms < bound_ms, context.elapsed_ms


@then("the first target got {count:d} of them")
def then_request_count(context, count):
    assert all(status == 200 for status, _, _ in context.responses), context.responses
    assert len(context.fixture.targets[0].executed) == count, context.fixture.targets[0].executed


@then("the first target got at most {bound:d} of them")
def then_at_most_requests(context, bound):
    assert len(context.fixture.targets[0].received) <= bound, context.fixture.targets[0].received


@then("the target got at most a quarter of the limit of a cold target")
def then_cold_share(context):
    # 4 requests a second, doubled by ``cold_overshoot``, divided among 4 entries.
    assert 1 <= len(context.fixture.targets[0].executed) <= 2, context.fixture.targets[0].executed


@then("the second target ran it without waiting")
def then_cold_target_used(context):
    # Guards against refusing or delaying requests while cold targets still have capacity.
    assert context.response[0] == 200, context.response
    assert context.fixture.targets[1].executed == ["r1"], context.fixture.targets[1].executed
    assert '"event":"wait"' not in context.fixture.log_text()


@then("the second target ran it within {bound_ms:d} ms, and the log has the first as superseded")
def then_second_in_time(context, bound_ms):
    # Guards against an idempotent request that waits for a lost response until its deadline.
    assert context.response[0] == 200, context.response
    assert context.fixture.targets[1].executed == ["r1"], context.fixture.targets[1].executed
    assert context.elapsed_ms < bound_ms, context.elapsed_ms
    lines = [json.loads(line) for line in context.fixture.log_text().splitlines()]
    outcomes = {line["target"]: line["outcome"] for line in lines if line["event"] == "send"}
    assert outcomes == {"t0": "superseded", "t1": "success"}, outcomes


@then("only the first target got it, {count:d} time")
def then_not_moved(context, count):
    assert context.response[0] == 200, context.response
    received = [len(target.received) for target in context.fixture.targets]
    assert received == [count, 0], received


@then("all of them are served over at most {bound:d} connections")
def then_connections_bounded(context, bound):
    assert all(status == 200 for status, _, _ in context.responses), context.responses
    assert context.fixture.targets[0].max_open_connections <= bound, context.fixture.targets[0]


@then("it is served after the target has free slots again, and the log has the wait")
def then_served_after_wait(context):
    assert context.response[0] == 200, context.response
    assert context.elapsed_ms >= 100, context.elapsed_ms
    assert '"event":"wait"' in context.fixture.log_text()


@then(
    "the log has the choice, the attempt with its load reading and reason, and the end of the"
    " request"
)
def then_log_complete(context):
    lines = [json.loads(line) for line in context.fixture.log_text().splitlines()]
    by_event = {line["event"]: line for line in lines if line.get("id") == "r1"}
    assert by_event["choice"]["target"] == "t0", lines
    assert by_event["send"]["outcome"] == "broken" and by_event["send"]["reason"], lines
    assert by_event["send"]["reading_age_ms"] >= 0
    assert by_event["request"]["status"] == 502 and by_event["request"]["sends"] == 1


@then("the log has an unanswered attempt and the end of the request with status {status:d}")
def then_unanswered(context, status):
    lines = [json.loads(line) for line in context.fixture.log_text().splitlines()]
    by_event = {line["event"]: line for line in lines if line.get("id") == "r1"}
    assert by_event["send"]["outcome"] == "unanswered" and by_event["send"]["reason"], lines
    assert by_event["request"]["status"] == status, lines
