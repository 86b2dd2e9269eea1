"""Steps for the load tool."""

from __future__ import annotations

import os
import socket
import time

import curio
import h11
from behave import given, then, when

from kingcupusher._core import Registry, now_ms
from kingcupusher._core.address import Address
from kingcupusher._core.connection_server import serve_connections
from kingcupusher._core.startup import listen
from standins import content, timers
from standins.load.outcome import CompleteResponse, Outcome, classify
from standins.load.plan import PlannedRequest
from standins.load.runner import RequestRecord, Runner, RunSettings
from standins.load.summary import compare_executions
from standins.processes import AddressPool
from standins.target.activity_log import Execution, Progress

TIMEOUT_MS = 200.0
BACKLOG = 16
HEAD = b"HTTP/1.1 200 OK\r\n"

RESPONSE_FAULTS: Registry = Registry("response fault")
SERVER_BEHAVIOURS: Registry = Registry("server behaviour")


def _planned(request_id="a-1", response_bytes=200):
    return PlannedRequest(request_id, 0.0, 1.0, True, response_bytes, b"")


def _body(planned):
    request_id = planned.request_id.encode()
    return content.response_body(request_id, planned.body, length_bytes=planned.response_bytes)


def _response(planned, *, request_id=None, body=None, digest=None):
    expected_body = _body(planned)
    headers = {
        content.REQUEST_ID_HEADER: request_id or planned.request_id.encode(),
        content.BODY_DIGEST_HEADER: digest or content.body_digest(expected_body),
    }
    return CompleteResponse(200, headers, expected_body if body is None else body)


@RESPONSE_FAULTS.register("no fault")
def _no_fault(planned):
    return _response(planned)


@RESPONSE_FAULTS.register("the body of another request")
def _other_body(planned):
    return _response(planned, body=_body(_planned("a-2")))


@RESPONSE_FAULTS.register("the id of another request")
def _other_id(planned):
    return _response(planned, request_id=b"a-2")


@RESPONSE_FAULTS.register("one byte less")
def _one_less(planned):
    return _response(planned, body=_body(planned)[:-1])


@RESPONSE_FAULTS.register("one byte more")
def _one_more(planned):
    return _response(planned, body=_body(planned) + b"x")


@RESPONSE_FAULTS.register("one changed byte")
def _changed(planned):
    body = _body(planned)
    return _response(planned, body=bytes([body[0] ^ 1]) + body[1:])


@RESPONSE_FAULTS.register("the digest of another body")
def _other_digest(planned):
    return _response(planned, digest=content.body_digest(b"other"))


@given("a planned request of {response_bytes:d} bytes")
def given_planned(context, response_bytes):
    context.planned = _planned(response_bytes=response_bytes)


@when('the response has status {status:d}, outcome header "" and {fault}')
def when_response_without_outcome(context, status, fault):
    response = RESPONSE_FAULTS.get(fault)(context.planned)
    context.outcome = classify(
        context.planned, CompleteResponse(status, response.headers, response.body)
    )


@when('the response has status {status:d}, outcome header "{header}" and {fault}')
def when_response(context, status, header, fault):
    response = RESPONSE_FAULTS.get(fault)(context.planned)
    headers = {**response.headers, b"x-outcome": header.encode()}
    context.outcome = classify(context.planned, CompleteResponse(status, headers, response.body))


@then("the load tool counts it as {outcome}")
def then_outcome(context, outcome):
    assert context.outcome is Outcome(outcome), context.outcome


@SERVER_BEHAVIOURS.register("closes before the response")
async def _close(_sock):
    return


@SERVER_BEHAVIOURS.register("never responds")
async def _never_respond(_sock):
    await curio.sleep(10)


@SERVER_BEHAVIOURS.register("stops in the middle of the body")
async def _half_body(sock):
    await sock.sendall(HEAD + b"content-length: 200\r\n\r\n" + b"x" * 100)


@SERVER_BEHAVIOURS.register("closes in the middle of the head")
async def _half_head(sock):
    await sock.sendall(HEAD + b"content-le")


@SERVER_BEHAVIOURS.register("closes before the last chunk")
async def _unfinished_chunks(sock):
    await sock.sendall(HEAD + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n")


@SERVER_BEHAVIOURS.register("sends the response to another")
async def _other_response(sock):
    response = _response(_planned("a-2"))
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    connection.next_event()
    headers = [*response.headers.items(), (b"content-length", b"%d" % len(response.body))]
    data = connection.send(h11.Response(status_code=200, headers=headers))
    await sock.sendall(data + connection.send(h11.Data(data=response.body)))


@given("a server that does not listen")
def given_no_server(context):
    context.behaviour = None


@given("a server that closes each connection")
def given_closing_server(context):
    context.behaviour = SERVER_BEHAVIOURS.get("closes before the response")


@given("a server that {behaviour}")
def given_server(context, behaviour):
    context.behaviour = SERVER_BEHAVIOURS.get(behaviour)


async def _serve(address, behaviour):
    async def on_client(client):
        await client.recv(65_536)
        await behaviour(client)

    await serve_connections(listen(address, backlog=BACKLOG), on_client)


async def _send(address, behaviour, plan):
    server = await curio.spawn(_serve, address, behaviour) if behaviour else None
    await curio.sleep(0)
    settings = RunSettings(entries=[address], host="a.example", timeout_ms=TIMEOUT_MS)
    records = await Runner(settings).run(plan)
    if server:
        await server.cancel()
    return records


@when("the load tool sends one request to it")
def when_sent(context):
    address = AddressPool().allocate()
    records = curio.run(_send, address, context.behaviour, [_planned()])
    context.outcome = records[0].outcome


@given("a request that is {kind} and was reported as {outcome}")
def given_record(context, kind, outcome):
    context.record = RequestRecord(
        request_id="a-1",
        entry="",
        idempotent=kind == "idempotent",
        scheduled_ms=0.0,
        sent_late_ms=0.0,
        latency_ms=1.0,
        outcome=Outcome(outcome),
    )


@when("the targets logged {executions}")
def when_logged(context, executions):
    names = [] if executions == "none" else executions.split()
    log = [Execution("a-1", 0.0, Progress(name)) for name in names]
    context.comparison = compare_executions([context.record], log)


@then(
    "the comparison counts {duplicates:d} duplicates, {repeats:d} repeats,"
    " {ran:d} not run but ran and {not_done:d} whole but not done"
)
def then_comparison(context, duplicates, repeats, ran, not_done):
    found = context.comparison
    assert found.duplicates == duplicates, found
    assert found.repeats == repeats, found
    assert found.not_run_but_ran == ran, found
    assert found.whole_but_not_done == not_done, found


async def _send_while_blocked(address, behaviour, plan):
    async def block():
        await curio.sleep(0.1)
        time.sleep(0.2)

    blocker = await curio.spawn(block)
    records = await _send(address, behaviour, plan)
    await blocker.join()
    return records


@when("two requests are scheduled while the sender is blocked for 200 ms")
def when_blocked(context):
    plan = [PlannedRequest(f"a-{n}", 10.0 + n, 1.0, True, 200, b"") for n in range(2)]
    address: Address = AddressPool().allocate()
    context.records = curio.run(_send_while_blocked, address, context.behaviour, plan)


@then("both latencies include the time for which the sender was blocked")
def then_latencies(context):
    assert len(context.records) == 2
    for record in context.records:
        assert record.latency_ms >= 150.0, record


@when("the curio kernel of the stand-ins sleeps {count:d} times for {sleep_ms:g} ms")
def when_sleeps(context, count, sleep_ms):
    async def sleep():
        start_ms = now_ms()
        for _ in range(count):
            await curio.sleep(sleep_ms / 1000.0)
        return (now_ms() - start_ms) / count

    context.mean_ms = timers.run(sleep)


@then("the mean sleep is below {limit_ms:g} ms")
def then_mean_sleep(context, limit_ms):
    assert context.mean_ms < limit_ms, context.mean_ms


@when("{count:d} sockets are open in the curio kernel of the stand-ins")
def when_many_sockets(context, count):
    async def send():
        context.files = [os.dup(0) for _ in range(count)]
        left, right = (curio.io.Socket(sock) for sock in socket.socketpair())
        async with left, right:
            await left.sendall(b"x")
            context.number = right.fileno()
            await curio.sleep(0.001)
            return await right.recv(1)

    context.message = timers.run(send)
    for number in context.files:
        os.close(number)


@then("a message on the last one arrives")
def then_message(context):
    assert context.number > 1024
    assert context.message == b"x"
