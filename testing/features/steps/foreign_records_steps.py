"""Steps for records of other writers in the platform's store."""

from __future__ import annotations

import json
import os
from base64 import b64encode

import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._core.startup import listen
from kingcupusher._discovery import Catalog, RoutesPublished, StorePosition
from kingcupusher._entry.members import MEMBER_PREFIX, Member, decode_members, encode_record
from kingcupusher._gateway import FleetLimits, GatewaySettings
from kingcupusher._gateway.process import GatewayProcess
from kingcupusher._http.simple_client import Response
from kingcupusher._http.simple_server import serve
from kingcupusher._observe.events import EventLog
from kingcupusher._platform import VersionedValue
from kingcupusher._relay.messages import CatalogUpdate, decode, encode
from kingcupusher_platform.records import READER_PREFIX, decode_item, decode_removal
from kingcupusher_platform.store import StoreClient
from standins.ports import free_address
from testing.gateway.fixture import BACKLOG, LOOPBACK, route_table
from testing.gateway.plain_header_codec import PlainHeaderCodec
from testing.gateway.store import FakeStore, FakeStoreClient

TIMEOUT_MS = 2_000.0
START_DELAY_S = 0.05
DEPTH = 100_000
VALID = (
    '{"address": "10.0.0.1:80", "born": 1,'
    ' "info": {"service": "s", "version": "v", "zone": "z", "slots": 3},'
    ' "status": {"state": "ready", "sequence": 1, "coldLeftS": 0}}'
)


def _with(old, new):
    assert old in VALID
    return "servers/odd", VALID.replace(old, new).encode()


def _with_port(port):
    return _with("10.0.0.1:80", f"10.0.0.1{port}")


RECORDS = {
    "lists nested 100000 deep": _with('"ready"', "[" * DEPTH + "]" * DEPTH),
    "objects nested 100000 deep": _with('"ready"', '{"a":' * DEPTH + "1" + "}" * DEPTH),
    "a number of 400 digits": _with('"slots": 3', '"slots": 1' + "0" * 399),
    "a number of 31 digits": _with('"slots": 3', '"slots": 1' + "0" * 30),
    "the number 1e300": _with('"slots": 3', '"slots": 1e300'),
    "the number 1e400": _with('"slots": 3', '"slots": 1e400'),
    "a negative number": _with('"coldLeftS": 0', '"coldLeftS": -5'),
    "no slots": _with('"slots": 3', '"slots": 0'),
    "a birth of 5000 digits": _with('"born": 1', '"born": 1' + "0" * 4_999),
    "an endless cold start": _with('"coldLeftS": 0', '"coldLeftS": 1e308'),
    "port 70000": _with_port(":70000"),
    "port 0": _with_port(":0"),
    "port -1": _with_port(":-1"),
    "a port of 5000 digits": _with_port(":" + "9" * 5_000),
    "no port": _with_port(""),
    "a host name": _with("10.0.0.1:80", "localhost:80"),
    "a list as its state": _with('"ready"', "[]"),
    "an object as its state": _with('"ready"', "{}"),
    "an unknown state": _with('"ready"', '"resting"'),
    "another type of info": _with('"zone": "z"', '"zone": 5'),
    "a line break in its id": ("servers/odd\r\nx: y", VALID.encode()),
    "an id that is not ASCII": ("servers/öde", VALID.encode()),
    "an empty id": ("servers/", VALID.encode()),
    "a lone surrogate as its service": _with('"s"', '"\\ud800"'),
    "bytes that are not JSON": ("servers/odd", b"\xff\xfe\x00"),
    "no bytes": ("servers/odd", b""),
}


@given("a store with a valid registration and one with {fault}")
def given_store(context, fault):
    odd_key, odd_value = RECORDS[fault]
    records = [(odd_key, odd_value), ("servers/valid", VALID.encode())]
    items = [
        {"key": key, "value": b64encode(value).decode(), "revision": 2} for key, value in records
    ]
    content = {"items": items, "events": items, "hasMore": False, "asOf": 2}
    context.body = json.dumps(content).encode()


@when("an entry reads the store, and then its change")
def when_read(context):
    async def handle(_request):
        return Response(200, [], context.body)

    async def main():
        address = free_address()
        await curio.spawn(serve, address, handle, daemon=True)
        await curio.sleep(START_DELAY_S)
        client = StoreClient(
            address, on_problem=lambda event, **fields: context.problems.append((event, fields))
        )
        full = await client.read_all(timeout_ms=TIMEOUT_MS)
        changed = await client.wait_for_changes(
            after=StorePosition(0, 1), wait_ms=0.0, timeout_ms=TIMEOUT_MS
        )
        return [full, changed]

    context.problems = []
    context.batches = curio.run(main)


@then("it has the valid target only, and has logged the other record")
def then_valid_only(context):
    for batch in context.batches:
        catalog = Catalog()
        catalog.apply(batch.changes, now_ms=now_ms())
        assert sorted(catalog.targets) == ["valid"], sorted(catalog.targets)
    assert [event for event, _ in context.problems] == ["unreadable item"] * 2, context.problems
    # A long value must not fill the log.
    assert max(len(fields["reason"]) for _, fields in context.problems) <= 300


@then("the changes can be relayed to other entries")
def then_relayed(context):
    for batch in context.batches:
        message = CatalogUpdate(batch.position, True, batch.changes)
        assert decode(encode(message)) == message


@then("neither a reader slot {number} nor its removal changes anything")
def then_slot_ignored(context, number):
    del context
    problems = []
    key = READER_PREFIX + number
    decoded = decode_item(key, b"{}", lease=1, on_problem=lambda *_args, **f: problems.append(f))
    assert decoded is None and len(problems) == 1, (decoded, problems)
    assert decode_removal(key) is None


@then("members are read from records of which one is nested {depth:d} deep")
def then_members(context, depth):
    del context
    member = Member(3, 5, "vm", "a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
    nested = b'{"x":' + b"[" * depth + b"]" * depth + b"}"
    values = [
        VersionedValue(key=f"{MEMBER_PREFIX}{seat}", value=value, revision=1)
        for seat, value in ((2, nested), (3, encode_record(member)))
    ]
    assert decode_members(values) == {3: member}


class _FailingOnceClient(FakeStoreClient):
    """Raises an error that no caller expects, once."""

    has_failed = False

    async def read_all_stale(self, *, timeout_ms):
        if not self.has_failed:
            self.has_failed = True
            raise ValueError("an internal error of the client")
        return await super().read_all_stale(timeout_ms=timeout_ms)


@given("an entry whose store client raises an unexpected error once")
def given_failing_client(context):
    store = FakeStore()
    store.write("routes", RoutesPublished(route_table()))
    context.client = _FailingOnceClient(store, "e1")


@when("it runs for {duration_s:g} s")
def when_runs(context, duration_s):
    settings = GatewaySettings(
        entry="e1",
        zone="a",
        caller_address=LOOPBACK,
        readiness_address=free_address(),
        metrics_address=free_address(),
        relay_address=free_address(),
        fleet_limits=FleetLimits(retry_slack=0.0, probes_per_s=1.0),
        connection_limit=20,
        link_mbps=1_000.0,
        response_memory_bytes=1_000_000,
    )
    log_reader, log_writer = os.pipe()
    log = EventLog(descriptor=log_writer)

    async def main():
        process = GatewayProcess(
            settings,
            store=context.client,
            header_codec=PlainHeaderCodec(),
            log=log,
            reload_settings=lambda: settings,
            listen_socket=listen(LOOPBACK, backlog=BACKLOG),
        )
        task = await curio.spawn(process.run, daemon=True)
        await curio.sleep(duration_s)
        await task.cancel()

    curio.run(main)
    log.flush()
    context.events = [json.loads(line) for line in os.read(log_reader, 1_000_000).splitlines()]


@then("it has the routes, and has logged the failed task")
def then_task_restarted(context):
    names = [event["event"] for event in context.events]
    assert "routes in force" in names, names
    (failed,) = [event for event in context.events if event["event"] == "task failed"]
    assert "an internal error of the client" in failed["reason"], failed
