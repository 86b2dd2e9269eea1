"""Steps for the quotas of customers with real connections: callers, targets and relay servers."""

from __future__ import annotations

from bisect import bisect_right
from random import Random

import curio
import msgspec
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._discovery import Catalog, Customer, ReaderSeen, StoreFollower, key_digest
from kingcupusher._gateway.customer_quotas import CustomerQuotas
from kingcupusher._limits.quota_tokens import TakenToken
from kingcupusher._observe.metrics_registry import Metrics
from kingcupusher._relay import LeadLink, LeadServer, RelayServer, TokenRequest
from standins.ports import free_address
from testing.gateway.fixture import GatewayFixture, read_responses, route_table
from testing.gateway.store import FakeStore

KEYS = {"whose quota is used up": "key-of-limited", "without a limit": "key-of-free"}
WINDOW_MS = 5_000.0
POLL_S = 0.02


class NoLog:
    """Drops events."""

    def event(self, event, **fields):
        """Drop an event."""


def _ignore(event, **fields):
    """Take no note of an event."""


def _customer(name, key, per_s):
    digests = (key_digest(key.encode()),)
    return Customer(name=name, key_digests=digests, requests_per_s=per_s, burst=per_s)


LIMITED = _customer("limited", "key-of-limited", 0.01)
FREE = _customer("free", "key-of-free", 0.0)


def _table(*customers):
    return msgspec.structs.replace(route_table(), customers=customers)


class Member:
    """The parts of an entry that deal with quotas."""

    def __init__(self, name, table):
        self.name, self.address = name, free_address()
        self.catalog, self.server = Catalog(), LeadServer()
        self.link = LeadLink(
            self.catalog,
            self.server,
            entry=name,
            is_needed=lambda: True,
            on_event=_ignore,
        )
        self.metrics = Metrics()
        self.quotas = CustomerQuotas(
            self.catalog, self.link, self.server, metrics=self.metrics, log=NoLog(), rng=Random(1)
        )
        self.quotas.on_routes(table)
        self._tasks = []

    async def start(self):
        """Serve links, and keep one to the lead."""
        store = FakeStore().client(self.name)
        follower = StoreFollower(store, self.catalog, is_reader=lambda: False, on_event=_ignore)
        relay = RelayServer(
            self.address, follower, self.catalog, entry=self.name, lead_server=self.server
        )
        for task in (relay.run, self.link.run, self.quotas.run):
            self._tasks.append(await curio.spawn(task, daemon=True))

    async def stop(self):
        """End as a killed process does: links are reset."""
        for task in self._tasks:
            await task.cancel()

    @property
    def granted(self):
        """Tokens that this entry granted as the lead."""
        return self.metrics._counts["quota_tokens_granted_total", ()]


# -- callers and targets


@given("a gateway for a customer whose quota is used up and another one without a limit")
def given_gateway(context):
    context.routes = _table(LIMITED, FREE)


@when("a caller sends a request of the customer {customer}")
def when_request(context, customer):
    async def main():
        fixture = GatewayFixture(["healthy"], table=context.routes)
        member = Member("e1", context.routes)
        own = ReaderSeen(0, "e1", "a", member.address)
        member.catalog.apply([own], now_ms=now_ms())
        await member.start()
        while not member.link.is_lead:
            await curio.sleep(POLL_S)
        fixture.gateway.customer_quotas = member.quotas
        async with fixture, curio.timeout_after(20):
            sock = await fixture.connect()
            head = "GET /lookup/x HTTP/1.1\r\nhost: h.example\r\nx-id: r1\r\n"
            await sock.sendall(f"{head}x-key: {KEYS[customer]}\r\n\r\n".encode())
            (response,) = await read_responses(sock, 1)
            await sock.close()
            return response, sum(len(target.received) for target in fixture.targets)

    context.response, context.sends = curio.run(main)


@then("it gets status {status:d} and {sends:d} requests reach a target")
def then_status(context, status, sends):
    assert (context.response[0], context.sends) == (status, sends), context.response
    retry_after = dict(context.response[1]).get(b"retry-after")
    assert (retry_after is not None) == (status == 429), context.response
    assert retry_after is None or 0.1 <= float(retry_after) <= 5.0, retry_after


class RecordingQuotas:
    """Grants all tokens and records those that are given back."""

    def __init__(self):
        self.taken, self.returned = [], []

    async def take(self, customer):
        """Grant a token."""
        token = TakenToken(customer, is_charged=True)
        self.taken.append(token)
        return token

    def give_back(self, token):
        """Record a token."""
        self.returned.append(token)


BEHAVIOURS = {
    "finds no target": (),
    "is answered by a target": ("healthy",),
    "is not answered by a target": ("truncating",),
}


@when("a request of a customer with a quota {event}")
def when_token(context, event):
    quotas = context.quotas = RecordingQuotas()

    async def main():
        fixture = GatewayFixture(BEHAVIOURS[event], table=_table(LIMITED))
        fixture.gateway.customer_quotas = quotas
        async with fixture, curio.timeout_after(20):
            sock = await fixture.connect()
            head = "GET /lookup/x HTTP/1.1\r\nhost: h.example\r\nx-id: r1\r\nx-timeout-ms: 500\r\n"
            await sock.sendall(f"{head}x-key: key-of-limited\r\n\r\n".encode())
            await read_responses(sock, 1)
            await sock.close()

    curio.run(main)


@then("its token is {fate}")
def then_token(context, fate):
    quotas = context.quotas
    assert len(quotas.taken) == 1, quotas.taken
    assert quotas.returned == (quotas.taken if fate == "given back" else []), quotas.returned


# -- relay servers


@given("three readers and two entries, linked over the relay")
def given_members(context):
    context.names = [f"e{i}" for i in range(5)]


@when("a customer with {rate:d} requests a second sends {per_s:d}, and the lead ends after {s:g} s")
def when_lead_ends(context, rate, per_s, s):
    table = _table(_customer("acme", "key", rate))
    context.rate, context.sent = rate, []

    async def request(member):
        if isinstance(await member.quotas.take("acme"), TakenToken):
            context.sent.append(now_ms())

    async def send(members):
        while True:
            for member in members:
                await curio.spawn(request, member, daemon=True)
            await curio.sleep(len(members) / per_s)

    async def main():
        members = [Member(name, table) for name in context.names]
        readers = [ReaderSeen(i, m.name, "a", m.address) for i, m in enumerate(members[:3])]
        for member in members:
            member.catalog.apply(readers, now_ms=now_ms())
            member.catalog.live_entries.mark_seen(context.names, now_ms=now_ms())
            await member.start()
        async with curio.timeout_after(60):
            sender = await curio.spawn(send, members[3:], daemon=True)
            await curio.sleep(s)
            await members[0].stop()
            # Only the name is left in the catalog, as after a kill before the lease ends.
            granted, end_ms = members[1].granted, now_ms() + 3_000.0
            while members[1].granted == granted and now_ms() < end_ms:
                await curio.sleep(POLL_S)
            context.granted = (members[0].granted, members[1].granted)
            await curio.sleep(3.0)
            await sender.cancel()

    curio.run(main)


@then("the quota holds, and the next lead grants tokens within 3 s")
def then_next_lead(context):
    assert all(granted > 0 for granted in context.granted), context.granted
    times = context.sent
    largest = max(bisect_right(times, t + WINDOW_MS) - i for i, t in enumerate(times))
    assert largest <= (context.rate * 5 + context.rate) * 1.1 + 20.0, largest


@then("a lead without a list grants 40 entries 40/131 of a quota if they know 131 entries")
def then_stated_entries(context):  # noqa: ARG001
    lead = Member("e0", _table(_customer("acme", "key", 100.0)))
    for index in range(40):
        lead.server.link(f"e{index}")
    lead.server.handle("e1", TokenRequest([], 131))
    assert abs(lead.quotas._pool._share - 40 / 131) < 1e-9, lead.quotas._pool._share
