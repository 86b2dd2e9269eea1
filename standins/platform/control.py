"""HTTP interface of the control port: faults, snapshots, VM list and call counts."""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._http.simple_client import Response
from kingcupusher._http.simple_server import Handler, Request
from standins.platform.faults import Faults
from standins.platform.routes import ApiCall, BadRequestError, Routes, error_response, json_response
from standins.platform.state import Platform
from standins.platform.vms import Vm

routes: Routes[Platform] = Routes()


class SnapshotId(Struct, frozen=True):
    """Index of a snapshot, from 0."""

    snapshot: int


class CallCounts(Struct, frozen=True):
    """Numbers of calls since the start or the last reset."""

    total: int
    by_operation: dict[str, int]


def control_handler(platform: Platform) -> Handler:
    """Return the handler of the control port."""

    async def handle(request: Request) -> Response:
        match = routes.match(request)
        if match is None:
            return error_response(404, f"no route for {request.method} {request.path}")
        try:
            return await match.handler(platform, match.call)
        except BadRequestError as error:
            return error_response(400, str(error))

    return handle


@routes.add("PUT", "/faults", "faults")
async def _set_faults(platform: Platform, call: ApiCall) -> Response:
    platform.faults = call.decode_body(Faults)
    await platform.notify_change()
    return json_response(platform.faults)


@routes.add("GET", "/faults", "faults")
async def _get_faults(platform: Platform, _call: ApiCall) -> Response:
    return json_response(platform.faults)


@routes.add("POST", "/snapshots", "snapshot")
async def _snapshot(platform: Platform, _call: ApiCall) -> Response:
    platform.snapshots.append(platform.store.snapshot())
    return json_response(SnapshotId(len(platform.snapshots) - 1))


@routes.add("POST", "/rewind", "rewind")
async def _rewind(platform: Platform, call: ApiCall) -> Response:
    snapshot = call.decode_body(SnapshotId).snapshot
    if not 0 <= snapshot < len(platform.snapshots):
        raise BadRequestError(f"no snapshot {snapshot}; there are {len(platform.snapshots)}")
    platform.store.rewind(platform.snapshots[snapshot], now_ms=now_ms())
    await platform.notify_change()
    return json_response(SnapshotId(snapshot))


@routes.add("PUT", "/vms", "vms")
async def _set_vms(platform: Platform, call: ApiCall) -> Response:
    platform.vms.set(call.decode_body(list[Vm]), now_ms=now_ms())
    return json_response({})


@routes.add("PUT", "/vms/*", "vm")
async def _set_vm(platform: Platform, call: ApiCall) -> Response:
    changed = call.decode_body(Vm)
    if changed.vm_id != call.path_arg:
        raise BadRequestError(f"vm_id is {changed.vm_id!r} but the path names {call.path_arg!r}")
    platform.vms.set([*_other_vms(platform, call.path_arg), changed], now_ms=now_ms())
    return json_response({})


@routes.add("DELETE", "/vms/*", "vm")
async def _delete_vm(platform: Platform, call: ApiCall) -> Response:
    platform.vms.set(_other_vms(platform, call.path_arg), now_ms=now_ms())
    return json_response({})


def _other_vms(platform: Platform, vm_id: str) -> list[Vm]:
    return [vm for vm in platform.vms.latest() if vm.vm_id != vm_id]


@routes.add("GET", "/counts", "counts")
async def _counts(platform: Platform, _call: ApiCall) -> Response:
    return json_response(CallCounts(platform.call_counts.total(), dict(platform.call_counts)))


@routes.add("DELETE", "/counts", "counts")
async def _reset_counts(platform: Platform, _call: ApiCall) -> Response:
    platform.call_counts.clear()
    return json_response({})
