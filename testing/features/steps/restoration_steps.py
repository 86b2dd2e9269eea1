"""Steps for a store that is restored from a copy some seconds old."""

from __future__ import annotations

import curio
from behave import then, when

from kingcupusher._core import now_ms
from kingcupusher._discovery import (
    Catalog,
    ChangeBatch,
    HistoryGoneError,
    RoutesPublished,
    StoreFollower,
    StorePosition,
    TargetSeen,
    Update,
    ZoneTakenOut,
)
from testing.gateway.fixture import plain_registration, route_table

CATCH_UP_MS = 3_000.0
TARGET = plain_registration(zone="z0")


async def _write_zones(cluster, prefix, count):
    for number in range(count):
        zone = f"{prefix}{number}"
        cluster.store.write(zone, ZoneTakenOut(zone))


@when(
    "the store is restored from a copy that lacks {lost:d} changes, and {count:d} others are"
    " written at once"
)
def when_restored(context, lost, count):
    async def step(cluster):
        copy = cluster.store.copy()
        await _write_zones(cluster, "lost", lost)
        await curio.sleep(1.5)
        cluster.store.restore(copy)
        await _write_zones(cluster, "new", count)

    context.steps.append(step)


@when("the store is restored from a copy without reader slots")
def when_slots_lost(context):
    async def step(cluster):
        cluster.store.restore((1, [], {}, {}))
        cluster.store.write("routes", RoutesPublished(route_table(version=2)))

    context.steps.append(step)


@when(
    "the store is restored from a copy that lacks a target, which registers again after"
    " {delay_s:g} s"
)
def when_target_lost(context, delay_s):
    async def step(cluster):
        copy = cluster.store.copy()
        cluster.store.write("t0", TargetSeen(TARGET))
        await curio.sleep(1.5)
        cluster.store.restore(copy)
        context.registers_ms = now_ms() + delay_s * 1000.0

    context.steps.append(step)


@then("no entry is without the target at any time")
def then_target_kept(context):
    # Guards against targets that live but get no requests after a restoration.
    async def check(cluster):
        end_ms = context.registers_ms + CATCH_UP_MS
        while now_ms() < end_ms:
            if context.registers_ms <= now_ms():
                context.registers_ms = float("inf")
                cluster.store.write("t0", TargetSeen(TARGET))
            without = [n for n in cluster.running if not _usable(cluster.members[n])]
            assert not without, without
            for name in cluster.running:
                cluster.members[name].catalog.remove_lapsed_targets(now_ms=now_ms())
            await curio.sleep(0.02)

    context.steps.append(check)


def _usable(member):
    return member.catalog.usable_targets("s")


@then("every entry has the content of the store")
def then_same_content(context):
    # Guards against entries that compare revisions from before and after a restoration.
    async def check(cluster):
        contents = cluster.store.contents
        zones = {c.zone for c in contents.values() if isinstance(c, ZoneTakenOut)}
        version = contents["routes"].table.version

        def differing():
            catalogs = {name: cluster.members[name].catalog for name in cluster.running}
            return {
                name: (catalog.zones_out, catalog.route_table.version)
                for name, catalog in catalogs.items()
                if catalog.zones_out != zones or catalog.route_table.version != version
            }

        assert await cluster.wait_for(lambda: not differing(), within_ms=CATCH_UP_MS), differing()

    context.steps.append(check)


class _HistoryLessSource:
    """Has no history; its stale reads are older than what a reader sent."""

    def __init__(self):
        self.calls = []

    async def read_all(self, *, timeout_ms):
        self.calls.append("read")
        return ChangeBatch([ZoneTakenOut("b")], StorePosition(1, 12))

    async def read_all_stale(self, *, timeout_ms):
        self.calls.append("stale read")
        return ChangeBatch([], StorePosition(1, 5))

    async def wait_for_changes(self, *, after, wait_ms, timeout_ms):
        self.calls.append("watch")
        if after.revision < 12:
            raise HistoryGoneError("the store compacted its history")
        await curio.sleep(wait_ms / 1000.0)
        return ChangeBatch([], after)


@then(
    "an entry that loses the history after its first state came from a reader reads the current"
    " state"
)
def then_current_state(context):
    # Guards against a zone order that an entry forgets because it reads an old copy.
    async def main():
        source, catalog = _HistoryLessSource(), Catalog()
        follower = StoreFollower(
            source, catalog, is_reader=lambda: True, on_event=lambda *_args, **_fields: None
        )
        update = Update([ZoneTakenOut("a")], StorePosition(1, 10), is_full=True)
        await follower.on_update(update)
        follower.on_confirmation(position=update.position, confirmed_ms=now_ms(), reader="e1")
        task = await curio.spawn(follower.run, daemon=True)
        await curio.sleep(0.2)
        await task.cancel()
        return source.calls, catalog.zones_out

    calls, zones_out = curio.run(main)
    assert calls[:2] == ["watch", "read"] and zones_out == {"b"}, (calls, zones_out)
