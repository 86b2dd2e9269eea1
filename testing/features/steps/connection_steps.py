"""Steps for the deadlines of connections of callers and the reasons for their end."""

from __future__ import annotations

import socket
import struct
from functools import partial

import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from testing.gateway.fixture import read_responses
from testing.gateway.raw_caller import (
    check_ends_within,
    echo_request,
    request,
    run_with_connection,
    send_one,
    wait_for_end,
)

BYTES_PER_MB = 1_000_000
RESET_LINGER = struct.pack("ii", 1, 0)
STATUSES = {"sixteen 200s": [200] * 16}


@given(
    "a gateway that closes idle connections after {idle_s:g} s, whose targets work for {work_s:g} s"
)
def given_gateway(context, idle_s, work_s):
    context.idle_ms, context.work_s, context.head_ms = idle_s * 1_000.0, work_s, 10_000.0
    context.is_stopping = False


@given("it allows {head_s:g} s for a request head")
def given_head_timeout(context, head_s):
    context.head_ms = head_s * 1_000.0


async def _send_transfer(fixture, sock):
    return await send_one(sock, "transfer")


async def _send_at_once(fixture, sock, count):
    await sock.sendall(b"".join(request(number) for number in range(count)))
    return await read_responses(sock, count)


async def _send_second_later(fixture, sock):
    await sock.sendall(request(0))
    await curio.sleep(0.3)
    await sock.sendall(request(1))
    return await read_responses(sock, 2)


async def _send_again_after_response(fixture, sock):
    responses = await send_one(sock)
    await curio.sleep(0.1)
    return responses + await send_one(sock)


async def _send_before_shorter_timeout(fixture, sock):
    idle_ms, fixture.limits.idle_timeout_ms = fixture.limits.idle_timeout_ms, 5_000.0
    await sock.sendall(request(0))
    await curio.sleep(0.1)
    fixture.limits.idle_timeout_ms = idle_ms
    return await read_responses(sock, 1)


KINDS = {
    "a lookup": partial(_send_at_once, count=1),
    "a transfer": _send_transfer,
    "two lookups at once": partial(_send_at_once, count=2),
    "sixteen lookups at once": partial(_send_at_once, count=16),
    "a lookup, then another one 0.3 s later": _send_second_later,
    "a lookup before the idle time-out is shortened": _send_before_shorter_timeout,
    "a lookup, then another one 0.1 s after its response": _send_again_after_response,
}


@when("a caller sends on one connection {kind}")
def when_kind(context, kind):
    context.responses = run_with_connection(
        context, lambda sock: KINDS[kind](context.fixture, sock)
    )


@then("it gets the responses {statuses}")
def then_statuses(context, statuses):
    expected = STATUSES.get(statuses) or [int(status) for status in statuses.split()]
    assert [status for status, _, _ in context.responses] == expected, context.responses


PARTS = {
    "half a request head": b"GET /lookup/x HTTP/1.1\r\nhost: h.exa",
    "half a request body": request(1, "transfer")[:-3],
}


@when("a caller sends a lookup and behind it {part}, and no more")
def when_slow_second(context, part):
    async def action(sock):
        await sock.sendall(request(0) + PARTS[part])
        responses = await read_responses(sock, 1)
        responded_ms = now_ms()
        return responses, await wait_for_end(sock) - responded_ms

    context.responses, context.until_end_ms = run_with_connection(context, action)


@then('it gets status {status:d} with "Connection: close", and the connection ends within {s:g} s')
def then_closing_response(context, status, s):
    ((got, headers, _),) = context.responses
    assert got == status, context.responses
    assert headers.get(b"connection") == b"close", headers
    assert context.until_end_ms <= s * 1_000.0, context.until_end_ms


@then("the targets have run no other request")
def then_runs(context):
    executed = {request for target in context.fixture.targets for request in target.executed}
    assert executed == {"r0"}, executed


@when("a caller {action} and then nothing")
def when_idle(context, action):
    async def run(sock):
        if action == "sends a lookup":
            await send_one(sock)
        since_ms = now_ms()
        return await wait_for_end(sock) - since_ms

    context.until_end_ms = run_with_connection(context, run)


@then("the connection ends {low_s:g} s to {high_s:g} s after {moment}")
def then_ends(context, low_s, high_s, moment):
    check_ends_within(context.until_end_ms, low_s, high_s)


async def _close_during_request(sock):
    await sock.sendall(request(0))
    await curio.sleep(0.1)
    await sock.close()


async def _wait_after_response(sock):
    await send_one(sock)
    await wait_for_end(sock)


async def _reset_during_response(sock):
    await sock.sendall(echo_request(24 * BYTES_PER_MB))
    await curio.sleep(1.0)
    sock._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    await sock.close()


ENDS = {
    "sends a lookup and closes": _close_during_request,
    "sends a lookup, reads its response and waits": _wait_after_response,
    "resets its connection during its response": _reset_during_response,
}


@when("the only caller {action}")
def when_caller_ends(context, action):
    async def run(sock):
        await ENDS[action](sock)
        await curio.sleep(0.7)
        return context.fixture.closed

    context.closed = run_with_connection(context, run)


@then('the connection ended because "{reason}", with {unanswered:d} requests unanswered')
def then_reason(context, reason, unanswered):
    (connection,) = context.closed
    assert connection.close_reason.value == reason, connection.close_reason
    assert connection.unanswered_count == unanswered, connection.unanswered_count
