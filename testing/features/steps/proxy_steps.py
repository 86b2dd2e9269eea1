"""Steps for the request path."""

from __future__ import annotations

import curio
from behave import given, then, when

from kingcupusher._core import Registry, now_ms
from kingcupusher._http.server_connection import ServerLimits
from testing.scripted import Plan, Target, World, request

LONG = b"y" * 200_000
BEHAVIOURS = {
    "well": Plan(),
    "down": Plan(),
    "refusing": Plan(status=503, headers=((b"x-outcome", b"not-run"),)),
    "cut": Plan(cut_at=0),
    "invalid": Plan(raw=b"nonsense\r\n\r\n"),
    "silent": Plan(silent=True),
    "early": Plan(status=413, headers=((b"x-early", b"1"),)),
}
REQUESTS = {
    "a lookup": request("/often"),
    "a transfer": request("/once", method="POST", body=b"1"),
    "a hurried transfer": request(
        "/once", method="POST", body=b"1", headers="x-request-timeout-ms: 80\r\n"
    ),
    "a long lookup": request("/often", method="POST", body=LONG),
    "an expired lookup": request("/often", headers="x-request-timeout-ms: 0\r\n"),
    "a marked lookup": request("/often", headers="X-Idempotent: False\r\n"),
    "a disguised transfer": request("/x/../%6fnce", method="POST", body=b"1"),
    "an unknown host": b"GET / HTTP/1.1\r\nhost: other\r\n\r\n",
    "a bad timeout": request("/often", headers="x-request-timeout-ms: 1.5\r\n"),
    "a proxy target": request("http://svc/often"),
    "a long head": request("/often", headers=f"x: {'a' * 40_000}\r\n"),
    "an upgrade": request("/often", headers="connection: upgrade\r\nupgrade: websocket\r\n"),
}
CHECKS: Registry = Registry("behaviour")


@given("targets that behave as {names}")
def given_targets(context, names):
    names = names.split(",")
    targets = [Target(default=BEHAVIOURS[name]) for name in names]
    down = frozenset(index for index, name in enumerate(names) if name == "down")
    context.world = World(targets, down=down)


@when("a caller sends {name} without retry budget")
def when_sent_without_budget(context, name):
    context.world.retries = 0
    context.reply = context.world.run(lambda world: world.call(REQUESTS[name]))


@when("a caller sends {name}")
def when_sent(context, name):
    context.reply = context.world.run(lambda world: world.call(REQUESTS[name]))


@then("the caller gets {status:d} with outcome {outcome}")
def then_gets(context, status, outcome):
    assert context.reply.is_complete
    assert context.reply.status == status, context.reply
    assert context.reply.outcome.decode() == outcome.replace("none", ""), context.reply


@then("the targets saw {writes:d} requests and {events} were reported")
def then_saw(context, writes, events):
    assert sum(len(target.seen) for target in context.world.targets) == writes
    kinds = [type(event).__name__ for event in context.world.directory.events]
    assert ",".join(kinds).replace("Event", "") == events.replace("no events", ""), kinds


@then("a {method} with response {status:d} is followed by another response")
def then_followed(context, method, status):
    # Guards against waiting for, or inventing, a body that the response does not have.
    async def scenario(world):
        caller = await world.caller()
        async with caller.sock:
            await caller.send(request("/first", method=method) + request("/second"))
            return await caller.reply(method), await caller.reply()

    head = b"HTTP/1.1 %d x\r\ncontent-length: 7\r\n\r\n" % status
    world = World([Target({b"/first": Plan(raw=head)})])
    first, second = world.run(scenario)
    assert (first.status, first.body) == (status, b"")
    assert first.headers[b"content-length"] == b"7"
    assert (second.status, second.body) == (200, b"ok")


@then("the request path shows that {behaviour}")
def then_behaviour(context, behaviour):
    CHECKS.get(behaviour)()


def check(name):
    return CHECKS.register(name)


@check("hop-by-hop headers are removed and hop headers are set")
def check_headers():
    plan = Plan(headers=((b"connection", b"x-private"), (b"x-private", b"1"), (b"x-kept", b"2")))
    sent = request(
        "/often",
        headers="connection: X-Gone, host\r\nx-gone: 1\r\nte: trailers\r\nkeep-alive: 5\r\n"
        "x-kept: 3\r\nidempotency-key: k\r\nx-handoff: 1\r\nx-request-timeout-ms: 900\r\n",
    )
    world = World([Target({b"/often": plan})])
    reply = world.run(lambda world: world.call(sent))
    seen = world.targets[0].seen[0].headers
    assert {b"host", b"x-kept", b"idempotency-key", b"x-request-id"} <= seen.keys()
    assert not {b"connection", b"x-gone", b"te", b"keep-alive", b"x-handoff"} & seen.keys()
    assert 0 < int(seen[b"x-request-timeout-ms"]) <= 900
    assert reply.headers.keys() == {b"content-length", b"x-kept"}


@check("a body announced with Expect is asked for")
def check_expect():
    async def scenario(world):
        caller = await world.caller()
        async with caller.sock:
            head = request("/x", headers="expect: 100-continue\r\ncontent-length: 2\r\n")
            await caller.send(head)
            assert await caller.sock.recv(100) == b"HTTP/1.1 100 \r\n\r\n"
            await caller.send(b"hi")
            return await caller.reply()

    world = World([Target()])
    assert world.run(scenario).status == 200
    assert world.targets[0].seen[0].body == b"hi"
    assert b"expect" not in world.targets[0].seen[0].headers


@check("informational responses are passed on")
def check_information():
    raw = b"HTTP/1.1 103 x\r\nlink: a\r\n\r\n" + Plan().wire()
    world = World([Target({b"/x": Plan(raw=raw)})])
    reply = world.run(lambda world: world.call(request("/x")))
    assert (reply.information, reply.body) == ([103], b"ok")


@check("a caller that closes ends the connection to the target")
def check_cancellation():
    async def scenario(world):
        target = world.targets[0]
        caller = await world.caller()
        await caller.send(request("/x"))
        while not target.seen:
            await curio.sleep(0.001)
        await caller.sock.close()
        while not target.closed_by_peer:
            await curio.sleep(0.001)

    world = World([Target({b"/x": Plan(silent=True)})])
    world.run(scenario)
    assert [type(event).__name__ for event in world.directory.events] == ["AbandonedEvent"]


async def _occupy(world):
    """Fill the only slot with a request that gets no response."""
    caller = await world.caller()
    await caller.send(request("/silent"))
    while not world.targets[0].seen:
        await curio.sleep(0.001)
    return caller


@check("a caller that closes leaves the queue")
def check_leaves_queue():
    async def scenario(world):
        first = await _occupy(world)
        second = await world.caller()
        await second.send(request("/gone"))
        while world.proxy.waiting_count != 1:
            await curio.sleep(0.001)
        await second.sock.close()
        while world.listener.connection_count != 1:
            await curio.sleep(0.001)
        third = await world.caller()
        await third.send(request("/x"))
        while world.listener.connection_count != 2:
            await curio.sleep(0.001)
        await first.sock.close()
        reply = await third.reply()
        await third.sock.close()
        return reply

    world = World([Target({b"/silent": Plan(silent=True)})], slots=1, queue_length=1)
    assert world.run(scenario).status == 200
    assert [seen.path for seen in world.targets[0].seen] == [b"/silent", b"/x"]


@check("a full queue refuses at once and a free place is used")
def check_queue():
    async def scenario(world):
        first = await _occupy(world)
        second = await world.caller()
        await second.send(request("/x"))
        while world.proxy.waiting_count != 1:
            await curio.sleep(0.001)
        refused = await world.call(request("/y"))
        await first.sock.close()
        reply = await second.reply()
        await second.sock.close()
        return refused, reply

    world = World([Target({b"/silent": Plan(silent=True)})], slots=1, queue_length=1)
    refused, reply = world.run(scenario)
    assert (refused.status, refused.outcome) == (503, b"not-run")
    assert reply.status == 200


@check("the send right is checked last")
def check_send_right():
    # Guards against work for a zone that an operator took out while a connection was opened.
    async def scenario(world):
        pool = world.directory.pool("t0")
        acquire = pool.acquire

        async def acquire_and_close(**options):
            world.directory.closed.add("t0")
            return await acquire(**options)

        pool_type = type("SlowPool", (), {"__getattr__": lambda _, name: getattr(pool, name)})
        slow = pool_type()
        slow.acquire = acquire_and_close
        world.directory._pools["t0"] = slow
        return await world.call(request("/x"))

    world = World([Target()])
    reply = world.run(scenario)
    assert (reply.status, reply.outcome) == (503, b"not-run")
    assert world.targets[0].seen == []


async def _two_requests(world, path, idle_ms):
    caller = await world.caller()
    async with caller.sock:
        await caller.send(request("/first"))
        await caller.reply()
        for connection in world.directory.pool("t0")._idle:
            connection.idle_since_ms -= idle_ms
        await caller.send(request(path, method="POST"))
        assert (await caller.reply()).status == 200
    return world.targets[0].connections


@check("a pooled connection is used again")
def check_reuse():
    assert World([Target()]).run(lambda world: _two_requests(world, "/often", 2_000)) == 1
    assert World([Target()]).run(lambda world: _two_requests(world, "/once", 0)) == 1


@check("a connection idle too long is not used for a transfer")
def check_fresh():
    # Guards against writing a transfer to a connection that the target is about to close.
    assert World([Target()]).run(lambda world: _two_requests(world, "/once", 2_000)) == 2


@check("a stale connection is replaced for a lookup")
def check_stale():
    # Guards against taking an idle close by a target for a crash.
    async def scenario(world):
        caller = await world.caller()
        async with caller.sock:
            await caller.send(request("/first"))
            await caller.reply()
            world.targets[0].plans = {b"/x": Plan(cut_at=0, is_once=True)}
            await caller.send(request("/x"))
            return await caller.reply()

    world = World([Target()])
    assert world.run(scenario).status == 200
    (reset,) = [event for event in world.directory.events if hasattr(event, "is_stale")]
    assert reset.is_stale


@check("a silent target is not asked twice")
def check_silent_once():
    # Guards against taking the end of an attempt on a used connection for an idle close.
    async def scenario(world):
        caller = await world.caller()
        async with caller.sock:
            await caller.send(request("/first"))
            await caller.reply()
            await caller.send(request("/x"))
            return await caller.reply()

    world = World([Target({b"/x": Plan(silent=True)}), Target()])
    assert world.run(scenario).status == 200
    assert [seen.path for seen in world.targets[0].seen] == [b"/first", b"/x"]


@check("a full pool after an unknown outcome is not reported as not run")
def check_unknown_kept():
    # Guards against forgetting a write when the retry finds no free connection.
    async def scenario(world):
        full = world.directory.pool("t1")
        get_pool = world.directory.pool

        def pool(target_id):
            full.limit = 0 if target_id == "t1" else full.limit
            return get_pool(target_id)

        world.directory.pool = pool
        return await world.call(request("/x"))

    world = World([Target(default=Plan(cut_at=0)), Target()])
    reply = world.run(scenario)
    assert (reply.status, reply.outcome) == (502, b"unknown")


@check("a request without a usable target is handed on once")
def check_handoff():
    async def scenario(world):
        world.directory.closed.add("t1")
        first = await world.call(request("/once", method="POST"))
        second = await world.call(
            request("/x", headers="x-handoff: 1\r\nx-request-timeout-ms: 50\r\n")
        )
        return first, second

    world = World([Target(), Target()], with_entry=True)
    first, second = world.run(scenario)
    assert first.status == 200
    assert (second.status, second.outcome) == (503, b"not-run")
    (seen,) = world.targets[0].seen
    assert (seen.headers[b"x-handoff"], seen.headers[b"x-idempotent"]) == (b"1", b"false")


@check("a drain finishes requests in flight")
def check_drain():
    async def scenario(world):
        target = world.targets[0]
        caller, idle = await world.caller(), await world.caller()
        await caller.send(request("/late"))
        while not target.seen:
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

    held_back = Plan(raw=b"", surplus=Plan().wire(), is_surplus_late=True)
    reply = World([Target({b"/late": held_back})]).run(scenario)
    assert (reply.status, reply.body) == (200, b"ok")
    assert reply.headers[b"connection"] == b"close"


@check("a request that meets the end of an idle connection is refused as not run")
def check_drain_race():
    # Guards against an unknown outcome of a request that was sent just before a drain closed the
    # connection, and against running it after it was refused.
    async def scenario(world):
        caller = await world.caller()
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
    assert [seen.path for seen in world.targets[0].seen] == [b"/first"], world.targets[0].seen


@check("a slow head is refused")
def check_slow_head():
    limits = ServerLimits(head_timeout_ms=20, idle_timeout_ms=60_000)
    world = World([Target()], limits=limits)
    reply = world.run(lambda world: world.call(b"GET / HTTP/1.1\r\nhost:"))
    assert (reply.status, reply.outcome) == (408, b"not-run")


@check("a cut response resets the connection of an HTTP/1.0 caller")
def check_cut_for_old_caller():
    # Guards against a cut that passes for the end: such a caller reads until the connection ends.
    async def scenario(world):
        caller = await world.caller()
        async with caller.sock:
            await caller.send(b"GET /x HTTP/1.0\r\nhost: svc\r\n\r\n")
            return await caller.reply()

    plan = Plan(body=b"z" * 500, chunked=True, cut_at=300, segment_bytes=100)
    reply = World([Target({b"/x": plan})]).run(scenario)
    assert not reply.is_complete
