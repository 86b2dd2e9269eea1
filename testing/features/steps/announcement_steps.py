"""Steps for targets that announce that they leave, or that they want a pause."""

from __future__ import annotations

from random import Random

import curio
from behave import given, then, when
from hypothesis import strategies as st

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._discovery import (
    Catalog,
    RoutesPublished,
    TargetGone,
    TargetRegistration,
    TargetSeen,
)
from kingcupusher._gateway.error_responses import targets_paused
from kingcupusher._http.buffered import BufferedResponse
from kingcupusher._limits.announcements import (
    NO_ANNOUNCEMENT,
    Announcement,
    TargetAnnouncements,
    TargetInstance,
)
from kingcupusher_platform.headers import PlatformHeaderCodec
from testing.gateway.fixture import registration, route_table, run_with_fixture
from testing.properties import check_property

LEAVING = ("x-leaving", "1")
REQUEST_COUNT = 8


def _announce(context, index, headers, *, in_probes=False):
    async def prepare(fixture):
        target = fixture.targets[index]
        if in_probes:
            target.announced_in_probes = headers
        else:
            target.announced = headers

    context.preparations.append(prepare)


@given("the first target announces in {where} that it leaves")
def given_leaving(context, where):
    context.is_once = where == "one response"
    _announce(context, 0, [LEAVING], in_probes=where == "load probes")


@given("the {which} target wants a pause of {pause_ms:d} ms")
def given_pause(context, which, pause_ms):
    index = ["first", "second"].index(which)
    _announce(context, index, [("x-pause-ms", str(pause_ms))])


async def _nothing(fixture, target):
    del fixture, target


async def _older_registration(fixture, target):
    fixture.catalog.apply([TargetSeen(registration(target))], now_ms=now_ms())


async def _removal(fixture, target):
    changes = [TargetGone(target.target_id), TargetSeen(registration(target))]
    fixture.catalog.apply(changes, now_ms=now_ms())


async def _snapshot(fixture, target):
    del target
    changes = [TargetSeen(registration(target)) for target in fixture.targets]
    fixture.catalog.replace([RoutesPublished(fixture.table), *changes], now_ms=now_ms())


async def _restart(fixture, target):
    target.announced = []
    fixture.catalog.apply([TargetSeen(registration(target, born_unix_ms=2))], now_ms=now_ms())


EVENTS = {
    "nothing": _nothing,
    "an older registration": _older_registration,
    "a removal and a registration again": _removal,
    "a snapshot without announcements": _snapshot,
    "a restart": _restart,
}


@when("a caller sends lookups before and after {event}")
def when_before_and_after(context, event):
    async def action(fixture):
        first = fixture.targets[0]
        await fixture.call("lookup", "r0")
        if context.is_once:
            first.announced = []
        await EVENTS[event](fixture, first)
        count = 1 if event == "a restart" else REQUEST_COUNT
        for number in range(count):
            await fixture.call("lookup", f"after{number}")
        return [list(target.received) for target in fixture.targets]

    context.received = run_with_fixture(context, action)


@then("the first target got {count:d} requests in all, and the second all others")
def then_counts(context, count):
    # Guards against requests to a target that has said that it leaves.
    first, second = context.received
    assert len(first) == count, first
    assert {f"after{n}" for n in range(REQUEST_COUNT)} <= set(second), second


@then("the first target got {count:d} requests in all")
def then_count(context, count):
    assert len(context.received[0]) == count, context.received


@when("a caller sends lookups for {duration_ms:d} ms, and again after {pause_s:g} s")
def when_during_pause(context, duration_ms, pause_s):
    async def action(fixture):
        first = fixture.targets[0]
        end_ms = now_ms() + duration_ms
        number = 0
        while now_ms() < end_ms:
            await fixture.call("lookup", f"r{number}")
            number += 1
            await curio.sleep(0.01)
        before = len(first.received)
        await curio.sleep(pause_s)
        for extra in range(REQUEST_COUNT):
            await fixture.call("lookup", f"after{extra}")
        return before, len(first.received) - before

    context.counts = run_with_fixture(context, action)


@then("the first target got {before:d} request before, and at least {after:d} after")
def then_paused(context, before, after):
    # Guards against requests to a target that has asked for none, and against leaving it for good.
    assert context.counts[0] == before and context.counts[1] >= after, context.counts


@when("a caller sends {count:d} lookups in turn")
def when_in_turn(context, count):
    async def action(fixture):
        for number in range(count - 1):
            await fixture.call("lookup", f"r{number}")
        before = [len(target.received) for target in fixture.targets]
        started_ms = now_ms()
        response = await fixture.call("lookup", "last")
        elapsed_ms = now_ms() - started_ms
        return before, [len(target.received) for target in fixture.targets], response, elapsed_ms

    context.result = run_with_fixture(context, action)


@then(
    "the last one was refused within {bound_ms:d} ms, to come back after {low_s:g} to {high_s:g} s,"
    " and no target got it"
)
def then_refused_at_once(context, bound_ms, low_s, high_s):
    before, after, (status, headers, _), elapsed_ms = context.result
    assert before == after, (before, after)
    assert status == 503 and elapsed_ms <= bound_ms, (status, elapsed_ms)
    assert low_s <= float(headers[b"retry-after"]) <= high_s, headers


@then(
    "{count:d} refusals during a pause of {pause_ms:d} ms name at least {distinct:d} times from"
    " {low_ms:d} to {high_ms:d} ms"
)
def then_spread(context, count, pause_ms, distinct, low_ms, high_ms):
    # Guards against refused callers that all come back at the same moment.
    times_ms = [targets_paused(pause_ms).retry_after_ms for _ in range(count)]
    assert low_ms <= min(times_ms) and max(times_ms) <= high_ms
    assert len({round(time_ms) for time_ms in times_ms}) >= distinct


def _announcement(status, headers):
    response = BufferedResponse(status=status, headers=headers, body=b"", reason=b"")
    return PlatformHeaderCodec().announcement(response)


@then("a response with status {status:d} and Retry-After {value} means {meaning}")
def then_retry_after(context, status, value, meaning):
    headers = [(b"retry-after", part.encode()) for part in value.split(";")]
    announcement = _announcement(status, headers)
    pause_ms = announcement.pause_ms
    text = "no pause" if pause_ms is None else f"a pause of {pause_ms:g} ms"
    assert text + (", a problem" if announcement.problem else "") == meaning, announcement


@then("a pause of {stated_ms:g} ms ends after {low_ms:d} to {high_ms:d} ms")
def then_bounded(context, stated_ms, low_ms, high_ms):
    del context
    instance = TargetInstance("t0", 1)
    for seed in range(20):
        announcements = TargetAnnouncements(Random(seed))
        announcements.record(instance, Announcement(pause_ms=stated_ms), now_ms=0.0)
        assert low_ms <= announcements.paused_until_ms(instance) <= high_ms


@then("a response with status {status:d} that announces a departure announces nothing")
def then_misdirected(context, status):
    del context
    assert _announcement(status, [(b"server-leaving", b"1")]) == NO_ANNOUNCEMENT
    assert _announcement(200, [(b"server-leaving", b"1")]).is_leaving
    assert not _announcement(200, [(b"server-leaving", b"0")]).is_leaving


def _record(born_unix_ms):
    return TargetRegistration(
        target_id="t0",
        service="s",
        address=Address("127.0.0.1", 1),
        zone="a",
        slots=3,
        is_draining=False,
        cold_left_ms=0.0,
        born_unix_ms=born_unix_ms,
    )


@then("for every sequence of announcements, registrations, removals and snapshots none is usable")
def then_never_usable(context):
    def prop(steps):
        catalog, left, paused_until_ms = Catalog(), set(), {}
        catalog.apply([RoutesPublished(route_table())], now_ms=0.0)
        for number, (kind, born, pause_ms) in enumerate(steps):
            at_ms = number * 100.0
            instance = TargetInstance("t0", born)
            if kind == "leave":
                catalog.announcements.record(instance, Announcement(True), now_ms=at_ms)
                left.add(born)
            elif kind == "pause":
                announcement = Announcement(pause_ms=pause_ms)
                catalog.announcements.record(instance, announcement, now_ms=at_ms)
                paused_until_ms[born] = max(paused_until_ms.get(born, 0.0), at_ms + pause_ms)
            elif kind == "seen":
                catalog.apply([TargetSeen(_record(born))], now_ms=at_ms)
            elif kind == "gone":
                catalog.apply([TargetGone("t0")], now_ms=at_ms)
            else:
                snapshot = [RoutesPublished(route_table()), TargetSeen(_record(born))]
                catalog.replace(snapshot, now_ms=at_ms)
            for target in catalog.usable_targets("s"):
                known = target.record.instance
                assert known.born_unix_ms not in left
                if at_ms < paused_until_ms.get(known.born_unix_ms, 0.0):
                    assert catalog.announcements.is_paused(known, now_ms=at_ms)

    kinds = st.sampled_from(["leave", "pause", "seen", "gone", "snapshot"])
    step = st.tuples(kinds, st.integers(1, 3), st.integers(1, 900))
    check_property(context, prop, steps=st.lists(step, max_size=25))
