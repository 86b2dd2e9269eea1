"""Steps for the stop of an entry while callers send requests."""

from __future__ import annotations

import os
import signal

import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._core.startup import listen
from kingcupusher._discovery import RoutesPublished, TargetSeen
from kingcupusher._gateway import FleetLimits, GatewaySettings
from kingcupusher._gateway.process import GatewayProcess
from kingcupusher._observe.events import EventLog
from standins.ports import free_address
from testing.gateway.fixture import (
    BACKLOG,
    LOOPBACK,
    read_responses,
    registration,
    request_bytes,
    route_table,
)
from testing.gateway.plain_header_codec import PlainHeaderCodec
from testing.gateway.store import FakeStore
from testing.gateway.targets import FakeTarget

START_S = 1.0
TIMEOUT_MS = 20_000.0


@given("an entry with a grace period of {grace_s:g} s, and a target that works for {work_s:g} s")
def given_entry(context, grace_s, work_s):
    context.grace_ms, context.work_s = grace_s * 1_000.0, work_s


def _settings(context):
    return GatewaySettings(
        entry="e1",
        zone="a",
        caller_address=LOOPBACK,
        readiness_address=free_address(),
        metrics_address=free_address(),
        relay_address=free_address(),
        fleet_limits=FleetLimits(
            retry_slack=0.0, probes_per_s=1_000.0, grace_period_ms=context.grace_ms
        ),
        connection_limit=20,
        link_mbps=1_000.0,
        response_memory_bytes=1_000_000,
    )


async def _stop_entry_during(context, call):
    """Start an entry, let ``call`` send requests from the stop signal on; return its result."""
    target = context.target = FakeTarget("t0", "working")
    target.work_s = context.work_s
    await target.start()
    store = FakeStore()
    store.write("routes", RoutesPublished(route_table(timeout_ms=TIMEOUT_MS)))
    store.write("t0", TargetSeen(registration(target)))
    settings = _settings(context)
    listen_socket = listen(LOOPBACK, backlog=BACKLOG)
    process = GatewayProcess(
        settings,
        store=store.client("e1"),
        header_codec=PlainHeaderCodec(),
        log=EventLog(descriptor=os.open(os.devnull, os.O_WRONLY)),
        reload_settings=lambda: settings,
        listen_socket=listen_socket,
    )
    port = listen_socket.getsockname()[1]
    # An entry in an unknown fleet may hardly probe targets; a single one is listed after 5 s.
    process.catalog.live_entries.mark_seen(["e1"], now_ms=now_ms())
    entry = await curio.spawn(process.run, daemon=True)
    await curio.sleep(START_S)
    sock = await curio.open_connection("127.0.0.1", port)
    os.kill(os.getpid(), signal.SIGTERM)
    context.stopped_ms = now_ms()
    async with curio.timeout_after(15):
        result = await call(sock)
        context.responded_ms = now_ms()
        await entry.join()
    context.ended_ms = now_ms()
    await target.stop()
    return result


async def _send_after(context, sock, delay_s, name, request_id):
    await curio.sleep((context.stopped_ms + delay_s * 1_000.0 - now_ms()) / 1_000.0)
    await sock.sendall(request_bytes(name, request_id, timeout_ms=int(TIMEOUT_MS)))


@when(
    "a caller sends a lookup {first_s:g} s after the stop signal, and behind it a {name:w} after"
    " {delay_s:g} s"
)
def when_pipelined(context, first_s, name, delay_s):
    async def call(sock):
        await _send_after(context, sock, first_s, "lookup", "r1")
        await _send_after(context, sock, delay_s, name, "r2")
        return [status for status, _, _ in await read_responses(sock, 2)]

    context.statuses = curio.run(_stop_entry_during, context, call)


@when("a caller sends a {name:w} {delay_s:g} s after the stop signal")
def when_single(context, name, delay_s):
    async def call(sock):
        await _send_after(context, sock, delay_s, name, "r1")
        return [status for status, _, _ in await read_responses(sock, 1)]

    context.statuses = curio.run(_stop_entry_during, context, call)


@then("the caller gets status {first:d} for the first and status {second:d} for the second")
def then_two_statuses(context, first, second):
    assert context.statuses == [first, second], context.statuses


@then("the target has run {runs:d} requests")
def then_runs(context, runs):
    assert len(context.target.executed) == runs, context.target.executed


@then("the caller gets status {status:d} before the process ends")
def then_status_in_time(context, status):
    assert context.statuses == [status], context.statuses
    assert context.responded_ms <= context.ended_ms
    assert context.ended_ms - context.stopped_ms <= context.grace_ms
