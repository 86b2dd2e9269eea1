"""Steps for the request path."""

from __future__ import annotations

import curio
from behave import given, then, when

from kingcupusher._core import Registry, now_ms
from kingcupusher._http.server_connection import ServerLimits
from testing.proxy_world import ResponsePlan, Target, World, request

LONG_BODY = b"y" * 200_000
TINY_CHUNK, LAST_CHUNK = b"1\r\na\r\n", b"0\r\n\r\n"
TINY_CHUNK_COUNT = 40_000
MAX_LATE_MS = 100.0


def raw_status_plan(status):
    """Return a response with ``status``, which need not be a valid status code."""
    return ResponsePlan(raw=f"HTTP/1.1 {status} x\r\ncontent-length: 2\r\n\r\nok".encode())


TARGET_BEHAVIOURS = {
    "healthy": ResponsePlan(),
    "down": ResponsePlan(),
    "refusing": ResponsePlan(status=503, headers=((b"x-outcome", b"not-run"),)),
    "failing with an outcome": ResponsePlan(status=503, headers=((b"x-outcome", b"Not-Run"),)),
    "truncated": ResponsePlan(truncate_at=0),
    "invalid": ResponsePlan(raw=b"nonsense\r\n\r\n"),
    "interim only": ResponsePlan(raw=b"HTTP/1.1 100 x\r\n\r\n" * 40_000),
    "a long head": ResponsePlan(raw=b"HTTP/1.1 200 OK\r\nx: " + b"a" * 1_000_000),
    "silent": ResponsePlan(silent=True),
    **{f"status {status}": raw_status_plan(status) for status in ("000", "099", "600", "999")},
    "early": ResponsePlan(status=413, headers=((b"x-early", b"1"),)),
}
REQUESTS = {
    "an idempotent request": request("/often"),
    "a non-idempotent request": request("/once", method="POST", body=b"1"),
    "a non-idempotent request with a short timeout": request(
        "/once", method="POST", body=b"1", headers="x-request-timeout-ms: 80\r\n"
    ),
    "an idempotent request with a long body": request("/often", method="POST", body=LONG_BODY),
    "an expired request": request("/often", headers="x-request-timeout-ms: 0\r\n"),
    "a request marked as non-idempotent": request("/often", headers="X-Idempotent: False\r\n"),
    "a non-idempotent encoded path": request("/x/../%6fnce", method="POST", body=b"1"),
    "an unknown host": b"GET / HTTP/1.1\r\nhost: other\r\n\r\n",
    "an invalid timeout": request("/often", headers="x-request-timeout-ms: 1.5\r\n"),
    "an absolute-form target": request("http://svc/often"),
    "an oversized head": request("/often", headers=f"x: {'a' * 40_000}\r\n"),
    "an upgrade": request("/often", headers="connection: upgrade\r\nupgrade: websocket\r\n"),
}
CHECKS: Registry = Registry("behaviour")


@given("targets that behave as {names}")
def given_targets(context, names):
    names = names.split(",")
    targets = [Target(default=TARGET_BEHAVIOURS[name]) for name in names]
    down = frozenset(index for index, name in enumerate(names) if name == "down")
    context.world = World(targets, down=down)


REPEATED_HEADERS = {
    "with the identifier of the first": ((b"x-request-id", b"first"),),
    "without an identifier": (),
}


@given("a target that echoes request identifiers and refuses the first request")
def given_echoing_target(context):
    context.target = Target({b"/once/1": TARGET_BEHAVIOURS["refusing"]}, echoes_request_ids=True)


@when("it sends the refusal again, {detail}, before its response to the next request")
def when_refusal_repeated(context, detail):
    refusal = TARGET_BEHAVIOURS["refusing"]
    repeated = ResponsePlan(status=503, headers=refusal.headers + REPEATED_HEADERS[detail])
    context.target.plans[b"/once/1"] = ResponsePlan(
        status=503,
        headers=refusal.headers,
        surplus=repeated.encode(),
        is_surplus_before_next=True,
    )

    async def scenario(world):
        caller = await world.connect()
        async with caller.sock:
            for number, name in enumerate(("first", "second"), start=1):
                headers = f"x-request-id: {name}\r\n"
                await caller.send(
                    request(f"/once/{number}", method="POST", body=b"1", headers=headers)
                )
                reply = await caller.reply()
            return reply

    context.reply = World([context.target]).run(scenario)


@then("the caller of the next request gets {status:d} with outcome {outcome}")
def then_next_outcome(context, status, outcome):
    # Guards against "not run" for a request that the target runs, which callers send again.
    assert len(context.target.received) == 2, context.target.received
    then_status_and_outcome(context, status, outcome)


@then("no cut of a response head is delivered as a success")
def then_cut_head(context):
    # Guards against a complete-looking response made of half a head and no body.
    head_bytes = ResponsePlan().encode().index(b"\r\n\r\n") + 4
    for cut_bytes in range(head_bytes):
        target = Target(default=ResponsePlan(truncate_at=cut_bytes))
        reply = World([target]).run(lambda world: world.call(request("/once", method="POST")))
        assert (reply.status, reply.outcome) == (502, b"unknown"), (cut_bytes, reply)


@when("a caller sends {name} without retry budget")
def when_request_sent_without_budget(context, name):
    context.world.retries = 0
    context.reply = context.world.run(lambda world: world.call(REQUESTS[name]))


@when("a caller sends {name}")
def when_request_sent(context, name):
    context.reply = context.world.run(lambda world: world.call(REQUESTS[name]))


@then("the caller gets {status:d} with outcome {outcome}")
def then_status_and_outcome(context, status, outcome):
    assert context.reply.is_complete
    assert context.reply.status == status, context.reply
    assert context.reply.outcome.decode() == outcome.replace("none", ""), context.reply


@then("the targets received {writes:d} requests and {events} were reported")
def then_received(context, writes, events):
    assert sum(len(target.received) for target in context.world.targets) == writes
    kinds = [type(event).__name__ for event in context.world.load_balancer.events]
    assert ",".join(kinds).replace("Event", "") == events.replace("no events", ""), kinds


@then("a {method} with response {status:d} is followed by another response")
def then_next_response(context, method, status):
    # Guards against waiting for a body, or adding one, where the response has none.
    async def scenario(world):
        caller = await world.connect()
        async with caller.sock:
            await caller.send(request("/first", method=method) + request("/second"))
            return await caller.reply(method), await caller.reply()

    head = b"HTTP/1.1 %d x\r\ncontent-length: 7\r\n\r\n" % status
    world = World([Target({b"/first": ResponsePlan(raw=head)})])
    first, second = world.run(scenario)
    assert (first.status, first.body) == (status, b"")
    assert first.headers[b"content-length"] == b"7"
    assert (second.status, second.body) == (200, b"ok")


@then("the request path shows that {behaviour}")
def then_behaviour(context, behaviour):
    CHECKS.get(behaviour)()


def check(name):
    return CHECKS.register(name)


@check("hop-by-hop headers are removed and per-hop headers are set")
def check_headers():
    plan = ResponsePlan(
        headers=((b"connection", b"x-private"), (b"x-private", b"1"), (b"x-kept", b"2"))
    )
    sent = request(
        "/often",
        headers="connection: X-Gone, host\r\nx-gone: 1\r\nte: trailers\r\nkeep-alive: 5\r\n"
        "x-kept: 3\r\nidempotency-key: k\r\nx-handoff: 1\r\nx-request-timeout-ms: 900\r\n",
    )
    world = World([Target({b"/often": plan})])
    reply = world.run(lambda world: world.call(sent))
    received = world.targets[0].received[0].headers
    assert {b"host", b"x-kept", b"idempotency-key", b"x-request-id"} <= received.keys()
    assert not {b"connection", b"x-gone", b"te", b"keep-alive", b"x-handoff"} & received.keys()
    assert 0 < int(received[b"x-request-timeout-ms"]) <= 900
    assert reply.headers.keys() == {b"content-length", b"x-kept"}


@check("a request with Expect gets an interim response")
def check_expect():
    async def scenario(world):
        caller = await world.connect()
        async with caller.sock:
            head = request("/x", headers="expect: 100-continue\r\ncontent-length: 2\r\n")
            await caller.send(head)
            assert await caller.sock.recv(100) == b"HTTP/1.1 100 \r\n\r\n"
            await caller.send(b"hi")
            return await caller.reply()

    world = World([Target()])
    assert world.run(scenario).status == 200
    assert world.targets[0].received[0].body == b"hi"
    assert b"expect" not in world.targets[0].received[0].headers


@check("informational responses are forwarded")
def check_information():
    raw = b"HTTP/1.1 103 x\r\nlink: a\r\n\r\n" + ResponsePlan().encode()
    world = World([Target({b"/x": ResponsePlan(raw=raw)})])
    reply = world.run(lambda world: world.call(request("/x")))
    assert (reply.information, reply.body) == ([103], b"ok")


@check("a disconnect of the caller closes the connection to the target")
def check_disconnect():
    async def scenario(world):
        target = world.targets[0]
        caller = await world.connect()
        await caller.send(request("/x"))
        while not target.received:
            await curio.sleep(0.001)
        await caller.sock.close()
        while not target.closed_by_peer:
            await curio.sleep(0.001)

    world = World([Target({b"/x": ResponsePlan(silent=True)})])
    world.run(scenario)
    assert [type(event).__name__ for event in world.load_balancer.events] == ["AbandonedEvent"]


async def _occupy_slot(world):
    """Occupy the only slot with a request that gets no response."""
    caller = await world.connect()
    await caller.send(request("/silent"))
    while not world.targets[0].received:
        await curio.sleep(0.001)
    return caller


@check("a disconnect of the caller removes its request from the queue")
def check_leaves_queue():
    async def scenario(world):
        first = await _occupy_slot(world)
        second = await world.connect()
        await second.send(request("/gone"))
        while world.proxy.queued_count != 1:
            await curio.sleep(0.001)
        await second.sock.close()
        while world.listener.connection_count != 1:
            await curio.sleep(0.001)
        third = await world.connect()
        await third.send(request("/x"))
        while world.listener.connection_count != 2:
            await curio.sleep(0.001)
        await first.sock.close()
        reply = await third.reply()
        await third.sock.close()
        return reply

    world = World([Target({b"/silent": ResponsePlan(silent=True)})], slots=1, queue_length=1)
    assert world.run(scenario).status == 200
    assert [r.path for r in world.targets[0].received] == [b"/silent", b"/x"]


@check("a full queue rejects at once and a released slot is reused")
def check_queue():
    async def scenario(world):
        first = await _occupy_slot(world)
        second = await world.connect()
        await second.send(request("/x"))
        while world.proxy.queued_count != 1:
            await curio.sleep(0.001)
        refused = await world.call(request("/y"))
        await first.sock.close()
        reply = await second.reply()
        await second.sock.close()
        return refused, reply

    world = World([Target({b"/silent": ResponsePlan(silent=True)})], slots=1, queue_length=1)
    refused, reply = world.run(scenario)
    assert (refused.status, refused.outcome) == (503, b"not-run")
    assert reply.status == 200


@check("the permission to send is checked just before the write")
def check_send_permission():
    # Guards against requests to a zone that was taken out while the connection was opened.
    async def scenario(world):
        pool = world.load_balancer.pool("t0")
        acquire = pool.acquire

        async def acquire_and_close(**options):
            world.load_balancer.closed.add("t0")
            return await acquire(**options)

        pool_type = type("SlowPool", (), {"__getattr__": lambda _, name: getattr(pool, name)})
        slow = pool_type()
        slow.acquire = acquire_and_close
        world.load_balancer._pools["t0"] = slow
        return await world.call(request("/x"))

    world = World([Target()])
    reply = world.run(scenario)
    assert (reply.status, reply.outcome) == (503, b"not-run")
    assert world.targets[0].received == []


async def _send_two(world, path, idle_ms):
    caller = await world.connect()
    async with caller.sock:
        await caller.send(request("/first"))
        await caller.reply()
        for connection in world.load_balancer.pool("t0")._idle:
            connection.idle_since_ms -= idle_ms
        await caller.send(request(path, method="POST"))
        assert (await caller.reply()).status == 200
    return world.targets[0].connections


@check("a pooled connection is reused")
def check_reuse():
    assert World([Target()]).run(lambda world: _send_two(world, "/often", 2_000)) == 1
    assert World([Target()]).run(lambda world: _send_two(world, "/once", 0)) == 1


@check("a connection idle for long is not reused for a non-idempotent request")
def check_idle_limit():
    # Guards against an unknown outcome because the target closes the idle connection.
    assert World([Target()]).run(lambda world: _send_two(world, "/once", 2_000)) == 2


@check("a stale connection is replaced for an idempotent request")
def check_stale():
    # Guards against treating a target as failed because it closed an idle connection.
    async def scenario(world):
        caller = await world.connect()
        async with caller.sock:
            await caller.send(request("/first"))
            await caller.reply()
            world.targets[0].plans = {b"/x": ResponsePlan(truncate_at=0, is_used_once=True)}
            await caller.send(request("/x"))
            return await caller.reply()

    world = World([Target()])
    assert world.run(scenario).status == 200
    (reset,) = [event for event in world.load_balancer.events if hasattr(event, "is_stale")]
    assert reset.is_stale


@check("a target that did not respond gets no retry of the request")
def check_no_retry_at_silent_target():
    # Guards against treating a time-out on a reused connection as a stale connection.
    async def scenario(world):
        caller = await world.connect()
        async with caller.sock:
            await caller.send(request("/first"))
            await caller.reply()
            await caller.send(request("/x"))
            return await caller.reply()

    world = World([Target({b"/x": ResponsePlan(silent=True)}), Target()])
    assert world.run(scenario).status == 200
    assert [r.path for r in world.targets[0].received] == [b"/first", b"/x"]


@check("a full pool after an unknown outcome is not reported as not-run")
def check_unknown_outcome_kept():
    # Guards against losing an unknown outcome when the retry gets no connection.
    async def scenario(world):
        full = world.load_balancer.pool("t1")
        get_pool = world.load_balancer.pool

        def pool(target_id):
            full.limit = 0 if target_id == "t1" else full.limit
            return get_pool(target_id)

        world.load_balancer.pool = pool
        return await world.call(request("/x"))

    world = World([Target(default=ResponsePlan(truncate_at=0)), Target()])
    reply = world.run(scenario)
    assert (reply.status, reply.outcome) == (502, b"unknown")


@check("a request without a usable target is handed off once")
def check_handoff():
    async def scenario(world):
        world.load_balancer.closed.add("t1")
        first = await world.call(request("/once", method="POST"))
        second = await world.call(
            request("/x", headers="x-handoff: 1\r\nx-request-timeout-ms: 50\r\n")
        )
        return first, second

    world = World([Target(), Target()], first_is_entry=True)
    first, second = world.run(scenario)
    assert first.status == 200
    assert (second.status, second.outcome) == (503, b"not-run")
    (received,) = world.targets[0].received
    assert (received.headers[b"x-handoff"], received.headers[b"x-idempotent"]) == (b"1", b"false")


@check("a drain finishes requests in flight")
def check_drain():
    async def scenario(world):
        target = world.targets[0]
        caller, idle = await world.connect(), await world.connect()
        await caller.send(request("/late"))
        while not target.received:
            await curio.sleep(0.001)
        await world.proxy.drain(deadline_ms=now_ms() + 30_000, grace_ms=0)
        await target.send_late_surplus()
        reply = await caller.reply()
        await caller.sock.close()
        refusal = await idle.reply()
        assert (refusal.status, refusal.outcome) == (408, b"not-run")
        assert await idle.sock.recv(1) == b""
        await idle.sock.close()
        await world.serving.join()
        return reply

    delayed = ResponsePlan(raw=b"", surplus=ResponsePlan().encode(), is_surplus_late=True)
    reply = World([Target({b"/late": delayed})]).run(scenario)
    assert (reply.status, reply.body) == (200, b"ok")
    assert reply.headers[b"connection"] == b"close"


@check("a request sent while its idle connection is closed is rejected as not-run")
def check_drain_race():
    # Guards against an unknown outcome, or a run after the rejection, of a request in transit.
    async def scenario(world):
        caller = await world.connect()
        await caller.send(request("/first"))
        first = await caller.reply()
        await world.proxy.drain(deadline_ms=now_ms() + 30_000, grace_ms=0)
        await curio.sleep(0.1)
        await caller.send(request("/second", method="POST", body=b"1"))
        second = await caller.reply()
        await caller.sock.close()
        await world.serving.join()
        return first, second

    world = World([Target()])
    first, second = world.run(scenario)
    assert (first.status, second.status, second.outcome) == (200, 408, b"not-run")
    assert second.headers[b"connection"] == b"close"
    assert [r.path for r in world.targets[0].received] == [b"/first"], world.targets[0].received


@check("a slow request head is rejected")
def check_slow_head():
    limits = ServerLimits(head_timeout_ms=20, idle_timeout_ms=60_000)
    world = World([Target()], limits=limits)
    reply = world.run(lambda world: world.call(b"GET / HTTP/1.1\r\nhost:"))
    assert (reply.status, reply.outcome) == (408, b"not-run")


@check("a response in tiny chunks lets other tasks run")
def check_tiny_chunks():
    # Guards against one response that keeps all other requests of the entry waiting.
    worst_late_ms = 0.0

    async def measure_lateness():
        nonlocal worst_late_ms
        while True:
            due_ms = now_ms() + 5.0
            await curio.sleep(0.005)
            worst_late_ms = max(worst_late_ms, now_ms() - due_ms)

    async def scenario(world):
        heartbeat = await curio.spawn(measure_lateness, daemon=True)
        caller = await world.connect()
        await caller.send(request("/tiny"))
        received = b""
        # A parser here would keep the tasks waiting itself.
        while not received.endswith(LAST_CHUNK):
            received += await caller.sock.recv(65_536)
        await heartbeat.cancel()
        await caller.sock.close()
        return received

    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    tiny = ResponsePlan(raw=head + TINY_CHUNK * TINY_CHUNK_COUNT + LAST_CHUNK)
    received = World([Target({b"/tiny": tiny})]).run(scenario)
    assert received.count(TINY_CHUNK) == TINY_CHUNK_COUNT
    assert worst_late_ms < MAX_LATE_MS, worst_late_ms


@check("a caller that waits for its response is not idle")
def check_idle_timeout_during_request():
    # Guards against an idle time-out that closes connections on which a response is awaited.
    async def scenario(world):
        caller = await world.connect()
        await caller.send(request("/late"))
        await curio.sleep(0.6)
        await world.targets[0].send_late_surplus()
        reply = await caller.reply()
        await caller.sock.close()
        return reply

    delayed = ResponsePlan(raw=b"", surplus=ResponsePlan().encode(), is_surplus_late=True)
    limits = ServerLimits(head_timeout_ms=20, idle_timeout_ms=100)
    reply = World([Target({b"/late": delayed})], limits=limits).run(scenario)
    assert (reply.status, reply.body) == (200, b"ok")


@check("a truncated response resets the connection of an HTTP/1.0 caller")
def check_truncated_for_http10_caller():
    # Guards against an unnoticed truncation: this caller reads until the connection closes.
    async def scenario(world):
        caller = await world.connect()
        async with caller.sock:
            await caller.send(b"GET /x HTTP/1.0\r\nhost: svc\r\n\r\n")
            return await caller.reply()

    plan = ResponsePlan(body=b"z" * 500, chunked=True, truncate_at=300, segment_bytes=100)
    reply = World([Target({b"/x": plan})]).run(scenario)
    assert not reply.is_complete
