"""Steps for the target stand-in, which runs in the curio kernel of the scenario."""

from __future__ import annotations

import curio
import h11
from behave import given, step, then, when

from kingcupusher._core import now_ms
from standins import content, timers
from standins.load.connection import ConnectionPool
from standins.load.errors import NoResponseError, NotSentError, TruncatedError
from standins.load.outcome import OUTCOME_HEADER
from standins.processes import AddressPool
from standins.target.faults import FAULTS, FaultParameters
from standins.target.listener import TargetListener
from standins.target.settings import TargetSettings
from standins.target.simulated_server import SimulatedServer

CONNECT_TIMEOUT_MS = 1_000.0
START_DELAY_S = 0.01
WARMUP_MS = 100.0
DEFAULT_TIMEOUT_MS = 2_000.0

RESULT_BY_ERROR = {
    NoResponseError: "no response",
    curio.TaskTimeout: "no response",
    NotSentError: "no connection",
    TruncatedError: "truncated",
}


def _start(context, **changes):
    pool = AddressPool()
    settings = {"connect_cost_ms": 0.0, "start_warm": True, "restart_ms": 300.0, **changes}
    context.settings = TargetSettings(address=pool.allocate(), control=pool.allocate(), **settings)
    context.kernel = curio.Kernel(selector=timers.MicrosecondSelector())
    context.add_cleanup(context.kernel.run, shutdown=True)
    context.results = {}
    context.server = SimulatedServer(context.settings)
    context.kernel.run(_spawn_server, context.server)


async def _spawn_server(server):
    await curio.spawn(TargetListener(server).run, daemon=True)
    await curio.sleep(START_DELAY_S)


async def _connect(context):
    connections = ConnectionPool(context.settings.address)
    return await connections.acquire(deadline_ms=now_ms() + CONNECT_TIMEOUT_MS)


def _head(name, path, work_ms, timeout_ms):
    headers = [
        (b"host", b"a.example"),
        (content.REQUEST_ID_HEADER, name.encode()),
        (content.SERVICE_TIME_MS_HEADER, b"%.3f" % work_ms),
        (b"x-request-timeout-ms", b"%.0f" % timeout_ms),
    ]
    return h11.Request(method="GET", target=path, headers=headers)


async def _send(
    context, name, *, path="/", work_ms=0.0, timeout_ms=DEFAULT_TIMEOUT_MS, connection=None
):
    try:
        connection = connection or await _connect(context)
        async with curio.timeout_after((timeout_ms + 100.0) / 1000.0):
            result = await connection.exchange(_head(name, path, work_ms, timeout_ms), b"")
    except tuple(RESULT_BY_ERROR) as error:
        result = error
    if connection:
        await connection.close()
    context.results[name] = result
    return result


async def _spawn(context, name, **options):
    async def send():
        await _send(context, name, **options)

    task = await curio.spawn(send, daemon=True)
    await curio.sleep(START_DELAY_S)
    return task


async def _send_concurrently(context, names, **options):
    tasks = [await _spawn(context, name, **options) for name in names]
    for task in tasks:
        await task.join()


def _result_text(result):
    if isinstance(result, BaseException):
        return RESULT_BY_ERROR[type(result)]
    outcome = result.headers.get(OUTCOME_HEADER, b"").decode()
    return f"{result.status} {outcome}".strip()


def _health(context):
    result = context.kernel.run(lambda: _send(context, "health", path="/health"))
    return result.body.decode().strip()


def _set_fault(context, name, **parameters):
    context.kernel.run(FAULTS.get(name), context.server, FaultParameters(**parameters))


@given("a warm target")
def given_warm(context):
    _start(context)


@given("a warm target with one slot and a queue of one")
def given_one_slot(context):
    _start(context, slots=1, queue_length=1)


@given("a cold target with a concurrency limit of {limit:d}")
def given_cold(context, limit):
    _start(context, start_warm=False, cold_concurrency=limit, warmup_ms=WARMUP_MS)


@given(
    "a warm target with one slot, connections of {connect_ms:g} ms and probes of {probe_ms:g} ms"
)
def given_costs(context, connect_ms, probe_ms):
    _start(context, slots=1, connect_cost_ms=connect_ms, probe_cost_ms=probe_ms)


@given("a warm target that delays its health by {lag_ms:g} ms")
def given_delayed_health(context, lag_ms):
    _start(context, health_lag_ms=lag_ms)


@when("no request runs")
def when_idle(context):
    assert not context.server.slots.running


@when("it drains")
def when_drains(context):
    _set_fault(context, "drain")


@when("its slot and queue are occupied")
def when_slot_and_queue_occupied(context):
    for name in ("first", "waiting"):
        context.kernel.run(lambda name=name: _spawn(context, name, work_ms=300.0))


@when("its slot is occupied for {work_ms:g} ms")
def when_slot_occupied(context, work_ms):
    context.kernel.run(lambda: _spawn(context, "first", work_ms=work_ms))


@when('requests "{names}" of {work_ms:g} ms are sent concurrently')
def when_sent_concurrently(context, names, work_ms):
    context.kernel.run(lambda: _send_concurrently(context, names.split(), work_ms=work_ms))


@when('request "{name}" of {work_ms:g} ms with a timeout of {timeout_ms:g} ms is sent')
def when_sent(context, name, work_ms, timeout_ms):
    context.kernel.run(lambda: _send(context, name, work_ms=work_ms, timeout_ms=timeout_ms))


@when('a client sends request "{name}" of {work_ms:g} ms and closes the connection after 30 ms')
def when_closed(context, name, work_ms):
    async def send_and_close():
        connection = await _connect(context)
        task = await _spawn(context, name, work_ms=work_ms, connection=connection)
        await curio.sleep(0.03)
        await task.cancel()
        await connection.close()

    context.kernel.run(send_and_close)


@when('it drains while request "{name}" of {work_ms:g} ms runs')
def when_drains_meanwhile(context, name, work_ms):
    async def drain_meanwhile():
        task = await _spawn(context, name, work_ms=work_ms)
        await FAULTS.get("drain")(context.server, FaultParameters())
        await task.join()

    context.kernel.run(drain_meanwhile)


@when("requests of {work_ms:g} ms are sent one by one for its warm-up time")
def when_warmed(context, work_ms):
    async def send_one_by_one():
        for _ in range(int(WARMUP_MS / work_ms) + 1):
            await _send(context, "warming", work_ms=work_ms)

    context.kernel.run(send_one_by_one)


@when("{count:d} connections request {path} concurrently")
def when_many_connect(context, count, path):
    async def request_concurrently():
        start_ms = now_ms()
        tasks = [
            await curio.spawn(lambda n=n: _send(context, f"n{n}", path=path)) for n in range(count)
        ]
        for task in tasks:
            await task.join()
        context.elapsed_ms = now_ms() - start_ms

    context.kernel.run(request_concurrently)


@when("a connection is opened and closed")
def when_opened_and_closed(context):
    async def open_and_close():
        connection = await _connect(context)
        await curio.sleep(START_DELAY_S)
        await connection.close()
        await curio.sleep(START_DELAY_S)

    context.kernel.run(open_and_close)


@when('fault "{name}" is switched on')
def when_fault(context, name):
    _set_fault(context, name)
    context.kernel.run(timers.sleep_until, now_ms() + 20.0)


@when("its open connections stop responding")
def when_open_silent(context):
    context.open_connection = context.kernel.run(lambda: _connect(context))
    context.kernel.run(timers.sleep_until, now_ms() + 20.0)
    _set_fault(context, "silent", open_connections_only=True)


@then('request "{name}" has the result "{expected}"')
def then_result(context, name, expected):
    assert _result_text(context.results[name]) == expected, context.results[name]


@then('a request on an open connection has the result "{expected}"')
def then_open_result(context, expected):
    connection = context.open_connection
    result = context.kernel.run(
        lambda: _send(context, "x", timeout_ms=100.0, connection=connection)
    )
    assert _result_text(result) == expected, result


@then('a request on a new connection has the result "{expected}"')
def then_new_result(context, expected):
    result = context.kernel.run(lambda: _send(context, "y"))
    assert _result_text(result) == expected, result


@then('request "{name}" is not in the execution log')
def then_not_executed(context, name):
    assert name not in [e.request_id for e in context.server.activity_log.executions]


@then('the execution log is "{executions}"')
def then_executions(context, executions):
    log = context.server.activity_log.executions
    found = " ".join(f"{e.request_id}:{e.progress.value}" for e in log)
    assert found == executions, found


@then('the load report of request "{name}" has state "{state}"')
def then_report(context, name, state):
    report = context.results[name].headers[b"x-target-load"].decode()
    assert f"state={state}," in report, report


@then("it has fallen over {fall_overs:d} times")
def then_fall_overs(context, fall_overs):
    assert context.server.activity_log.counters.fall_overs == fall_overs


@then("its highest concurrency while cold was {highest:d}")
def then_highest(context, highest):
    assert context.server.activity_log.counters.max_concurrency_cold == highest


@then("it restarts cold with another boot id")
def then_restarted_cold(context):
    before = context.settings.boot_id
    context.kernel.run(timers.sleep_until, now_ms() + context.settings.restart_ms + 50.0)
    assert context.server.boot_id != before
    assert context.server.state() == "cold"
    assert _result_text(context.kernel.run(lambda: _send(context, "z"))) == "200"


@then("the last response arrives after {least:g} ms to {most:g} ms")
def then_elapsed(context, least, most):
    assert least <= context.elapsed_ms <= most, context.elapsed_ms


@then('the health check returns "{text}"')
def then_health(context, text):
    assert _health(context) == text


@step('after {wait_ms:g} ms the health check returns "{text}"')
def then_health_after(context, wait_ms, text):
    context.kernel.run(timers.sleep_until, now_ms() + wait_ms)
    assert _health(context) == text


@then('the health check returns "{text}" under the mislead fault')
def then_health_misleads(context, text):
    _set_fault(context, "mislead", health=text)
    assert _health(context) == text
