"""Steps for single calls to the store that fail, and for outages."""

from __future__ import annotations

import socket
from functools import partial

import curio
from behave import given, then, when
from hypothesis import strategies as st

from kingcupusher._core import now_ms
from kingcupusher._core.connection_server import serve_connections
from kingcupusher._core.startup import listen
from kingcupusher._discovery import (
    CallEnd,
    Catalog,
    ChangeSourceError,
    RoutesPublished,
    StoreFollower,
    StorePosition,
    StoreReturned,
    TargetGone,
    TargetSeen,
    Update,
    ZoneTakenOut,
)
from kingcupusher._discovery.store_availability import StoreAvailability, StoreEvent
from kingcupusher_platform.store import StoreClient
from standins.ports import free_address
from standins.target.connection import RESET_ON_CLOSE
from testing.gateway.fixture import plain_registration, route_table
from testing.properties import check_property

HEARTBEAT_MS = 1_500.0
END_BY_WORD = {
    "answered": CallEnd.ANSWERED,
    "cut": CallEnd.CUT_WHILE_WAITING,
    "rate-limited": CallEnd.RATE_LIMITED,
    "failed": CallEnd.FAILED,
}
EVENT_WORDS = {
    StoreEvent.OUTAGE_BEGAN: "a begin",
    StoreEvent.OUTAGE_ENDED: "an end",
    StoreEvent.REACHED_AGAIN: "reached again",
}
WATCH_MS = 300.0
TIMEOUT_MS = 200.0
TOLERANCE_MS = 150.0
"""Remaining times are rounded to steps of 100 ms."""
TARGET = plain_registration(zone="z0")
RING_START_MS = 10_000.0
MAX_PROBE_DELAY_S = 0.7
"""A reader probes the store twice a second in an outage."""


# -- what the ends of calls show


class _Calls:
    """Records the ends of calls and what they show; an answer confirms the state."""

    def __init__(self):
        self.availability = StoreAvailability(heartbeat_ms=HEARTBEAT_MS)
        self.confirmed_ms = 0.0
        self.events = []

    def end(self, at_ms, end):
        event = self.availability.on_call(end, confirmed_ms=self.confirmed_ms, now_ms=at_ms)
        if end is CallEnd.ANSWERED:
            self.confirmed_ms = at_ms
        self.events.append(event)
        return event


@when("calls to the store end as {ends}")
def when_calls_end(context, ends):
    context.calls = _Calls()
    _end_calls(context.calls, ends)


def _end_calls(calls, ends):
    for row in ends.split(", "):
        at_ms, word = row.split(" ")
        calls.end(float(at_ms), END_BY_WORD[word])


@when(
    "a reader says that the store responded at {confirmed_ms:g} ms, and a call is answered at"
    " {answered_ms:g} ms"
)
def when_confirmed(context, confirmed_ms, answered_ms):
    event = context.calls.availability.on_confirmation(confirmed_ms=confirmed_ms)
    context.calls.events.append(event)
    context.calls.end(answered_ms, CallEnd.ANSWERED)


@when("a reader says that the store responded at {confirmed_ms:g} ms, and calls end as {ends}")
def when_confirmed_before(context, confirmed_ms, ends):
    event = context.calls.availability.on_confirmation(confirmed_ms=confirmed_ms)
    context.calls.events.append(event)
    _end_calls(context.calls, ends)


@then("they show {events}")
def then_events(context, events):
    shown = [EVENT_WORDS[e] for e in context.calls.events if e is not StoreEvent.NOTHING]
    assert (", ".join(shown) or "no outage") == events, shown


@then(
    "for every series of calls an answer after a longer time without one ends an outage or follows"
    " a confirmation"
)
def then_no_outage_missed(context):
    # Guards against registrations that lapsed in an outage and are dropped at once.
    def prop(rows):
        calls, at_ms, ends = _Calls(), 0.0, []
        for wait_ms, end in rows:
            at_ms += wait_ms
            unconfirmed_ms = at_ms - calls.confirmed_ms
            event = calls.end(at_ms, end)
            if end is not CallEnd.ANSWERED:
                ends.append(end)
                continue
            has_failed = CallEnd.FAILED in ends or (ends and unconfirmed_ms > HEARTBEAT_MS)
            assert event is StoreEvent.OUTAGE_ENDED or not has_failed, (rows, event)
            assert event is StoreEvent.NOTHING or ends, (rows, event)
            ends = []

    rows = st.lists(st.tuples(st.integers(1, 2_000), st.sampled_from(CallEnd)), max_size=12)
    check_property(context, prop, rows=rows)


@then(
    "for every series of calls and confirmations an answer later than that after the last known one"
    " ends an outage"
)
def then_no_outage_hidden(context):
    # Guards against registrations that lapsed in an outage and are dropped at once.
    def prop(rows):
        calls, at_ms, known_ms, has_failed = _Calls(), 0.0, 0.0, False
        for wait_ms, end in rows:
            at_ms += wait_ms
            if end is None:
                calls.availability.on_confirmation(confirmed_ms=at_ms)
                known_ms, has_failed = at_ms, False
                continue
            event = calls.end(at_ms, end)
            if end is not CallEnd.ANSWERED:
                has_failed = True
                continue
            is_outage = has_failed and at_ms > known_ms + HEARTBEAT_MS
            assert event is StoreEvent.OUTAGE_ENDED or not is_outage, (rows, event)
            known_ms, has_failed = at_ms, False

    ends = st.one_of(st.none(), st.sampled_from(CallEnd))
    rows = st.lists(st.tuples(st.integers(1, 2_000), ends), max_size=12)
    check_property(context, prop, rows=rows)


# -- the client of the store


async def _close(sock):
    await sock.recv(65_536)


async def _reset(sock):
    await sock.recv(65_536)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


async def _close_within_response(sock):
    await sock.recv(65_536)
    await sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n{")


async def _send_junk(sock):
    await sock.recv(65_536)
    await sock.sendall(b"\x00\x01 no response\r\n\r\n")


async def _stay_silent(sock):
    while await sock.recv(65_536):
        pass


async def _respond(status, sock):
    await sock.recv(65_536)
    await sock.sendall(b"HTTP/1.1 %d X\r\ncontent-length: 2\r\n\r\n{}" % status)


BEHAVIOURS = {
    "closes without a response": _close,
    "resets without a response": _reset,
    "closes within a response": _close_within_response,
    "sends bytes that are no response": _send_junk,
    "does not respond": _stay_silent,
    "does not accept connections": None,
    "responds with status 429": partial(_respond, 429),
    "responds with status 503": partial(_respond, 503),
}


@given("a store that {behaviour}")
def given_store(context, behaviour):
    context.on_client = BEHAVIOURS[behaviour]


async def _end_of(call):
    try:
        await call
    except ChangeSourceError as error:
        return error.end
    return CallEnd.ANSWERED


@then("a watch of 300 ms ends as {end}, and a full read as {read_end}")
def then_ends(context, end, read_end):
    # Guards against a call that is taken for more, or for less, than it shows.
    async def main():
        address = free_address()
        if context.on_client is not None:
            sock = listen(address, backlog=8)
            await curio.spawn(serve_connections, sock, context.on_client, daemon=True)
        client = StoreClient(address, on_problem=lambda *_args, **_fields: None)
        watch = client.wait_for_changes(
            after=StorePosition(0, 1), wait_ms=WATCH_MS, timeout_ms=TIMEOUT_MS
        )
        return await _end_of(watch), await _end_of(client.read_all(timeout_ms=TIMEOUT_MS))

    assert curio.run(main) == (CallEnd(end), CallEnd(read_end))


# -- entries that follow a store


async def _nothing(cluster):
    del cluster


async def _cut(cluster):
    cluster.store.cut_watches()


async def _cut_twice(cluster):
    cluster.store.cut_watches()
    await curio.sleep(1.0)
    cluster.store.cut_watches()


async def _rate_limit(cluster):
    cluster.store.cut_watches()
    cluster.store.rate_limited_for = set(cluster.running)
    await curio.sleep(0.05)
    cluster.store.rate_limited_for = set()


async def _fail_for_one(cluster):
    cluster.store.unavailable_for = {cluster.readers()[0]}
    await curio.sleep(2.0)
    cluster.store.unavailable_for = set()
    await curio.sleep(MAX_PROBE_DELAY_S)


async def _hang_for_one(cluster):
    cluster.store.unresponsive_for = {cluster.readers()[0]}
    await curio.sleep(3.0)
    cluster.store.unresponsive_for = set()
    await curio.sleep(MAX_PROBE_DELAY_S)


FAULTS = {
    "nothing fails": _nothing,
    "the waiting watches are cut": _cut,
    "the waiting watches are cut twice in 1 s": _cut_twice,
    "calls are rate-limited for 50 ms": _rate_limit,
    "the calls of one reader fail for 2 s": _fail_for_one,
    "the calls of one reader hang for 3 s": _hang_for_one,
}


@when("this happens after a target has registered: {fault}")
def when_fault(context, fault):
    async def step(cluster):
        cluster.store.write("t0", TargetSeen(TARGET))
        await curio.sleep(1.5)
        assert all("t0" in cluster.members[name].catalog.targets for name in cluster.running)
        await FAULTS[fault](cluster)

    context.steps.append(step)


@when("{delay_ms:d} ms pass until its registration is removed")
def when_removed(context, delay_ms):
    async def step(cluster):
        await curio.sleep(delay_ms / 1000.0)
        cluster.store.remove("t0", TargetGone("t0"))
        cluster.removed_ms = now_ms()

    context.steps.append(step)


async def _fail(cluster):
    cluster.store.unavailable_for = set(cluster.running)


async def _hang(cluster):
    cluster.store.unresponsive_for = set(cluster.running)


async def _cut_and_fail(cluster):
    cluster.store.cut_watches()
    cluster.store.unavailable_for = set(cluster.running)


OUTAGES = {
    "is unavailable": _fail,
    "does not respond": _hang,
    "cuts the watches and then is unavailable": _cut_and_fail,
}


@when(
    "a target registers, and the store {outage} for {outage_s:g} s, and the registration lapses"
    " {delay_s:g} s after its return, for {absence_s:g} s"
)
def when_outage(context, outage, outage_s, delay_s, absence_s):
    async def step(cluster):
        cluster.store.write("t0", TargetSeen(TARGET))
        await curio.sleep(1.5)
        watcher = await curio.spawn(_record_absences, cluster, context, daemon=True)
        await OUTAGES[outage](cluster)
        await curio.sleep(outage_s)
        if not delay_s:
            cluster.store.remove("t0", TargetGone("t0"))
        cluster.store.unavailable_for = set()
        cluster.store.unresponsive_for = set()
        if delay_s:
            await curio.sleep(delay_s)
            cluster.store.remove("t0", TargetGone("t0"))
        await curio.sleep(absence_s - delay_s)
        cluster.store.write("t0", TargetSeen(TARGET))
        await curio.sleep(3.0)
        await watcher.cancel()

    context.absent = set()
    context.steps.append(step)


@when(
    "a target registers, and the store does not respond for {outage_s:g} s, and then responds to"
    " one reader, {delay_s:g} s later to all"
)
def when_readers_return_in_turn(context, outage_s, delay_s):
    async def step(cluster):
        cluster.store.write("t0", TargetSeen(TARGET))
        await curio.sleep(1.5)
        context.watcher = await curio.spawn(_record_absences, cluster, context, daemon=True)
        await _hang(cluster)
        await curio.sleep(outage_s)
        context.first_reader = cluster.readers()[0]
        cluster.store.unresponsive_for = set(cluster.running) - {context.first_reader}
        await curio.sleep(delay_s)
        cluster.store.unresponsive_for = set()
        await curio.sleep(MAX_PROBE_DELAY_S)

    context.absent = set()
    context.steps.append(step)


async def _nothing_before_lapse(cluster, context):
    del cluster, context


async def _stop_first_reader(cluster, context):
    await cluster.stop(context.first_reader)


EVENTS_BEFORE_LAPSE = {
    "nothing happens": _nothing_before_lapse,
    "the first reader dies": _stop_first_reader,
}


@when("{event} just before the registration lapses for {absence_s:g} s")
def when_lapse(context, event, absence_s):
    async def step(cluster):
        await EVENTS_BEFORE_LAPSE[event](cluster, context)
        cluster.store.remove("t0", TargetGone("t0"))
        await curio.sleep(absence_s)
        cluster.store.write("t0", TargetSeen(TARGET))
        await curio.sleep(3.0)
        await context.watcher.cancel()

    context.steps.append(step)


async def _take_zone_out(cluster):
    cluster.store.write("zone", ZoneTakenOut("elsewhere"))


CHANGES = {"nothing changes": _nothing, "a zone is taken out": _take_zone_out}


@when(
    "a target registers, and the store is unavailable for {outage_s:g} s, and {change}"
    " {delay_s:g} s after its return"
)
def when_change_after_outage(context, outage_s, change, delay_s):
    async def step(cluster):
        cluster.store.write("t0", TargetSeen(TARGET))
        await curio.sleep(1.5)
        await _cut_and_fail(cluster)
        await curio.sleep(outage_s)
        cluster.store.unavailable_for = set()
        cluster.returned_ms = now_ms()
        await curio.sleep(delay_s)
        await CHANGES[change](cluster)

    context.steps.append(step)


@when("{delay_s:g} s after the return its registration is removed")
def when_removed_after_return(context, delay_s):
    async def step(cluster):
        await curio.sleep((cluster.returned_ms - now_ms()) / 1000.0 + delay_s)
        cluster.store.remove("t0", TargetGone("t0"))
        cluster.removed_ms = now_ms()

    context.steps.append(step)


async def _record_absences(cluster, context):
    while True:
        for name in cluster.running:
            catalog = cluster.members[name].catalog
            catalog.remove_lapsed_targets(now_ms=now_ms())
            if not catalog.usable_targets("s"):
                context.absent.add(name)
        await curio.sleep(0.02)


@then("no running entry was without the target at any time")
def then_never_absent(context):
    # Guards against targets that live but get no requests after an outage.
    async def check(cluster):
        del cluster
        assert not context.absent, context.absent

    context.steps.append(check)


# -- snapshots


def _follower(catalog):
    return StoreFollower(
        None, catalog, is_reader=lambda: False, on_event=lambda *_args, **_fields: None
    )


@given("a catalog whose target lapsed {elapsed_ms:g} ms ago, after an outage")
def given_lapsed(context, elapsed_ms):
    catalog = Catalog()
    context.follower = _follower(catalog)
    first = [RoutesPublished(route_table()), TargetSeen(TARGET)]
    curio.run(context.follower.on_update, Update(first, StorePosition(1, 1), is_full=True))
    catalog.apply([StoreReturned(), TargetGone("t0")], now_ms=now_ms() - elapsed_ms)


@when("an entry without any state gets its snapshot")
def when_snapshot(context):
    context.catalog = Catalog()
    update = context.follower.update_after(None)
    context.received_ms = now_ms()
    curio.run(_follower(context.catalog).on_update, update)


@then("it has the target for {left_ms:g} ms more")
def then_has_target(context, left_ms):
    # Guards against an entry that keeps a target for good, since it never learns of its removal.
    catalog = context.catalog
    catalog.remove_lapsed_targets(now_ms=context.received_ms + left_ms - TOLERANCE_MS)
    assert bool(catalog.usable_targets("s")) is (left_ms > 0.0), left_ms
    catalog.remove_lapsed_targets(now_ms=context.received_ms + left_ms + TOLERANCE_MS)
    assert not catalog.usable_targets("s"), left_ms


# -- the time for renewals


@given("a ring of {count:d} readers, the first of which noticed the end of an outage")
def given_ring(context, count):
    context.catalogs = [Catalog() for _ in range(count)]
    context.catalogs[0].apply([StoreReturned()], now_ms=RING_START_MS)


@when(
    "for {duration_s:g} s each tells the next one the time that is left, {delay_ms:g} ms on the way"
)
def when_ring_tells(context, duration_s, delay_ms):
    context.end_ms = [0.0 for _ in context.catalogs]
    sent_ms = RING_START_MS
    while sent_ms < RING_START_MS + duration_s * 1_000.0:
        for i, catalog in enumerate(context.catalogs):
            left_ms = catalog.grace_left_ms(now_ms=sent_ms)
            if left_ms > 0.0:
                context.end_ms[i] = sent_ms + left_ms
                following = context.catalogs[(i + 1) % len(context.catalogs)]
                following.apply([StoreReturned(left_ms)], now_ms=sent_ms + delay_ms)
        sent_ms += delay_ms


@then("the time of each has ended at most {limit_ms:g} ms later than that of the first")
def then_ring_ended(context, limit_ms):
    # Guards against targets that left and get requests for as long as readers tell of an outage.
    first_end_ms = RING_START_MS + StoreReturned().grace_left_ms
    assert max(context.end_ms) <= first_end_ms + limit_ms, context.end_ms
