"""HTTP interface of the control port of a target: faults, status and logs."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from msgspec import Struct

from kingcupusher._core import Registry
from kingcupusher._core.address import Address
from kingcupusher._core.registry import UnknownNameError
from kingcupusher._http.simple_client import Response
from kingcupusher._http.simple_server import Request, serve
from standins.target.activity_log import Counters, Execution
from standins.target.faults import FAULTS, FaultParameters
from standins.target.simulated_server import SimulatedServer

FAULT_PREFIX = "/faults/"


class Status(Struct, kw_only=True):
    """Current state of a target, and its counters."""

    address: str
    state: str
    boot_id: int
    running: int
    waiting: int
    connections: int
    counters: Counters


class ExecutionLog(Struct):
    """All executions since the start of the process."""

    executions: list[Execution]


class ProbeLog(Struct):
    """Times of all probes in milliseconds of the monotonic clock of the host."""

    probes_ms: list[float]


Report = Callable[[SimulatedServer], Struct]

REPORTS: Registry[Report] = Registry("control path")


@REPORTS.register("/status")
def status(server: SimulatedServer) -> Status:
    """Return the current state and the counters."""
    return Status(
        address=str(server.settings.address),
        state=server.state(),
        boot_id=server.boot_id,
        running=server.slots.running,
        waiting=server.slots.waiting,
        connections=server.connections,
        counters=server.activity_log.counters,
    )


@REPORTS.register("/executions")
def executions(server: SimulatedServer) -> ExecutionLog:
    """Return the execution log."""
    return ExecutionLog(server.activity_log.executions)


@REPORTS.register("/probes")
def probes(server: SimulatedServer) -> ProbeLog:
    """Return the times of the probes."""
    return ProbeLog(server.activity_log.probes_ms)


async def serve_control(address: Address, server: SimulatedServer) -> None:
    """Serve the control port until cancelled."""

    async def handle(request: Request) -> Response:
        try:
            if request.path.startswith(FAULT_PREFIX):
                return await _apply_fault(server, request)
            return _json(200, REPORTS.get(request.path)(server))
        except UnknownNameError as error:
            return Response(404, [], f"{error}\n".encode())
        except msgspec.MsgspecError as error:
            return Response(400, [], f"{error}\n".encode())

    await serve(address, handle)


async def _apply_fault(server: SimulatedServer, request: Request) -> Response:
    fault = FAULTS.get(request.path.removeprefix(FAULT_PREFIX))
    parameters = msgspec.json.decode(request.body or b"{}", type=FaultParameters)
    await fault(server, parameters)
    return _json(200, status(server))


def _json(code: int, value: Struct) -> Response:
    return Response(code, [(b"content-type", b"application/json")], msgspec.json.encode(value))
