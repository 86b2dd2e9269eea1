"""Steps for readers and those who listen to them."""

from __future__ import annotations

from functools import partial

import cbor2
import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._discovery import ReaderGone, RoutesPublished, ZoneTakenOut
from kingcupusher._peers.connection import ByteCounters, PeerIdentity, dial
from kingcupusher._peers.errors import MessageError
from kingcupusher._relay.messages import Subscribe, decode, encode
from testing.gateway.discovery_entry import DiscoveryEntry, free_address
from testing.gateway.fixture import route_table
from testing.gateway.store import FakeStore

IN_TIME_MS = 2_000.0


class Scene:
    """The entries and the store of one scenario; steps are played in one curio run."""

    def __init__(self, count, zones):
        self.store = FakeStore()
        self.store.write("routes", RoutesPublished(route_table()))
        self.zones = {f"e{i}": f"z{i % zones}" for i in range(count)}
        self.addresses = {}
        self.members = {}
        self.living = set()
        self.link_mbps = {}

    async def start(self, name):
        """Start the entry ``name``."""
        address = self.addresses.setdefault(name, free_address())
        self.members[name] = DiscoveryEntry(
            name,
            self.zones[name],
            self.store,
            address=address,
            link_mbps=self.link_mbps.get(name, 1_000.0),
        )
        self.living.add(name)
        await self.members[name].start()

    async def stop(self, name):
        """Kill the entry ``name``."""
        self.living.discard(name)
        await self.members[name].stop()

    def readers(self):
        """Return the living entries that hold a place."""
        return sorted(name for name in self.living if self.members[name].reader_slot.is_held)

    async def wait_for(self, condition, *, within_ms=6_000.0):
        """Return whether ``condition`` came true in time."""
        end_ms = now_ms() + within_ms
        while not condition() and now_ms() < end_ms:
            await curio.sleep(0.01)
        return condition()


@then("all of this holds when it is played")
def play(context):
    """Run the steps that the scenario has collected in one event loop."""

    async def main():
        scene = context.scene
        for name in scene.zones:
            await scene.start(name)
        assert await scene.wait_for(lambda: len(scene.readers()) == 3), scene.readers()
        await curio.sleep(1.0)
        for step in context.steps:
            await step(scene)
        for name in list(scene.living):
            await scene.stop(name)

    curio.run(main)


@given("{count:d} entries in {zones:d} zones that follow a store")
def given_entries(context, count, zones):
    context.scene = Scene(count, zones)
    context.steps = []


@given(
    "{count:d} entries in {zones:d} zones that follow a store, with links of {narrow_mbps:g} Mbit/s"
    " but for e1, e3 and e5"
)
def given_narrow(context, count, zones, narrow_mbps):
    context.scene = Scene(count, zones)
    wide = ("e1", "e3", "e5")
    context.scene.link_mbps = {n: 200.0 if n in wide else narrow_mbps for n in context.scene.zones}
    context.steps = []


@then("e1, e3 and e5 become the readers")
def then_wide(context):
    # Guards against a reader that cannot carry the news of a large fleet over its own link.
    async def check(scene):
        assert scene.readers() == ["e1", "e3", "e5"], scene.readers()

    context.steps.append(check)


@then("3 readers are found, one in each zone")
def then_readers(context):
    async def check(scene):
        def is_spread():
            return len({scene.zones[name] for name in scene.readers()}) == 3

        assert await scene.wait_for(is_spread), scene.readers()
        assert len(scene.readers()) == 3, scene.readers()

    context.steps.append(check)


@then("the store gets at most {bound:d} calls in the next 2 s")
def then_calls(context, bound):
    async def check(scene):
        before = scene.store.call_count
        await curio.sleep(2.0)
        # Three readers confirm once a second and renew their places every 2 s.
        assert scene.store.call_count - before <= bound, scene.store.call_count - before

    context.steps.append(check)


@then(
    "{count:d} changes, {gap_ms:g} ms apart, cost at most {bound:d} calls and reach every entry"
    " within {bound_ms:g} ms"
)
def then_few_calls(context, count, gap_ms, bound, bound_ms):
    # Guards against one call of each reader for each change, when many targets come and go.
    async def check(scene):
        before = scene.store.call_count
        for number in range(count):
            scene.store.write(f"out{number}", ZoneTakenOut(f"out{number}"))
            await curio.sleep(gap_ms / 1000.0)
        # Three readers wait 0.4 s after each answer with news, and renew their places every 2 s.
        assert scene.store.call_count - before <= bound, scene.store.call_count - before
        members = [scene.members[name] for name in scene.living]
        is_known = partial(_all_know, members, f"out{count - 1}")
        assert await scene.wait_for(is_known, within_ms=bound_ms)

    context.steps.append(check)


@then("all entries know all {count:d} entries")
def then_roster(context, count):
    async def check(scene):
        def is_known():
            members = scene.members.values()
            return all(len(m.catalog.live_entries.names(now_ms=now_ms())) == count for m in members)

        assert await scene.wait_for(is_known), [
            m.catalog.live_entries.names(now_ms=now_ms()) for m in scene.members.values()
        ]

    context.steps.append(check)


async def _nothing(scene):
    del scene


async def _kill_readers(scene):
    for name in scene.readers():
        await scene.stop(name)


async def _cut_readers(scene):
    scene.store.unavailable_for = set(scene.readers())


async def _silence_readers(scene):
    scene.store.unresponsive_for = set(scene.readers())


async def _cut_others(scene):
    scene.store.unavailable_for = scene.living - set(scene.readers())


async def _forget(scene):
    scene.store.write("routes", RoutesPublished(route_table(version=2)))
    scene.store.compact_history()


TROUBLES = {
    "nothing happens": _nothing,
    "all readers are killed": _kill_readers,
    "all readers lose the store": _cut_readers,
    "the store falls silent for all readers": _silence_readers,
    "all but the readers lose the store": _cut_others,
    "the store forgets its history": _forget,
}


@when("two readers are killed and {pause_s:g} s pass")
def when_two_killed(context, pause_s):
    async def step(scene):
        for name in scene.readers()[:2]:
            await scene.stop(name)
        await curio.sleep(pause_s)

    context.steps.append(step)


@then("each of {count:d} changes reaches every living entry within {bound_ms:g} ms")
def then_known_soon(context, count, bound_ms):
    # Guards against entries that stay with readers that have nothing to say, and learn of a
    # change only when their own news are stale. The pauses meet all phases of their reads.
    async def check(scene):
        for number in range(count):
            zone = f"out{number}"
            scene.store.write(zone, ZoneTakenOut(zone))
            members = [scene.members[name] for name in scene.living]
            is_known = partial(_all_know, members, zone)
            assert await scene.wait_for(is_known, within_ms=bound_ms), number
            await curio.sleep(0.4)

    context.steps.append(check)


def _all_know(members, zone):
    return all(zone in member.catalog.zones_out for member in members)


@when("a zone is taken out")
def when_zone_out(context):
    async def step(scene):
        scene.store.write("zone", ZoneTakenOut("z0"))
        scene.written_ms = now_ms()

    context.steps.append(step)


@when("a reader is killed and its place becomes vacant")
def when_vacant(context):
    async def step(scene):
        name = scene.readers()[0]
        place = next(r for r in scene.members[name].catalog.readers.values() if r.entry == name)
        await scene.stop(name)
        del scene.store.slot_leases[place.slot]
        scene.store.remove(f"reader {place.slot}", ReaderGone(place.slot))

    context.steps.append(step)


@when("a reader is killed and starts again")
def when_restart(context):
    async def step(scene):
        context.restarted = scene.readers()[0]
        context.revision = scene.store.revision
        await scene.stop(context.restarted)
        await scene.start(context.restarted)

    context.steps.append(step)


@then("the same entry is a reader without a new write")
def then_resumed(context):
    async def check(scene):
        assert await scene.wait_for(lambda: context.restarted in scene.readers())
        assert scene.store.revision == context.revision

    context.steps.append(check)


@when("the store goes down and an entry starts with another as its seed")
def when_seeded(context):
    async def step(scene):
        scene.store.unavailable_for = {*scene.zones, "e9"}
        seeds = (scene.addresses["e4"],)
        scene.members["e9"] = DiscoveryEntry(
            "e9", "z0", scene.store, address=free_address(), seeds=seeds
        )
        scene.living.add("e9")
        await scene.members["e9"].start()

    context.steps.append(step)


@then("it knows the routes within 2 s")
def then_seeded(context):
    async def check(scene):
        catalog = scene.members["e9"].catalog
        assert await scene.wait_for(lambda: catalog.has_routes, within_ms=2_000.0)

    context.steps.append(check)


@when("a subscriber knows a later revision than the reader")
def when_ahead(context):
    async def step(scene):
        reader = scene.addresses[scene.readers()[0]]
        own = PeerIdentity(0, 0)
        context.link = await dial(reader, own=own, seat=0, counters=ByteCounters())
        await context.link.send(encode(Subscribe("e0", scene.store.revision + 5)))

    context.steps.append(step)


@then("the reader sends it at most {bound:d} messages in 2 s")
def then_not_flooded(context, bound):
    async def check(scene):
        del scene
        received = []
        async with curio.ignore_after(2.0):
            while True:
                received += await context.link.receive()
        assert 1 <= len(received) <= bound, len(received)

    context.steps.append(check)


@then("every living entry that reaches the store or a reader knows it within 2 s")
def then_in_time(context):
    async def check(scene):
        def knows(name):
            return "z0" in scene.members[name].catalog.zones_out

        left_ms = scene.written_ms + IN_TIME_MS - now_ms()
        reached = [name for name in scene.living if name not in scene.store.unresponsive_for]
        is_known = await scene.wait_for(lambda: all(map(knows, reached)), within_ms=left_ms)
        assert is_known, [name for name in reached if not knows(name)]

    context.steps.append(check)


@when("trouble comes: {trouble}")
def when_trouble(context, trouble):
    context.steps.append(TROUBLES[trouble])


BAD_MESSAGES = {
    "no bytes": b"",
    "bytes of zero": bytes(40),
    "an unknown kind": cbor2.dumps([99, 1, 2]),
    "a short list": cbor2.dumps([2, 1]),
}


@then("{message} raises an error that says so")
def then_bad_message(context, message):
    try:
        decode(BAD_MESSAGES[message])
    except MessageError as error:
        assert "not a message of the relay" in str(error)
    else:
        raise AssertionError("no error")
