"""Steps for the identity of callers."""

from __future__ import annotations

import json

import curio
import msgspec
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._discovery import (
    Catalog,
    Customer,
    RoutesPublished,
    StorePosition,
    key_digest,
)
from kingcupusher._gateway.route_match import RouteMatch
from kingcupusher._relay.messages import CatalogUpdate, encode
from kingcupusher_platform.headers import PlatformHeaderCodec
from kingcupusher_platform.records import CONFIG_KEY, decode_item, decode_routes
from testing.gateway.fixture import GatewayFixture, read_responses, route_table
from testing.gateway.plain_header_codec import PlainHeaderCodec

ACME_KEYS = ("acme-key-number-one", "acme-key-number-two")
ZENITH_KEY = "zenith-key-number-one"
REQUESTS = {
    "with a key of acme": ("lookup", {"authorization": f"Bearer {ACME_KEYS[0]}"}),
    "with the second key of acme": ("lookup", {"authorization": f"bearer  {ACME_KEYS[1]}"}),
    "with a key of zenith that names acme": (
        "lookup",
        {"authorization": f"Bearer {ZENITH_KEY}", "x-kingcupusher-tenant": "acme"},
    ),
    "with an unknown key": ("lookup", {"authorization": "Bearer nobody-has-this-key"}),
    "without a key": ("lookup", {}),
    "with a key of acme for an unknown path": (
        "unknown",
        {"authorization": f"Bearer {ACME_KEYS[0]}"},
    ),
    "for the public route without a key": ("transfer", {}),
    "for the public route that names acme": ("transfer", {"x-kingcupusher-tenant": "acme"}),
    "for the public route with a key of acme": (
        "transfer",
        {"authorization": f"Bearer {ACME_KEYS[0]}"},
    ),
}
PATHS = {"lookup": "/lookup/x", "transfer": "/transfer/x", "unknown": "/unknown/x"}
CUSTOMER_HEADER = "x-kingcupusher-tenant"
PLAIN = PlainHeaderCodec()


class RecordingCodec(PlatformHeaderCodec):
    """The platform's codec for requests, and the fake targets' plain one for responses."""

    __slots__ = ("sent",)

    def __init__(self):
        self.sent = []

    def request_headers(self, head, **options):
        """Return the platform's headers, which are recorded, and the identifier for the target."""
        headers = super().request_headers(head, **options)
        self.sent.append({k.decode(): v.decode() for k, v in headers})
        return [*headers, (b"x-id", self.request_id(head))]

    def response_request_id(self, response):
        """Return ``x-id``."""
        return response.header(b"x-id") or b""

    def classify(self, response):
        """Classify by the plain headers."""
        return PLAIN.classify(response)

    def parse_probe_response(self, response, *, now_ms):
        """Parse the plain headers."""
        return PLAIN.parse_probe_response(response, now_ms=now_ms)


def _customers(*names_and_keys):
    return tuple(
        Customer(name=name, key_digests=tuple(key_digest(key.encode()) for key in keys))
        for name, keys in names_and_keys
    )


BOTH = _customers(("acme", ACME_KEYS), ("zenith", (ZENITH_KEY,)))


def _table(customers, *, version=1):
    table = route_table(version=version)
    routes = tuple(
        msgspec.structs.replace(route, is_public=route.name == "transfer") for route in table.routes
    )
    return msgspec.structs.replace(table, routes=routes, customers=customers)


def _request(name, headers, request_id="r1"):
    rows = {"host": "h.example", "x-kingcupusher-attempt-id": request_id, **headers}
    head = f"{'POST' if name == 'transfer' else 'GET'} {PATHS[name]} HTTP/1.1\r\n"
    return (head + "".join(f"{k}: {v}\r\n" for k, v in rows.items()) + "\r\n").encode()


def _run(table, action):
    async def main():
        fixture = GatewayFixture(["healthy"], table=table)
        fixture.codec = fixture.gateway.header_codec = RecordingCodec()
        fixture.gateway.prober._header_codec = fixture.codec
        async with fixture, curio.timeout_after(20):
            return await action(fixture)

    return curio.run(main)


@given("a gateway whose configuration names the customers acme and zenith")
def given_customers(context):
    context.routes = _table(BOTH)


@given("a gateway whose configuration names no customers")
def given_no_customers(context):
    context.routes = _table(())


@when("its caller sends a request {request}")
def when_request(context, request):
    name, headers = REQUESTS[request]

    async def action(fixture):
        sock = await fixture.connect()
        await sock.sendall(_request(name, headers))
        ((status, _, _),) = await read_responses(sock, 1)
        await sock.close()
        return status, fixture.codec.sent, fixture.log_text()

    context.headers = headers
    context.status, context.sent, context.log_text = _run(context.routes, action)


@then("the caller gets status {status:d}")
def then_status(context, status):
    assert context.status == status, context.status


@then("the target is told {told}, and no key")
def then_told(context, told):
    if told == "nothing":
        assert context.sent == [], context.sent
    else:
        (headers,) = context.sent
        expected = None if told == "nobody" else told
        assert headers.get(CUSTOMER_HEADER) == expected, headers
        assert "authorization" not in headers, headers
    for key in (*ACME_KEYS, ZENITH_KEY):
        assert key not in context.log_text, context.log_text


@then("the target gets the headers of the caller")
def then_unchanged(context):
    (headers,) = context.sent
    assert headers["authorization"] == context.headers["authorization"], headers


CHANGES = {
    "takes away": (BOTH, _customers(("acme", ACME_KEYS[1:]), ("zenith", (ZENITH_KEY,)))),
    "adds": (_customers(("acme", ACME_KEYS[1:])), BOTH),
    "moves to another customer": (BOTH, _customers(("zenith", (ZENITH_KEY, *ACME_KEYS)))),
    "leaves as the last one of": (BOTH, _customers(("acme", ACME_KEYS[:1]))),
    "takes away with all other": (BOTH, _customers(("acme", ()))),
}


@when("its caller sends requests with a key before and after a version {change} it")
def when_version_changes(context, change):
    before, after = CHANGES[change]
    headers = {"authorization": f"Bearer {ACME_KEYS[0]}"}

    async def action(fixture):
        sock = await fixture.connect()
        statuses = []
        for version, customers in enumerate((before, after), 2):
            published = RoutesPublished(_table(customers, version=version))
            fixture.catalog.apply([published], now_ms=now_ms())
            await sock.sendall(_request("lookup", headers, f"r{version}"))
            ((status, _, _),) = await read_responses(sock, 1)
            statuses.append(status)
        await sock.close()
        return statuses

    context.statuses = _run(_table(BOTH), action)


@then("they get the statuses {statuses}")
def then_statuses(context, statuses):
    assert context.statuses == [int(s) for s in statuses.split(",")], context.statuses


SECRET = "th5mgjy5rcpihhacrudd"
PROBLEMS = {
    "a key of two customers": {"a": {"apiKeys": [SECRET]}, "b": {"apiKeys": ["x", SECRET]}},
    "customers in a list": [{"name": "a", "apiKeys": [SECRET]}],
    "a customer that is a number": {"a": 5},
    "keys that are a text": {"a": {"apiKeys": SECRET}},
    "a key that is a number": {"a": {"apiKeys": [SECRET, 7]}},
    "an empty key": {"a": {"apiKeys": [SECRET, ""]}},
    "a negative rate": {"a": {"apiKeys": [SECRET], "ratePerS": -1}},
    "a rate that is a text": {"a": {"apiKeys": [SECRET], "ratePerS": "fast"}},
    "a priority that is a text": {"a": {"apiKeys": [SECRET], "priority": "high"}},
    "a name with a line break": {"a\r\nx-evil: 1": {"apiKeys": [SECRET]}},
}


def _configuration(tenants):
    route = {"host": "h", "prefix": "/a/", "kind": "download", "timeoutS": 4, "service": "s"}
    return json.dumps(
        {
            "version": "r9",
            "routes": {"open": route | {"public": True}, "kept": route | {"prefix": "/b/"}},
            "services": {"s": {"healthPath": "/health"}},
            "tenants": tenants,
        }
    ).encode()


def _broken_configuration(problem):
    if problem == "a list around it":
        return b"[" + _configuration({"a": {"apiKeys": [SECRET]}}) + b"]"
    return _configuration(PROBLEMS[problem])


@then("a configuration with {problem} is refused, and the reason contains no key")
def then_refused(context, problem):
    problems = []
    change = decode_item(
        CONFIG_KEY,
        _broken_configuration(problem),
        lease=0,
        on_problem=lambda event, **fields: problems.append((event, fields)),
    )
    assert change is None, change
    assert len(problems) == 1 and SECRET not in str(problems), problems


VALID_TENANTS = {
    "acme": {"apiKeys": [SECRET], "priority": 0, "ratePerS": 14.5, "burst": 29},
    "zenith": {"apiKeys": []},
}


@then(
    "a configuration with customers has the rates, priorities, kinds and public routes of its text"
)
def then_decoded(context):
    context.routes = table = decode_routes(_configuration(VALID_TENANTS), on_problem=print)
    acme, zenith = table.customers
    assert (acme.name, acme.priority, acme.requests_per_s, acme.burst) == ("acme", 0, 14.5, 29.0)
    assert acme.key_digests == (key_digest(SECRET.encode()),)
    assert (zenith.priority, zenith.has_quota, zenith.key_digests) == (None, False, ())
    assert {route.name: route.is_public for route in table.routes} == {"open": True, "kept": False}
    assert all(route.is_idempotent and route.has_large_responses for route in table.routes)


@then("its relayed form contains the names of the customers and no key")
def then_relayed(context):
    update = CatalogUpdate(StorePosition(0, 1), True, [RoutesPublished(context.routes)])
    data = encode(update)
    assert b"zenith" in data and SECRET.encode() not in data


@then("a request has the priority of its customer, or of its route if the customer has none")
def then_priority(context):
    route, _ = route_table().routes
    for customer, expected in (
        (None, route.priority),
        (Customer(name="a", key_digests=()), route.priority),
        (Customer(name="a", key_digests=(), priority=0), 0),
    ):
        assert RouteMatch(route, 0.0, customer).priority == expected


@then("a catalog with {count:d} keys finds each by one look-up in a table")
def then_looked_up(context, count):
    catalog = Catalog()
    customers = _customers(*((f"c{i}", (f"key-{i}",)) for i in range(count)))
    catalog.apply([RoutesPublished(_table(customers))], now_ms=0.0)
    assert isinstance(catalog._customers_by_digest, dict)
    for number in (0, count // 2, count - 1):
        assert catalog.customer_with_key(f"key-{number}".encode()).name == f"c{number}"
    assert catalog.customer_with_key(b"key--1") is None
