"""Steps for the link of an entry to the lead."""

from __future__ import annotations

import socket

import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._core.connection_server import serve_connections
from kingcupusher._core.startup import listen
from kingcupusher._discovery import Catalog, ReaderSeen, StoreFollower
from kingcupusher._peers.connection import ByteCounters, PeerIdentity, dial
from kingcupusher._relay import LeadLink, LeadServer, LeadUnavailableError, RelayServer
from kingcupusher._relay.messages import (
    LeadCall,
    LeadHello,
    LeadPing,
    LeadReply,
    decode,
    encode,
)
from standins.ports import free_address
from testing.gateway.store import FakeStore

WITHIN_S = 3.0
POLL_S = 0.02
BACKLOG = 16


class Reader:
    """A relay server whose process can end, or fall silent."""

    def __init__(self, name):
        self.name = name
        self.address = free_address()
        self.server = LeadServer()
        self.connection_count = 0
        self.task = None

    async def start(self, *, is_silent=False):
        """Serve, or accept connections without ever answering."""
        if is_silent:
            listening = listen(self.address, backlog=BACKLOG)
            self.task = await curio.spawn(
                serve_connections, listening, self._stay_silent, daemon=True
            )
            return
        catalog = Catalog()
        store = FakeStore().client(self.name)
        follower = StoreFollower(store, catalog, is_reader=lambda: False, on_event=_ignore)
        relay = RelayServer(
            self.address, follower, catalog, entry=self.name, lead_server=self.server
        )
        self.task = await curio.spawn(relay.run, daemon=True)

    async def _stay_silent(self, sock):  # noqa: ARG002
        self.connection_count += 1
        await curio.sleep(60)

    async def stop(self):
        """End the process: its links are reset."""
        await self.task.cancel()


def _ignore(event, **fields):
    """Take no note of an event."""


async def _until(condition, within_s=WITHIN_S):
    deadline_ms = now_ms() + within_s * 1_000.0
    while not condition():
        assert now_ms() < deadline_ms, "it did not happen in time"
        await curio.sleep(POLL_S)


class LeadWorld:
    """Readers and one entry, whose link is needed unless told otherwise."""

    def __init__(self, *, own_slot):
        self.readers = [Reader(f"r{slot}") for slot in range(3)]
        self.catalog = Catalog()
        self.own_server = LeadServer()
        self.is_needed = True
        self.link = LeadLink(
            self.catalog,
            self.own_server,
            entry="entry",
            is_needed=lambda: self.is_needed,
            on_event=self._record_lead,
        )
        self.leads = []
        self.own_slot = own_slot
        self.task = None

    def _record_lead(self, event, **fields):
        if event == "lead changed":
            self.leads.append(fields["lead"])

    async def start(self, *, is_needed=True):
        """Start the readers and the link."""
        self.is_needed = is_needed
        for slot, reader in enumerate(self.readers):
            await reader.start(is_silent=not is_needed)
            self.publish(slot, reader)
        if self.own_slot is not None:
            own = ReaderSeen(self.own_slot, "entry", "a", free_address())
            self.catalog.apply([own], now_ms=now_ms())
        self.task = await curio.spawn(self.link.run, daemon=True)

    def publish(self, slot, reader):
        """Let the entry know that ``reader`` holds ``slot``."""
        seen = ReaderSeen(slot, reader.name, "a", reader.address)
        self.catalog.apply([seen], now_ms=now_ms())

    async def replace_lead(self, *, is_silent):
        """End the reader in slot 0; something silent may answer at its address."""
        await self.readers[0].stop()
        if is_silent:
            await self.readers[0].start(is_silent=True)


async def _go_on(world):
    await _until(lambda: world.link.lead is not None)


async def _end(world):
    await _go_on(world)
    await world.replace_lead(is_silent=False)


async def _fall_silent(world):
    await _go_on(world)
    await world.replace_lead(is_silent=True)


async def _be_replaced(world):
    await _go_on(world)
    newcomer = Reader("r9")
    await newcomer.start()
    world.publish(0, newcomer)


EVENTS = {
    "goes on": _go_on,
    "ends": _end,
    "accepts links and is silent": _fall_silent,
    "is replaced by an entry r9": _be_replaced,
}


@given("readers in the slots 0, 1 and 2, and an entry {place}")
def given_readers(context, place):
    context.own_slot = 0 if place == "that is itself in slot 0" else None


@when("the reader in slot 0 {event}")
def when_event(context, event):
    context.event = EVENTS[event]


@when("nothing needs a lead")
def when_not_needed(context):
    context.event = None


def _run(context, check, **options):
    async def main():
        world = LeadWorld(own_slot=context.own_slot)
        await world.start(**options)
        async with curio.timeout_after(30):
            if context.event is not None:
                await context.event(world)
            await check(world)

    curio.run(main)


@then("the entry is linked to {lead} within 3 s, and its calls are answered")
def then_linked(context, lead):
    async def check(world):
        await _until(lambda: world.link.lead == lead)
        assert await world.link.ask(LeadPing(), timeout_ms=1_000.0) == LeadPing()

    _run(context, check)


@then("the entry, whose link {event}, is linked to r0 {after}, and no reader is avoided")
def then_not_lost(context, event, after):
    async def check(world):
        await _until(lambda: world.link.lead == "r0")
        if event == "is used for 2 s":
            for _ in range(20):
                assert world.link.lead == "r0", world.link.lead
                await curio.sleep(0.1)
        else:
            world.link._connection._sock._socket.shutdown(socket.SHUT_RDWR)
            # A link that is dialed again at once is missing for a few milliseconds only.
            await _until(lambda: world.leads == ["r0", None, "r0"], within_s=1.0)
        assert not world.link._avoid_until_ms, world.link._avoid_until_ms

    _run(context, check)


@then("the entry stays linked to r1 while r0 is tried again")
def then_stays(context):
    async def check(world):
        await _until(lambda: world.link.lead == "r1")
        world.link._avoid_until_ms.clear()
        await _until(lambda: world.link._avoid_until_ms)
        assert world.link.lead == "r1", world.link.lead
        assert await world.link.ask(LeadPing(), timeout_ms=1_000.0) == LeadPing()

    _run(context, check)


@then("the reader in slot 0 counts the entry, and no longer 3 s after it fell silent")
def then_counted(context):
    async def check(world):
        lead = world.readers[0].server
        await _until(lambda: lead.linked_entries == {"entry"})
        await world.task.cancel()
        await _until(lambda: not lead.linked_entries)

    _run(context, check)


@then("no reader gets a connection")
def then_no_connection(context):
    async def check(world):
        await curio.sleep(0.3)
        assert [reader.connection_count for reader in world.readers] == [0, 0, 0]
        try:
            await world.link.ask(LeadPing(), timeout_ms=50.0)
        except LeadUnavailableError:
            return
        raise AssertionError("a call without a link was answered")

    _run(context, check, is_needed=False)


@then("a ping that is sent right after the hello is answered")
def then_early_call(context):
    async def main():
        reader = Reader("r0")
        await reader.start()
        await curio.sleep(POLL_S)
        async with curio.timeout_after(WITHIN_S):
            own = PeerIdentity(0, 0)
            link = await dial(reader.address, own=own, seat=0, counters=ByteCounters())
            for message in (LeadHello("e1"), LeadCall(1, LeadPing())):
                await link.send(encode(message))
            replies = []
            while not replies:
                replies = await link.receive()
        assert decode(replies[0]) == LeadReply(1, LeadPing()), replies
        await link.close()
        await reader.stop()

    curio.run(main)
