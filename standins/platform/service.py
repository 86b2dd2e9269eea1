"""HTTP interface of the key-value service and the VM list."""

from __future__ import annotations

from typing import Annotated

import curio
from msgspec import Meta, Struct

from kingcupusher._core import now_ms
from kingcupusher._http.simple_client import Response
from kingcupusher._http.simple_server import Handler, Request
from standins.platform.faults import Outage
from standins.platform.routes import (
    BadRequestError,
    Call,
    Match,
    Routes,
    error_response,
    json_response,
)
from standins.platform.state import Platform
from standins.platform.store import (
    Entry,
    RevisionMismatchError,
    StoreError,
    UnknownLeaseError,
    ValueTooLargeError,
)

routes: Routes[Platform] = Routes()

STATUS_OF_REFUSAL: dict[type[StoreError], int] = {
    RevisionMismatchError: 409,
    UnknownLeaseError: 410,
    ValueTooLargeError: 413,
}


class PutBody(Struct, frozen=True):
    """Body of a put; ``value`` is base64 in JSON."""

    value: bytes
    expected_revision: int
    lease_id: str | None = None


class GrantBody(Struct, frozen=True):
    """Body of a lease grant."""

    ttl_ms: Annotated[int, Meta(ge=1)]


class Revision(Struct, frozen=True):
    """Response of a write."""

    revision: int


class LeaseGranted(Struct, frozen=True):
    """Response of a lease grant or renewal."""

    lease_id: str
    ttl_ms: int


class WatchBody(Struct, frozen=True):
    """Response of a watch: the last revision under the prefix and, if it changed, all entries."""

    revision: int
    changed: bool
    entries: list[Entry]


def key_value_handler(platform: Platform) -> Handler:
    """Return the handler of the key-value service and the VM list."""

    async def handle(request: Request) -> Response:
        match = routes.match(request)
        if match is None:
            platform.counts["unknown"] += 1
            return error_response(404, f"no route for {request.method} {request.path}")
        platform.counts[match.operation] += 1
        return await _run(platform, match)

    return handle


async def _run(platform: Platform, match: Match[Platform]) -> Response:
    half_delay_s = platform.faults.slow_ms / 2000.0
    await curio.sleep(half_delay_s)
    response = await _respond(platform, match)
    await curio.sleep(half_delay_s)
    return response


async def _respond(platform: Platform, match: Match[Platform]) -> Response:
    await platform.expire_leases()
    try:
        await _fail_in_outage(platform)
        return await match.route(platform, match.call)
    except StoreError as error:
        return error_response(STATUS_OF_REFUSAL[type(error)], str(error))
    except BadRequestError as error:
        return error_response(400, str(error))
    except _RefusedError:
        return error_response(503, "outage")


class _RefusedError(Exception):
    """Raised to respond with 503 during an outage."""


async def _fail_in_outage(platform: Platform) -> None:
    if platform.faults.outage is Outage.REFUSE:
        raise _RefusedError
    if platform.faults.outage is Outage.SILENT:
        while platform.faults.outage is Outage.SILENT:
            await platform.wait_for_change()
        raise ConnectionAbortedError("silent outage")


@routes.add("GET", "/v1/keys/*", "get")
async def _get(platform: Platform, call: Call) -> Response:
    entry = platform.store.get(call.name)
    return json_response(entry) if entry else error_response(404, f"no key {call.name}")


@routes.add("GET", "/v1/keys", "list")
async def _list(platform: Platform, call: Call) -> Response:
    return json_response(platform.store.list(call.query.get("prefix", "")))


@routes.add("PUT", "/v1/keys/*", "put")
async def _put(platform: Platform, call: Call) -> Response:
    body = call.json(PutBody)
    revision = platform.store.put(
        call.name, body.value, expected_revision=body.expected_revision, lease_id=body.lease_id
    )
    await platform.notify()
    if platform.faults.take_drop():
        raise ConnectionAbortedError("response dropped")
    return json_response(Revision(revision))


@routes.add("DELETE", "/v1/keys/*", "delete")
async def _delete(platform: Platform, call: Call) -> Response:
    expected = call.number("expected_revision")
    revision = platform.store.delete(call.name, expected_revision=expected)
    await platform.notify()
    return json_response(Revision(revision))


@routes.add("POST", "/v1/leases", "grant_lease")
async def _grant_lease(platform: Platform, call: Call) -> Response:
    ttl_ms = call.json(GrantBody).ttl_ms
    return json_response(LeaseGranted(platform.store.grant_lease(ttl_ms, now_ms=now_ms()), ttl_ms))


@routes.add("PUT", "/v1/leases/*", "renew_lease")
async def _renew_lease(platform: Platform, call: Call) -> Response:
    ttl_ms = platform.store.renew_lease(call.name, now_ms=now_ms())
    return json_response(LeaseGranted(call.name, ttl_ms))


@routes.add("DELETE", "/v1/leases/*", "revoke_lease")
async def _revoke_lease(platform: Platform, call: Call) -> Response:
    platform.store.revoke_lease(call.name)
    await platform.notify()
    return json_response({})


@routes.add("GET", "/v1/watch", "watch")
async def _watch(platform: Platform, call: Call) -> Response:
    prefix = call.query.get("prefix", "")
    known = call.number("after_revision")
    async with curio.ignore_after(call.number("timeout_ms") / 1000.0):
        while platform.store.prefix_revision(prefix) == known:
            await platform.wait_for_change()
            await _fail_in_outage(platform)
    revision = platform.store.prefix_revision(prefix)
    changed = revision != known
    return json_response(
        WatchBody(revision, changed, platform.store.list(prefix) if changed else [])
    )


@routes.add("GET", "/v1/vms", "vm_list")
async def _vms(platform: Platform, _call: Call) -> Response:
    return json_response(platform.vms.visible(now_ms=now_ms()))
