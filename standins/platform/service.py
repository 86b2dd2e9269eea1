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
    ApiCall,
    BadRequestError,
    RouteMatch,
    Routes,
    error_response,
    json_response,
)
from standins.platform.state import Platform
from standins.platform.store import (
    KeyValue,
    RevisionMismatchError,
    StoreError,
    UnknownLeaseError,
    ValueTooLargeError,
)

routes: Routes[Platform] = Routes()

STATUS_BY_STORE_ERROR: dict[type[StoreError], int] = {
    RevisionMismatchError: 409,
    UnknownLeaseError: 410,
    ValueTooLargeError: 413,
}


class PutRequest(Struct, frozen=True):
    """Body of a put; ``value`` is base64 in JSON."""

    value: bytes
    expected_revision: int
    lease_id: str | None = None


class GrantLeaseRequest(Struct, frozen=True):
    """Body of a lease grant."""

    ttl_ms: Annotated[int, Meta(ge=1)]


class WriteResponse(Struct, frozen=True):
    """Response of a write."""

    revision: int


class LeaseResponse(Struct, frozen=True):
    """Response of a lease grant or renewal."""

    lease_id: str
    ttl_ms: int


class WatchResponse(Struct, frozen=True):
    """Response of a watch: the last revision under the prefix and, if it changed, all keys."""

    revision: int
    changed: bool
    entries: list[KeyValue]


def key_value_handler(platform: Platform) -> Handler:
    """Return the handler of the key-value service and the VM list."""

    async def handle(request: Request) -> Response:
        match = routes.match(request)
        if match is None:
            platform.call_counts["unknown"] += 1
            return error_response(404, f"no route for {request.method} {request.path}")
        platform.call_counts[match.operation] += 1
        return await _respond_after_delay(platform, match)

    return handle


async def _respond_after_delay(platform: Platform, match: RouteMatch[Platform]) -> Response:
    half_delay_s = platform.faults.slow_ms / 2000.0
    await curio.sleep(half_delay_s)
    response = await _respond(platform, match)
    await curio.sleep(half_delay_s)
    return response


async def _respond(platform: Platform, match: RouteMatch[Platform]) -> Response:
    await platform.expire_leases()
    try:
        await _fail_during_outage(platform)
        return await match.handler(platform, match.call)
    except StoreError as error:
        return error_response(STATUS_BY_STORE_ERROR[type(error)], str(error))
    except BadRequestError as error:
        return error_response(400, str(error))
    except _UnavailableError:
        return error_response(503, "outage")


class _UnavailableError(Exception):
    """Raised during an outage that responds with status 503."""


async def _fail_during_outage(platform: Platform) -> None:
    if platform.faults.outage is Outage.REFUSE:
        raise _UnavailableError
    if platform.faults.outage is Outage.SILENT:
        while platform.faults.outage is Outage.SILENT:
            await platform.wait_for_change()
        raise ConnectionAbortedError("silent outage")


@routes.add("GET", "/v1/keys/*", "get")
async def _get(platform: Platform, call: ApiCall) -> Response:
    item = platform.store.get(call.path_arg)
    return json_response(item) if item else error_response(404, f"no key {call.path_arg}")


@routes.add("GET", "/v1/keys", "list")
async def _list(platform: Platform, call: ApiCall) -> Response:
    return json_response(platform.store.list(call.query.get("prefix", "")))


@routes.add("PUT", "/v1/keys/*", "put")
async def _put(platform: Platform, call: ApiCall) -> Response:
    body = call.decode_body(PutRequest)
    revision = platform.store.put(
        call.path_arg, body.value, expected_revision=body.expected_revision, lease_id=body.lease_id
    )
    await platform.notify_change()
    if platform.faults.take_put_response_drop():
        raise ConnectionAbortedError("response dropped")
    return json_response(WriteResponse(revision))


@routes.add("DELETE", "/v1/keys/*", "delete")
async def _delete(platform: Platform, call: ApiCall) -> Response:
    expected = call.int_parameter("expected_revision")
    revision = platform.store.delete(call.path_arg, expected_revision=expected)
    await platform.notify_change()
    return json_response(WriteResponse(revision))


@routes.add("POST", "/v1/leases", "grant_lease")
async def _grant_lease(platform: Platform, call: ApiCall) -> Response:
    ttl_ms = call.decode_body(GrantLeaseRequest).ttl_ms
    return json_response(LeaseResponse(platform.store.grant_lease(ttl_ms, now_ms=now_ms()), ttl_ms))


@routes.add("PUT", "/v1/leases/*", "renew_lease")
async def _renew_lease(platform: Platform, call: ApiCall) -> Response:
    ttl_ms = platform.store.renew_lease(call.path_arg, now_ms=now_ms())
    return json_response(LeaseResponse(call.path_arg, ttl_ms))


@routes.add("DELETE", "/v1/leases/*", "revoke_lease")
async def _revoke_lease(platform: Platform, call: ApiCall) -> Response:
    platform.store.revoke_lease(call.path_arg)
    await platform.notify_change()
    return json_response({})


@routes.add("GET", "/v1/watch", "watch")
async def _watch(platform: Platform, call: ApiCall) -> Response:
    prefix = call.query.get("prefix", "")
    known = call.int_parameter("after_revision")
    async with curio.ignore_after(call.int_parameter("timeout_ms") / 1000.0):
        while platform.store.prefix_revision(prefix) == known:
            await platform.wait_for_change()
            await _fail_during_outage(platform)
    revision = platform.store.prefix_revision(prefix)
    changed = revision != known
    return json_response(
        WatchResponse(revision, changed, platform.store.list(prefix) if changed else [])
    )


@routes.add("GET", "/v1/vms", "vm_list")
async def _vms(platform: Platform, _call: ApiCall) -> Response:
    return json_response(platform.vms.visible(now_ms=now_ms()))
