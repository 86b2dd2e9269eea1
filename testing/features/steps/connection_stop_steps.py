"""Steps for connections of callers to an entry that stops."""

from __future__ import annotations

import socket
from contextlib import suppress
from functools import partial

import curio
import h11
from behave import given, then, when

from kingcupusher._core import now_ms
from testing.gateway.fixture import read_responses
from testing.gateway.raw_caller import (
    echo_request,
    request,
    run_with_connection,
    send_one,
    wait_for_end,
)


@given("it stops")
def given_stop(context):
    context.is_stopping = True


async def _cross_after_response(sock):
    await sock.sendall(request(0))
    responses = await read_responses(sock, 1)
    await sock.sendall(request(1))
    return responses


async def _cross_uninvited(sock):
    await sock.sendall(request(0))
    responses = await read_responses(sock, 1)
    head = "POST /transfer/x HTTP/1.1\r\nhost: h.example\r\nx-id: r1\r\ncontent-length: 6\r\n"
    await sock.sendall(f"{head}expect: 100-continue\r\n\r\n".encode())
    return responses


async def _cross_in_halves(sock):
    data = request(1)
    await sock.sendall(request(0) + data[:30])
    responses = await read_responses(sock, 1)
    await sock.sendall(data[30:])
    return responses


async def _cross_unread_response(sock):
    await sock.sendall(echo_request(24_000_000))
    # The response begins, and is left unread.
    await sock.recv(1, socket.MSG_PEEK)
    await sock.sendall(request(1))
    await curio.sleep(0.5)
    return await read_responses(sock, 1)


CROSSINGS = {
    "after the response": _cross_after_response,
    "after the response, and waits for an invitation": _cross_uninvited,
    "in halves before and after the response": _cross_in_halves,
    "while it does not read the response": _cross_unread_response,
}


@when("a caller sends a {first} and its next request {moment}")
def when_crossing(context, first, moment):
    async def action(sock):
        responses = await CROSSINGS[moment](sock)
        await wait_for_end(sock)
        # The caller keeps its side open for as long as a request takes to reach a target.
        await curio.sleep(0.4)
        # The connection lingers, so that the caller can read the response to its end.
        context.ended_early = list(context.fixture.closed)
        return responses

    context.responses = run_with_connection(context, action)


@then('it gets one response, with status {status:d} and "Connection: close", and the end')
def then_last_response(context, status):
    ((got, headers, _),) = context.responses
    assert got == status, context.responses
    assert headers.get(b"connection") == b"close", headers
    assert not context.ended_early


@when("a caller sends a lookup just before the entry closes its idle connections")
def when_closed_while_sending(context):
    async def action(sock):
        await curio.sleep(0.1)
        # No other task runs between these two lines, so the entry has not read the request yet.
        sock._socket.send(request(0))
        await context.fixture.listener.close_idle()
        received = await sock.recv(1)
        await curio.sleep(0.2)
        return received

    context.received = run_with_connection(context, action)


@then("the connection ends without a response")
def then_no_response(context):
    assert context.received == b"", context.received


@then("the targets have run no request")
def then_no_runs(context):
    assert not any(target.executed for target in context.fixture.targets)


async def _read_slowly_and_send(fixture, sock):
    sock._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    await sock.sendall(echo_request(400_000))
    # The entry has written its last response by then; the kernel still holds the most of it.
    await curio.sleep(0.5)
    await fixture.listener.close_idle()
    await sock.sendall(request(1))
    return await read_responses(sock, 1)


async def _send_in_parts(fixture, sock, *, data, first_bytes):
    await sock.sendall(data[:first_bytes])
    await curio.sleep(0.1)
    await fixture.listener.close_idle()
    await curio.sleep(0.1)
    await sock.sendall(data[first_bytes:])
    return await read_responses(sock, 1)


CLOSE_ACTIONS = {
    "reads its last response slowly and sends more": _read_slowly_and_send,
    "sends a request head in two parts": partial(_send_in_parts, data=request(0), first_bytes=30),
    "sends a request body in two parts": partial(
        _send_in_parts, data=request(0, "transfer"), first_bytes=-3
    ),
}


@when("the entry closes idle connections while a caller {action}")
def when_closing_idle(context, action):
    async def run(sock):
        try:
            return await CLOSE_ACTIONS[action](context.fixture, sock)
        except (OSError, AssertionError, h11.RemoteProtocolError) as error:
            return [(0, {}, repr(error))]

    context.responses = run_with_connection(context, run)


@then("the caller gets a whole response with status {status:d}")
def then_whole_response(context, status):
    ((got, _, body),) = context.responses
    assert got == status, context.responses


@when("three callers send a lookup and the entry closes its socket before it has accepted them")
def when_backlog(context):
    async def action(_sock):
        listener = context.fixture.listener
        await context.fixture.stop_accepting()
        before = listener.connection_count
        # Blocking calls, so that the entry cannot accept the connections in between.
        callers = [socket.create_connection(tuple(listener.address)) for _ in range(3)]
        for number, caller in enumerate(callers):
            caller.sendall(request(number))
        await listener.close()
        context.counted = listener.connection_count - before
        return [await read_responses(curio.io.Socket(caller), 1) for caller in callers]

    context.responses = run_with_connection(context, action)


@then("the entry counts three open connections, and each caller gets status {status:d}")
def then_backlog_served(context, status):
    assert context.counted == 3, context.counted
    assert [got for ((got, _, _),) in context.responses] == [status] * 3, context.responses


@when(
    "a caller connects while the handlers of the last accepted connections run for the first time"
)
def when_backlog_grows(context):
    async def action(_sock):
        listener = context.fixture.listener
        await context.fixture.stop_accepting()
        callers = []

        async def connect():
            with suppress(ConnectionRefusedError):
                callers.append(socket.create_connection(tuple(listener.address)))
                callers[0].sendall(request(0))

        await curio.spawn(connect, daemon=True)
        await listener.close()
        await curio.sleep(0)
        with suppress(ConnectionResetError, AssertionError):
            return [await read_responses(curio.io.Socket(caller), 1) for caller in callers]
        return "the connection was reset"

    context.responses = run_with_connection(context, action)


@then("its connection is refused, or it gets status {status:d}")
def then_refused_or_served(context, status):
    assert context.responses != "the connection was reset"
    assert all(got == status for ((got, _, _),) in context.responses), context.responses


@when("a caller keeps its connection after its last response, and the entry no longer accepts")
def when_kept(context):
    async def action(sock):
        await send_one(sock)
        await context.fixture.stop_accepting()
        since_ms = now_ms()
        while context.fixture.listener.connection_count and now_ms() - since_ms < 3_000.0:
            await context.fixture.listener.close_idle()
            await curio.sleep(0.02)
        return now_ms() - since_ms

    context.until_end_ms = run_with_connection(context, action)


@then("no connection is left within {bound_s:g} s")
def then_none_left(context, bound_s):
    assert context.until_end_ms <= bound_s * 1_000.0, context.until_end_ms
