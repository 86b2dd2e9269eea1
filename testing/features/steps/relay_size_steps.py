"""Steps for what a reader sends to many subscribers."""

from __future__ import annotations

import zlib

import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._discovery import Catalog, ReaderSeen, RoutesPublished, StoreFollower
from kingcupusher._peers import codec
from kingcupusher._peers.errors import MessageError
from kingcupusher._relay import LeadServer, RelayServer, Subscriptions
from kingcupusher._relay.messages import Compressed, decode
from standins.ports import free_address
from testing.gateway.fixture import many_routes, route_table
from testing.gateway.store import FakeStore

LIST_DELAY_S = 5.0
SAMPLE_INTERVAL_S = 0.01


class Subscriber:
    """An entry that subscribes to the reader; ``received_bytes`` counts what the link carried."""

    def __init__(self, name, reader_address, store):
        self.catalog = Catalog()
        self.list_sizes = []
        follower = StoreFollower(
            store.client(name), self.catalog, is_reader=lambda: False, on_event=_ignore
        )
        self._subscriptions = Subscriptions(
            follower, self.catalog, entry=name, zone="a", seeds=(), on_event=_ignore
        )
        self.catalog.apply([ReaderSeen(0, "reader", "a", reader_address)], now_ms=now_ms())
        self.catalog.route_table = route_table(version=0)

    async def start(self):
        """Subscribe."""
        await curio.spawn(self._subscriptions.run, daemon=True)
        await curio.spawn(self._record_list_sizes, daemon=True)

    async def _record_list_sizes(self):
        while True:
            self.list_sizes.append(len(self.listed()))
            await curio.sleep(SAMPLE_INTERVAL_S)

    def listed(self):
        """Return the entries that this one knows."""
        return self.catalog.live_entries.names(now_ms=now_ms())

    @property
    def received_bytes(self):
        """Bytes that the links have carried to this entry."""
        return self._subscriptions.counters.received_bytes


class ReaderFixture:
    """A reader that follows a fake store, and its subscribers."""

    def __init__(self, routes):
        self.store = FakeStore()
        self.store.write("routes", RoutesPublished(routes))
        self.address = free_address()
        self.store.write("reader 0", ReaderSeen(0, "reader", "a", self.address))
        catalog = Catalog()
        follower = StoreFollower(
            self.store.client("reader"), catalog, is_reader=lambda: True, on_event=_ignore
        )
        relay = RelayServer(
            self.address, follower, catalog, entry="reader", lead_server=LeadServer()
        )
        self._components = (follower, relay)
        self.subscribers = []

    async def start(self):
        """Follow the store and accept subscribers."""
        for component in self._components:
            await curio.spawn(component.run, daemon=True)
        await curio.sleep(0.1)

    async def subscribe(self, count=1):
        """Add subscribers."""
        for _ in range(count):
            name = f"frontend-of-a-large-fleet-{len(self.subscribers)}"
            self.subscribers.append(Subscriber(name, self.address, self.store))
            await self.subscribers[-1].start()

    async def wait_until_listed(self, count, *, within_s):
        """Wait until each subscriber lists ``count`` entries."""
        async with curio.ignore_after(within_s):
            while any(len(s.listed()) != count for s in self.subscribers):
                await curio.sleep(0.02)
        assert {len(s.listed()) for s in self.subscribers} == {count}


def _ignore(*_args, **_fields):
    return None


def _run(context, action):
    async def main():
        reader = ReaderFixture(context.routes)
        await reader.start()
        return await action(reader)

    return curio.run(main)


@given("a reader with {count:d} subscribers that it has listed")
def given_listed(context, count):
    context.routes, context.count = route_table(), count


@when("another entry subscribes")
def when_joins(context):
    async def action(reader):
        await reader.subscribe(context.count)
        await reader.wait_until_listed(context.count + 1, within_s=LIST_DELAY_S + 2.0)
        early = list(reader.subscribers)
        before = [s.received_bytes for s in early]
        await reader.subscribe()
        await reader.wait_until_listed(context.count + 2, within_s=2.0)
        return [s.received_bytes - b for s, b in zip(early, before, strict=True)]

    context.received_bytes = _run(context, action)


@then(
    "each of the {count:d} subscribers gets at most {bound:d} bytes, and all of them list {total:d}"
    " entries"
)
def then_few_bytes(context, count, bound, total):
    # Guards against a list of n names for each of n subscribers whenever one entry restarts.
    assert len(context.received_bytes) == count and total == count + 2
    assert max(context.received_bytes) <= bound, context.received_bytes


@given("a reader without subscribers")
def given_no_subscribers(context):
    context.routes = route_table()


@when("{count:d} entries subscribe within 1 s")
def when_many_subscribe(context, count):
    async def action(reader):
        for _ in range(count):
            await reader.subscribe()
            await curio.sleep(1.0 / count)
        await reader.wait_until_listed(count + 1, within_s=LIST_DELAY_S + 1.0)
        # All lists may have come within one interval, before any subscriber has sampled its own.
        await curio.sleep(10 * SAMPLE_INTERVAL_S)
        return [s.list_sizes for s in reader.subscribers]

    context.list_sizes = _run(context, action)


@then("none of them lists fewer than {total:d} entries at any time, and all do after 7 s")
def then_no_short_list(context, total):
    # Guards against shares of a limit that are computed from the first few entries of many.
    sizes = [sorted(set(sizes)) for sizes in context.list_sizes]
    assert all(seen == [0, total] for seen in sizes), sizes


@given("a reader whose store publishes {count:d} routes")
def given_many_routes(context, count):
    context.routes = many_routes(count)


@when("an entry subscribes")
def when_one_subscribes(context):
    async def action(reader):
        await reader.subscribe()
        (subscriber,) = reader.subscribers
        async with curio.timeout_after(3):
            while subscriber.catalog.route_table.version == 0:
                await curio.sleep(0.01)
        assert subscriber.catalog.route_table == context.routes
        return subscriber.received_bytes

    context.received_bytes = _run(context, action)


@then("it has the routes after at most a fifth of their encoded size")
def then_compressed(context):
    # Guards against a link of 10 Mbit/s that needs a minute for a large configuration.
    encoded_bytes = len(codec.encode(RoutesPublished(context.routes)))
    assert context.received_bytes <= encoded_bytes / 5, (context.received_bytes, encoded_bytes)


@then("a message that is longer than {limit_mb:d} MB when decompressed is malformed")
def then_limited(context, limit_mb):
    # Guards against a short message that takes all memory of an entry.
    data = zlib.compress(bytes(limit_mb * 1_048_576 + 1))
    try:
        decode(codec.encode(Compressed(data)))
    except MessageError:
        return
    raise AssertionError("the message was decoded")
