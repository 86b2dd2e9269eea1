"""Steps for readers and their subscribers."""

from __future__ import annotations

from functools import partial

import cbor2
import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._discovery import ReaderGone, RoutesPublished, StorePosition, ZoneTakenOut
from kingcupusher._peers.connection import ByteCounters, PeerIdentity, dial
from kingcupusher._peers.errors import MessageError
from kingcupusher._relay.messages import Subscribe, decode, encode
from standins.ports import free_address
from testing.gateway.cluster import Cluster
from testing.gateway.discovery_entry import DiscoveryEntry
from testing.gateway.fixture import route_table

IN_TIME_MS = 2_000.0


@then("the steps pass when they are run")
def run_steps(context):
    """Run the collected steps of the scenario in one event loop."""

    async def main():
        await context.cluster.start_all()
        for step in context.steps:
            await step(context.cluster)
        await context.cluster.stop_all()

    curio.run(main)


@given("{count:d} entries in {zones:d} zones that follow a store")
def given_entries(context, count, zones):
    context.cluster = Cluster(count, zones)
    context.steps = []


@given(
    "{count:d} entries in {zones:d} zones that follow a store, with links of {slow_mbps:g} Mbit/s"
    " except for e1, e3 and e5"
)
def given_slow_links(context, count, zones, slow_mbps):
    context.cluster = Cluster(count, zones)
    fast = ("e1", "e3", "e5")
    context.cluster.link_mbps = {
        n: 200.0 if n in fast else slow_mbps for n in context.cluster.zones
    }
    context.steps = []


@then("e1, e3 and e5 become the readers")
def then_fast_links(context):
    # Guards against a reader whose link is too slow for the changes of a large fleet.
    async def check(cluster):
        assert cluster.readers() == ["e1", "e3", "e5"], cluster.readers()

    context.steps.append(check)


@then("there are 3 readers, one in each zone")
def then_readers(context):
    async def check(cluster):
        def is_spread():
            return len({cluster.zones[name] for name in cluster.readers()}) == 3

        assert await cluster.wait_for(is_spread), cluster.readers()
        assert len(cluster.readers()) == 3, cluster.readers()

    context.steps.append(check)


@then("the store gets at most {bound:d} calls in the next 2 s")
def then_calls(context, bound):
    async def check(cluster):
        before = cluster.store.call_count
        await curio.sleep(2.0)
        # Three readers get a confirmation once a second and renew their slots every 2 s.
        assert cluster.store.call_count - before <= bound, cluster.store.call_count - before

    context.steps.append(check)


@then(
    "{count:d} changes, {gap_ms:g} ms apart, cost at most {bound:d} calls and reach every entry"
    " within {bound_ms:g} ms"
)
def then_few_calls(context, count, gap_ms, bound, bound_ms):
    # Guards against one call per reader and change when many targets restart.
    async def check(cluster):
        before = cluster.store.call_count
        for number in range(count):
            cluster.store.write(f"out{number}", ZoneTakenOut(f"out{number}"))
            await curio.sleep(gap_ms / 1000.0)
        # Three readers wait 0.4 s after each response with changes and renew their slots every 2 s.
        assert cluster.store.call_count - before <= bound, cluster.store.call_count - before
        members = [cluster.members[name] for name in cluster.running]
        has_change = partial(_all_have_zone_out, members, f"out{count - 1}")
        assert await cluster.wait_for(has_change, within_ms=bound_ms)

    context.steps.append(check)


@then("only readers have watched the store since the start")
def then_only_readers_watch(context):
    # Guards against a call at full price by each of hundreds of entries after they all restart.
    async def check(cluster):
        await curio.sleep(2.5)
        assert cluster.store.watching_entries <= set(cluster.readers()), (
            cluster.store.watching_entries,
            cluster.readers(),
        )

    context.steps.append(check)


@then("every entry lists all {count:d} entries")
def then_entry_list(context, count):
    async def check(cluster):
        def is_complete():
            members = cluster.members.values()
            return all(len(m.catalog.live_entries.names(now_ms=now_ms())) == count for m in members)

        assert await cluster.wait_for(is_complete), [
            m.catalog.live_entries.names(now_ms=now_ms()) for m in cluster.members.values()
        ]

    context.steps.append(check)


async def _no_fault(cluster):
    del cluster


async def _kill_readers(cluster):
    for name in cluster.readers():
        await cluster.stop(name)


async def _cut_readers(cluster):
    cluster.store.unavailable_for = set(cluster.readers())


async def _silence_readers(cluster):
    cluster.store.unresponsive_for = set(cluster.readers())


async def _cut_others(cluster):
    cluster.store.unavailable_for = cluster.running - set(cluster.readers())


async def _lose_history(cluster):
    cluster.store.write("routes", RoutesPublished(route_table(version=2)))
    cluster.store.compact_history()


FAULTS = {
    "nothing fails": _no_fault,
    "all readers are killed": _kill_readers,
    "all readers lose the store": _cut_readers,
    "the store stops responding to all readers": _silence_readers,
    "all entries except the readers lose the store": _cut_others,
    "the store loses its history": _lose_history,
}


@when("two readers are killed and {pause_s:g} s pass")
def when_two_killed(context, pause_s):
    async def step(cluster):
        for name in cluster.readers()[:2]:
            await cluster.stop(name)
        await curio.sleep(pause_s)

    context.steps.append(step)


@then("each of {count:d} changes reaches every running entry within {bound_ms:g} ms")
def then_changes_arrive(context, count, bound_ms):
    # Guards against entries that stay with readers without changes and get a change only when
    # their own state is too old. The pauses cover all phases of their reads.
    async def check(cluster):
        for number in range(count):
            zone = f"out{number}"
            cluster.store.write(zone, ZoneTakenOut(zone))
            members = [cluster.members[name] for name in cluster.running]
            has_change = partial(_all_have_zone_out, members, zone)
            assert await cluster.wait_for(has_change, within_ms=bound_ms), number
            await curio.sleep(0.4)

    context.steps.append(check)


def _all_have_zone_out(members, zone):
    return all(zone in member.catalog.zones_out for member in members)


@when(
    "the store is unavailable to all entries for {outage_s:g} s, at a price of at most {bound:g}"
    " calls of each that is no reader"
)
def when_unavailable(context, outage_s, bound):
    # Guards against hundreds of entries that all call a store that is down once a second.
    async def step(cluster):
        others = cluster.running - set(cluster.readers())
        cluster.store.prices_by_entry.clear()
        cluster.store.unavailable_for = set(cluster.zones)
        await curio.sleep(outage_s)
        prices = {name: cluster.store.prices_by_entry[name] for name in others}
        assert max(prices.values()) <= bound, prices
        cluster.store.unavailable_for = set()

    context.steps.append(step)


@when("the store does not respond to any entry for {outage_s:g} s")
def when_unresponsive(context, outage_s):
    async def step(cluster):
        cluster.store.unresponsive_for = set(cluster.zones)
        await curio.sleep(outage_s)
        cluster.store.unresponsive_for = set()

    context.steps.append(step)


@when("{pause_s:g} s pass")
def when_time_passes(context, pause_s):
    async def step(cluster):
        del cluster
        await curio.sleep(pause_s)

    context.steps.append(step)


@then("the events of each entry have its failed calls and the source of its next confirmation")
def then_outage_events(context):
    # Guards against an incident in which nobody can tell why an entry kept an old state.
    async def check(cluster):
        for name, member in cluster.members.items():
            failed = [f for event, f in member.events if event == "store call failed"]
            assert failed, name
            for fields in failed:
                assert fields["elapsed_ms"] >= 500.0 and fields["probe_interval_ms"] > 0.0, fields
            confirmed = [f for event, f in member.events if event == "state confirmed"]
            sources = {"store", *cluster.zones} - {name}
            assert confirmed[-1]["source"] in sources, confirmed
            assert confirmed[-1]["unconfirmed_ms"] >= 2_000.0, confirmed

    context.steps.append(check)


@when("a zone is taken out")
def when_zone_out(context):
    async def step(cluster):
        cluster.store.write("zone", ZoneTakenOut("z0"))
        cluster.written_ms = now_ms()

    context.steps.append(step)


@when("a reader is killed and its slot becomes vacant")
def when_vacant(context):
    async def step(cluster):
        name = cluster.readers()[0]
        reader = next(r for r in cluster.members[name].catalog.readers.values() if r.entry == name)
        await cluster.stop(name)
        del cluster.store.slot_leases[reader.slot]
        cluster.store.remove(f"reader {reader.slot}", ReaderGone(reader.slot))

    context.steps.append(step)


@when("a reader is killed and starts again")
def when_restart(context):
    async def step(cluster):
        context.restarted = cluster.readers()[0]
        context.revision = cluster.store.revision
        await cluster.stop(context.restarted)
        await cluster.start(context.restarted)

    context.steps.append(step)


@then("the same entry is a reader without another write to the store")
def then_resumed(context):
    async def check(cluster):
        assert await cluster.wait_for(lambda: context.restarted in cluster.readers())
        assert cluster.store.revision == context.revision

    context.steps.append(check)


@when("the store fails and an entry starts with another entry as its seed")
def when_started_with_seed(context):
    async def step(cluster):
        cluster.store.unavailable_for = {*cluster.zones, "e9"}
        seeds = (cluster.addresses["e4"],)
        cluster.members["e9"] = DiscoveryEntry(
            "e9", "z0", cluster.store, address=free_address(), seeds=seeds
        )
        cluster.running.add("e9")
        await cluster.members["e9"].start()

    context.steps.append(step)


@then("the new entry has the routes within 2 s")
def then_has_routes(context):
    async def check(cluster):
        catalog = cluster.members["e9"].catalog
        assert await cluster.wait_for(lambda: catalog.has_routes, within_ms=2_000.0)

    context.steps.append(check)


@when("a subscriber has a later revision than the reader")
def when_subscriber_ahead(context):
    async def step(cluster):
        reader = cluster.addresses[cluster.readers()[0]]
        own = PeerIdentity(0, 0)
        context.link = await dial(reader, own=own, seat=0, counters=ByteCounters())
        ahead = StorePosition(cluster.store.restorations, cluster.store.revision + 5)
        await context.link.send(encode(Subscribe("e0", ahead)))

    context.steps.append(step)


@then("the reader sends the subscriber at most {bound:d} messages in 2 s")
def then_not_flooded(context, bound):
    async def check(cluster):
        del cluster
        received = []
        async with curio.ignore_after(2.0):
            while True:
                received += await context.link.receive()
        assert 1 <= len(received) <= bound, len(received)

    context.steps.append(check)


@then("every running entry that reaches the store or a reader applies the change within 2 s")
def then_in_time(context):
    async def check(cluster):
        def has_change(name):
            return "z0" in cluster.members[name].catalog.zones_out

        left_ms = cluster.written_ms + IN_TIME_MS - now_ms()
        reached = [name for name in cluster.running if name not in cluster.store.unresponsive_for]
        is_applied = await cluster.wait_for(
            lambda: all(map(has_change, reached)), within_ms=left_ms
        )
        assert is_applied, [name for name in reached if not has_change(name)]

    context.steps.append(check)


@when("this fault occurs: {fault}")
def when_fault(context, fault):
    context.steps.append(FAULTS[fault])


BAD_MESSAGES = {
    "no bytes": b"",
    "NUL bytes": bytes(40),
    "an unknown type": cbor2.dumps([99, 1, 2]),
    "a short list": cbor2.dumps([2, 1]),
}


@then("decoding {message} raises an error for a malformed relay message")
def then_bad_message(context, message):
    try:
        decode(BAD_MESSAGES[message])
    except MessageError as error:
        assert "not a relay message" in str(error)
    else:
        raise AssertionError("no error")


@then(
    "a single entry is listed at the earliest {low_s:g} s and at the latest {high_s:g} s after it"
    " became a reader"
)
def then_lists_itself(context, low_s, high_s):
    # Guards against a single entry that keeps to the share of one among many.
    async def main():
        cluster = Cluster(1, 1)
        await cluster.start("e0")
        member = cluster.members["e0"]
        assert await cluster.wait_for(lambda: member.reader_slot.is_held)
        started_ms = now_ms()

        def is_listed():
            return member.catalog.live_entries.names(now_ms=now_ms()) == ["e0"]

        assert await cluster.wait_for(is_listed, within_ms=high_s * 1000.0)
        assert now_ms() - started_ms >= low_s * 1000.0 - 100.0
        await cluster.stop("e0")

    curio.run(main)
