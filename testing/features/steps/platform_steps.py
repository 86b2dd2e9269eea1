"""Steps for the platform client against the stand-in process."""

from __future__ import annotations

import time

import curio
import msgspec
from behave import given, then, when

from kingcupusher import _platform
from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._platform import KeyValueClient, PlatformError, VmListClient
from testing.platform_process import start_platform

VM = {"vm_id": "vm-1", "zone": "north", "service": "lookups", "address": "127.0.0.1:1"}
VALUE = bytes(1_000_000)


@given('a running platform where "{key}" has been written')
def given_platform(context, key):
    start_platform(context)
    assert curio.run(lambda: context.client.put("key", VALUE, expected_revision=0)) == 1


@given("a running platform with a VM list lag of {lag_ms} ms")
def given_lagging_platform(context, lag_ms):
    start_platform(context, "--vm-list-lag-ms", lag_ms)


@given("the faults {faults}")
def given_faults(context, faults):
    context.platform.control("PUT", "/faults", msgspec.json.decode(faults))


async def put_with_ended_lease(client):
    lease = await client.grant_lease(1_000)
    await client.revoke_lease(lease)
    await client.put("key", b"", expected_revision=1, lease_id=lease.lease_id)


async def renew_ended_lease(client):
    lease = await client.grant_lease(10)
    await curio.sleep(0.1)
    await client.renew_lease(lease)


CLOSED_PORT_CLIENT = KeyValueClient(Address("127.0.0.1", 1))
CALLS = {
    "get": lambda client: client.get("key"),
    "put": lambda client: client.put("key", VALUE, expected_revision=1),
    "put-stale-revision": lambda client: client.put("key", b"", expected_revision=0),
    "put-too-large": lambda client: client.put("key", VALUE + b"x", expected_revision=1),
    "put-ended-lease": put_with_ended_lease,
    "renew-ended-lease": renew_ended_lease,
    "put-closed-port": lambda _client: CLOSED_PORT_CLIENT.put("key", b"", expected_revision=0),
}


@when("the client calls {call}")
def when_client_calls(context, call):
    try:
        curio.run(CALLS[call], context.client)
    except PlatformError as error:
        context.error = error


@then("it raises {error}")
def then_raises(context, error):
    assert isinstance(context.error, getattr(_platform, error)), repr(context.error)


@then("the key has revision {revision:d}")
def then_revision(context, revision):
    time.sleep(0.4)
    context.platform.control("PUT", "/faults", {})
    assert curio.run(context.client.get, "key").revision == revision


@when(
    "a key is attached to a lease of {ttl_ms:d} ms that is renewed once while calls take"
    " {slow_ms:d} ms"
)
def when_attached(context, ttl_ms, slow_ms):
    async def attach_and_wait():
        lease = await context.client.grant_lease(ttl_ms)
        revision = await context.client.put(
            "members/1", b"", expected_revision=0, lease_id=lease.lease_id
        )
        await set_faults(context, {"slow_ms": slow_ms})
        lease = await context.client.renew_lease(lease)
        await set_faults(context, {})
        result = await context.client.watch("members/", after_revision=revision, timeout_ms=2_000)
        return lease.deadline_ms, now_ms(), result

    async def set_faults(context, faults):
        await context.platform.send("PUT", "/faults", msgspec.json.encode(faults))

    context.deadline_ms, context.removed_ms, context.result = curio.run(attach_and_wait)


@then("the key exists until the deadline and a watch reports its removal")
def then_removed(context):
    assert context.result.changed
    assert context.result.values == []
    assert context.deadline_ms <= context.removed_ms < context.deadline_ms + 500


@when("the store is rewound to before the write while a watch waits")
def when_rewound(context):
    async def watch():
        return await context.client.watch("key", after_revision=1, timeout_ms=5_000)

    async def rewind_during_watch():
        waiting = await curio.spawn(watch)
        await curio.sleep(0.2)
        body = msgspec.json.encode({"snapshot": 0})
        await context.platform.send("POST", "/rewind", body)
        return await waiting.join()

    context.platform.control("DELETE", "/counts")
    context.result = curio.run(rewind_during_watch)


@then("the watch returns a lower revision and no values")
def then_lower_revision(context):
    assert (context.result.revision, context.result.changed, context.result.values) == (0, True, [])


@then("the waiting watch counts as one call")
def then_one_call(context):
    assert context.platform.control("GET", "/counts") == {"total": 1, "by_operation": {"watch": 1}}


@when("a VM and another one with an invalid address are added")
def when_vm_added(context):
    context.platform.control("PUT", "/vms", [VM])
    context.platform.control("PUT", "/vms/vm-2", {**VM, "vm_id": "vm-2", "address": "host:1"})


@then("the VM list contains only the first one, and only after the lag")
def then_delayed(context):
    vm_list = VmListClient(context.platform.address)
    assert curio.run(vm_list.read) == []
    time.sleep(0.4)
    assert [record.vm_id for record in curio.run(vm_list.read)] == ["vm-1"]
