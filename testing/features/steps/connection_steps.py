"""Steps for the deadlines and the end of connections of callers."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from functools import partial

import curio
import h11
from behave import given, then, when

from kingcupusher._core import now_ms
from testing.gateway.fixture import GatewayFixture, read_responses, request_bytes, route_table

TARGET_COUNT = 6
TIMEOUT_S = 10
PIECE_INTERVAL_S = 0.1
BYTES_PER_MB = 1_000_000
RESET_LINGER = struct.pack("ii", 1, 0)
INVITATION = b"HTTP/1.1 100 "
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


def _run(context, action):
    """Run ``action`` with the gateway and one connection to it; return its result."""

    async def main():
        table = route_table(timeout_ms=8_000.0)
        async with GatewayFixture(["working"] * TARGET_COUNT, table=table) as fixture:
            context.fixture = fixture
            for target in fixture.targets:
                target.work_s = context.work_s
            fixture.limits.idle_timeout_ms = context.idle_ms
            fixture.limits.head_timeout_ms = context.head_ms
            sock = await fixture.connect()
            if context.is_stopping:
                fixture.listener.start_drain()
            async with curio.timeout_after(TIMEOUT_S):
                return await action(sock)

    return curio.run(main)


def _request(number, name="lookup"):
    return request_bytes(name, f"r{number}", timeout_ms=8_000)


async def _wait_for_end(sock):
    while await sock.recv(65_536):
        continue
    return now_ms()


async def _send_one(sock, name="lookup"):
    await sock.sendall(_request(0, name))
    return await read_responses(sock, 1)


async def _send_transfer(fixture, sock):
    return await _send_one(sock, "transfer")


async def _send_at_once(fixture, sock, count):
    await sock.sendall(b"".join(_request(number) for number in range(count)))
    return await read_responses(sock, count)


async def _send_second_later(fixture, sock):
    await sock.sendall(_request(0))
    await curio.sleep(0.3)
    await sock.sendall(_request(1))
    return await read_responses(sock, 2)


async def _send_again_after_response(fixture, sock):
    responses = await _send_one(sock)
    await curio.sleep(0.1)
    return responses + await _send_one(sock)


async def _send_before_shorter_timeout(fixture, sock):
    idle_ms, fixture.limits.idle_timeout_ms = fixture.limits.idle_timeout_ms, 5_000.0
    await sock.sendall(_request(0))
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
    context.responses = _run(context, lambda sock: KINDS[kind](context.fixture, sock))


@then("it gets the responses {statuses}")
def then_statuses(context, statuses):
    expected = STATUSES.get(statuses) or [int(status) for status in statuses.split()]
    assert [status for status, _, _ in context.responses] == expected, context.responses


PARTS = {
    "half a request head": b"GET /lookup/x HTTP/1.1\r\nhost: h.exa",
    "half a request body": _request(1, "transfer")[:-3],
}


@when("a caller sends a lookup and behind it {part}, and no more")
def when_slow_second(context, part):
    async def action(sock):
        await sock.sendall(_request(0) + PARTS[part])
        responses = await read_responses(sock, 1)
        responded_ms = now_ms()
        return responses, await _wait_for_end(sock) - responded_ms

    context.responses, context.until_end_ms = _run(context, action)


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
            await _send_one(sock)
        since_ms = now_ms()
        return await _wait_for_end(sock) - since_ms

    context.until_end_ms = _run(context, run)


@then("the connection ends {low_s:g} s to {high_s:g} s after {moment}")
def then_ends(context, low_s, high_s, moment):
    assert low_s * 1_000.0 <= context.until_end_ms + 1.0, context.until_end_ms
    assert context.until_end_ms <= high_s * 1_000.0, context.until_end_ms


class Upload:
    """A request whose body of ``size`` bytes is sent in pieces."""

    def __init__(self, sock, size):
        self._sock = sock
        self._size = size

    async def send_head(self):
        """Send the head of the request."""
        head = "POST /transfer/x HTTP/1.1\r\nhost: h.example\r\nx-id: r0\r\n"
        await self._sock.sendall(f"{head}content-length: {self._size}\r\n\r\n".encode())

    async def send_pieces(self, count, piece_bytes):
        """Send ``count`` pieces of the body, one at each interval."""
        for _ in range(count):
            await self._sock.sendall(b"a" * piece_bytes)
            await curio.sleep(PIECE_INTERVAL_S)


async def _upload_steadily(sock):
    upload = Upload(sock, 48_000)
    await upload.send_head()
    await upload.send_pieces(12, 4_000)
    return await read_responses(sock, 1), 0.0


async def _upload_and_stop(sock):
    upload = Upload(sock, 48_000)
    await upload.send_head()
    await upload.send_pieces(5, 4_000)
    since_ms = now_ms() - PIECE_INTERVAL_S * 1_000.0
    return [], await _wait_for_end(sock) - since_ms


async def _trickle(sock):
    upload = Upload(sock, 48_000)
    await upload.send_head()
    since_ms = now_ms()
    sending = await curio.spawn(upload.send_pieces, 20, 1, daemon=True)
    until_end_ms = await _wait_for_end(sock) - since_ms
    await sending.cancel()
    return [], until_end_ms


UPLOADS = {
    "40 KB a second for 1.2 s": _upload_steadily,
    "40 KB a second for 0.5 s and then nothing": _upload_and_stop,
    "10 bytes a second": _trickle,
}


@when("a caller uploads {upload}")
def when_upload(context, upload):
    context.responses, context.until_end_ms = _run(context, UPLOADS[upload])


@then("the connection gets status {status:d}")
def then_upload_status(context, status):
    assert [got for got, _, _ in context.responses] == [status], context.responses


@then("the connection ends {low_s:g} s to {high_s:g} s later")
def then_upload_ends(context, low_s, high_s):
    then_ends(context, low_s, high_s, "the last piece")


@given("it stops")
def given_stop(context):
    context.is_stopping = True


def _echo_request(size):
    """Return a transfer whose response repeats its body of ``size`` bytes."""
    head = "POST /transfer/x HTTP/1.1\r\nhost: h.example\r\nx-id: r0\r\n"
    return f"{head}content-length: {size}\r\n\r\n".encode() + b"a" * size


async def _cross_after_response(sock):
    await sock.sendall(_request(0))
    responses = await read_responses(sock, 1)
    await sock.sendall(_request(1))
    return responses


async def _cross_uninvited(sock):
    await sock.sendall(_request(0))
    responses = await read_responses(sock, 1)
    head = "POST /transfer/x HTTP/1.1\r\nhost: h.example\r\nx-id: r1\r\ncontent-length: 6\r\n"
    await sock.sendall(f"{head}expect: 100-continue\r\n\r\n".encode())
    return responses


async def _cross_in_halves(sock):
    data = _request(1)
    await sock.sendall(_request(0) + data[:30])
    responses = await read_responses(sock, 1)
    await sock.sendall(data[30:])
    return responses


async def _cross_unread_response(sock):
    await sock.sendall(_echo_request(24_000_000))
    await curio.sleep(1.0)
    await sock.sendall(_request(1))
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
        await _wait_for_end(sock)
        # The caller keeps its side open for as long as a request takes to reach a target.
        await curio.sleep(0.4)
        # The connection lingers, so that the caller can read the response to its end.
        context.ended_early = list(context.fixture.closed)
        return responses

    context.responses = _run(context, action)


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
        sock._socket.send(_request(0))
        await context.fixture.listener.close_idle()
        received = await sock.recv(1)
        await curio.sleep(0.2)
        return received

    context.received = _run(context, action)


@then("the connection ends without a response")
def then_no_response(context):
    assert context.received == b"", context.received


@then("the targets have run no request")
def then_no_runs(context):
    assert not any(target.executed for target in context.fixture.targets)


async def _read_slowly_and_send(fixture, sock):
    sock._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    await sock.sendall(_echo_request(400_000))
    # The entry has written its last response by then; the kernel still holds the most of it.
    await curio.sleep(0.5)
    await fixture.listener.close_idle()
    await sock.sendall(_request(1))
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
    "sends a request head in two parts": partial(_send_in_parts, data=_request(0), first_bytes=30),
    "sends a request body in two parts": partial(
        _send_in_parts, data=_request(0, "transfer"), first_bytes=-3
    ),
}


@when("the entry closes idle connections while a caller {action}")
def when_closing_idle(context, action):
    async def run(sock):
        try:
            return await CLOSE_ACTIONS[action](context.fixture, sock)
        except (OSError, AssertionError, h11.RemoteProtocolError) as error:
            return [(0, {}, repr(error))]

    context.responses = _run(context, run)


@then("the caller gets a whole response with status {status:d}")
def then_whole_response(context, status):
    ((got, _, body),) = context.responses
    assert got == status, context.responses


@when(
    "a caller that {detail} sends a transfer of {size:d} MB and behind it one that expects an"
    " invitation"
)
def when_expecting(context, detail, size):
    async def action(sock):
        await sock.sendall(_echo_request(size * BYTES_PER_MB))
        await curio.sleep(1.0 if size else 0.0)
        head = "POST /transfer/x HTTP/1.1\r\nhost: h.example\r\nx-id: r1\r\ncontent-length: 6\r\n"
        await sock.sendall(f"{head}expect: 100-continue\r\n\r\n".encode())
        await curio.sleep(0.3)
        before_body = await _read_until_invited(sock)
        await curio.sleep(0.2)
        await sock.sendall(b"amount")
        return before_body, await read_responses(sock, 1)

    context.first_body = b"answer to r0" + b"a" * size * BYTES_PER_MB
    context.exchange = _run(context, action)


async def _read_until_invited(sock):
    received = bytearray()
    while received.find(INVITATION, max(0, len(received) - 2 * 65_536)) < 0:
        received += await sock.recv(65_536)
    return bytes(received)


@then("it gets the whole first response, then the invitation, and then status {status:d}")
def then_invited(context, status):
    before_body, ((got, _, _),) = context.exchange
    head, _, rest = before_body.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), head[:100]
    assert rest.startswith(context.first_body), (len(rest), rest[-100:])
    assert rest.removeprefix(context.first_body).startswith(INVITATION)
    assert got == status


@when("three callers send a lookup and the entry closes its socket before it has accepted them")
def when_backlog(context):
    async def action(_sock):
        listener = context.fixture.listener
        await context.fixture.stop_accepting()
        before = listener.connection_count
        # Blocking calls, so that the entry cannot accept the connections in between.
        callers = [socket.create_connection(tuple(listener.address)) for _ in range(3)]
        for number, caller in enumerate(callers):
            caller.sendall(_request(number))
        await listener.close()
        context.counted = listener.connection_count - before
        return [await read_responses(curio.io.Socket(caller), 1) for caller in callers]

    context.responses = _run(context, action)


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
                callers[0].sendall(_request(0))

        await curio.spawn(connect, daemon=True)
        await listener.close()
        await curio.sleep(0)
        with suppress(ConnectionResetError, AssertionError):
            return [await read_responses(curio.io.Socket(caller), 1) for caller in callers]
        return "the connection was reset"

    context.responses = _run(context, action)


@then("its connection is refused, or it gets status {status:d}")
def then_refused_or_served(context, status):
    assert context.responses != "the connection was reset"
    assert all(got == status for ((got, _, _),) in context.responses), context.responses


@when("a caller keeps its connection after its last response, and the entry no longer accepts")
def when_kept(context):
    async def action(sock):
        await _send_one(sock)
        await context.fixture.stop_accepting()
        since_ms = now_ms()
        while context.fixture.listener.connection_count and now_ms() - since_ms < 3_000.0:
            await context.fixture.listener.close_idle()
            await curio.sleep(0.02)
        return now_ms() - since_ms

    context.until_end_ms = _run(context, action)


@then("no connection is left within {bound_s:g} s")
def then_none_left(context, bound_s):
    assert context.until_end_ms <= bound_s * 1_000.0, context.until_end_ms


async def _close_during_request(sock):
    await sock.sendall(_request(0))
    await curio.sleep(0.1)
    await sock.close()


async def _wait_after_response(sock):
    await _send_one(sock)
    await _wait_for_end(sock)


async def _reset_during_response(sock):
    await sock.sendall(_echo_request(24 * BYTES_PER_MB))
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

    context.closed = _run(context, run)


@then('the connection ended because "{reason}", with {unanswered:d} requests unanswered')
def then_reason(context, reason, unanswered):
    (connection,) = context.closed
    assert connection.close_reason.value == reason, connection.close_reason
    assert connection.unanswered_count == unanswered, connection.unanswered_count
