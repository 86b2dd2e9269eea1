"""Steps for silent outages of the store, several of different length at the same time."""

from __future__ import annotations

from functools import partial

import curio
from behave import then, when

from kingcupusher._core import now_ms
from kingcupusher._discovery import RoutesPublished, TargetGone, TargetSeen
from testing.gateway.cluster import Cluster
from testing.gateway.fixture import registration, route_table
from testing.gateway.targets import FakeTarget

RESTART_DELAY_S = 1.0
OUTAGE_PHASE_S = 2.75
"""Time from the start of an outage to the kill of entries."""
NEW_VERSION = 9


async def _restart_none(cluster):
    del cluster
    await curio.sleep(RESTART_DELAY_S)


async def _restart(cluster, names):
    for name in names:
        await cluster.stop(name)
    await curio.sleep(RESTART_DELAY_S)
    for name in names:
        await cluster.start(name)


async def _restart_readers(cluster):
    await _restart(cluster, cluster.readers())


async def _restart_all_without_state(cluster):
    """Restart all entries, so that none has a state; the slots lapse, and stale reads are old."""
    cluster.store.serve_old_copies()
    cluster.store.lapse_reader_slots()
    await _restart(cluster, sorted(cluster.running))


async def _delay_after_outage_ms(outage_s, bound_s, restart):
    """Return how long after the end of the outage the last entry had the newest routes."""
    cluster = Cluster(6, 3)
    cluster.seeds = ("e0", "e1", "e2")
    await cluster.start_all()
    end_ms = now_ms() + outage_s * 1000.0
    cluster.store.unresponsive_for = set(cluster.zones)
    await curio.sleep(min(OUTAGE_PHASE_S, outage_s - RESTART_DELAY_S))
    await restart(cluster)
    await curio.sleep((end_ms - now_ms()) / 1000.0)
    cluster.store.unresponsive_for = set()
    returned_ms = now_ms()
    cluster.store.write("routes", RoutesPublished(route_table(version=NEW_VERSION)))
    await cluster.wait_for(partial(_all_have_new_routes, cluster), within_ms=bound_s * 5_000.0)
    delay_ms = now_ms() - returned_ms
    await cluster.stop_all()
    return delay_ms


def _all_have_new_routes(cluster):
    tables = [cluster.members[name].catalog.route_table for name in cluster.running]
    return all(table is not None and table.version == NEW_VERSION for table in tables)


def _check_outages(low_s, high_s, bound_s, restart):
    outages_s = [low_s + 0.5 * step for step in range(int((high_s - low_s) / 0.5) + 1)]

    async def main():
        tasks = [
            await curio.spawn(_delay_after_outage_ms, outage_s, bound_s, restart)
            for outage_s in outages_s
        ]
        return [await task.join() for task in tasks]

    delays_ms = dict(zip(outages_s, curio.run(main), strict=True))
    late = {outage_s: round(d) for outage_s, d in delays_ms.items() if d > bound_s * 1000.0}
    assert not late, f"ms from the return of the store, by length of the outage in s: {late}"


@then(
    "after silent outages of {low_s:g} to {high_s:g} s every entry applies a change within"
    " {bound_s:g} s"
)
def then_in_time(context, low_s, high_s, bound_s):
    _check_outages(low_s, high_s, bound_s, _restart_none)


@then(
    "after silent outages of {low_s:g} to {high_s:g} s in which all readers restart every entry"
    " applies a change within {bound_s:g} s"
)
def then_in_time_after_restarts(context, low_s, high_s, bound_s):
    _check_outages(low_s, high_s, bound_s, _restart_readers)


@then(
    "after silent outages of {low_s:g} to {high_s:g} s in which all entries restart every entry"
    " applies a change within {bound_s:g} s"
)
def then_in_time_without_state(context, low_s, high_s, bound_s):
    _check_outages(low_s, high_s, bound_s, _restart_all_without_state)


@when("all readers are killed and a target is removed")
def when_readers_killed(context):
    async def step(cluster):
        target = FakeTarget("t0", "healthy")
        await target.start()
        cluster.store.write("t0", TargetSeen(registration(target)))
        await curio.sleep(1.5)
        for name in cluster.readers():
            await cluster.stop(name)
        cluster.store.remove("t0", TargetGone("t0"))
        cluster.removed_ms = now_ms()
        await target.stop()

    context.steps.append(step)


@then("every running entry is without the target within {bound_s:g} s")
def then_without_target(context, bound_s):
    # Guards against a target that stays usable as if its registration had lapsed in an outage.
    async def check(cluster):
        def is_gone():
            members = [cluster.members[name] for name in cluster.running]
            return not any("t0" in member.catalog.targets for member in members)

        left_ms = cluster.removed_ms + bound_s * 1_000.0 - now_ms()
        assert await cluster.wait_for(is_gone, within_ms=left_ms)

    context.steps.append(check)
