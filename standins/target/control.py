"""Control port of a target: faults in, observations out."""

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
from standins.target.machine import Machine

FAULT_PREFIX = "/faults/"


class Status(Struct, kw_only=True):
    """What a target reports about itself now, and its counters."""

    address: str
    state: str
    boot_id: int
    running: int
    waiting: int
    connections: int
    counters: Counters


class ExecutionLog(Struct):
    """All executions since the process started."""

    executions: list[Execution]


class ProbeLog(Struct):
    """The instants of all probes on the monotonic clock of the machine."""

    probes_ms: list[float]


Report = Callable[[Machine], Struct]

REPORTS: Registry[Report] = Registry("control path")


@REPORTS.register("/status")
def status(machine: Machine) -> Status:
    """Return the state and the counters."""
    return Status(
        address=str(machine.settings.address),
        state=machine.state(),
        boot_id=machine.boot_id,
        running=machine.slots.running,
        waiting=machine.slots.waiting,
        connections=machine.connections,
        counters=machine.ledger.counters,
    )


@REPORTS.register("/executions")
def executions(machine: Machine) -> ExecutionLog:
    """Return the executions."""
    return ExecutionLog(machine.ledger.executions)


@REPORTS.register("/probes")
def probes(machine: Machine) -> ProbeLog:
    """Return the instants of the probes."""
    return ProbeLog(machine.ledger.probes_ms)


async def serve_control(address: Address, machine: Machine) -> None:
    """Serve the control port until cancelled."""

    async def handle(request: Request) -> Response:
        try:
            if request.path.startswith(FAULT_PREFIX):
                return await _apply_fault(machine, request)
            return _json(200, REPORTS.get(request.path)(machine))
        except UnknownNameError as error:
            return Response(404, [], f"{error}\n".encode())
        except msgspec.MsgspecError as error:
            return Response(400, [], f"{error}\n".encode())

    await serve(address, handle)


async def _apply_fault(machine: Machine, request: Request) -> Response:
    fault = FAULTS.get(request.path.removeprefix(FAULT_PREFIX))
    order = msgspec.json.decode(request.body or b"{}", type=FaultParameters)
    await fault(machine, order)
    return _json(200, status(machine))


def _json(code: int, value: Struct) -> Response:
    return Response(code, [(b"content-type", b"application/json")], msgspec.json.encode(value))
