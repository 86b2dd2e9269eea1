"""Faults that the control port switches on and off."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from msgspec import Struct

from kingcupusher._core import Registry, now_ms
from standins.target.machine import Faults, Machine


class FaultParameters(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Parameters of a fault; each fault reads the ones it needs."""

    on: bool = True
    factor: float = 10.0
    count: int = 1
    open_connections_only: bool = False
    health: str | None = None
    load: str | None = None


Fault = Callable[[Machine, FaultParameters], Awaitable[None]]

FAULTS: Registry[Fault] = Registry("fault")


@FAULTS.register("slow")
async def slow(machine: Machine, order: FaultParameters) -> None:
    """Multiply the slot time of work that starts from now on."""
    machine.faults.slow_factor = order.factor if order.on else 1.0


@FAULTS.register("silent")
async def silent(machine: Machine, order: FaultParameters) -> None:
    """Stop answering: on all connections until switched off, or for good on the open ones."""
    if order.open_connections_only:
        machine.silence_before = machine.ledger.counters.connections_opened + 1
    else:
        machine.faults.silent = order.on


@FAULTS.register("die")
async def die(machine: Machine, order: FaultParameters) -> None:
    """Close the connection in the middle of each of the next ``count`` responses."""
    machine.faults.deaths_left = order.count


@FAULTS.register("fail-fast")
async def fail_fast(machine: Machine, order: FaultParameters) -> None:
    """Respond 500 at once without running requests."""
    machine.faults.fail_fast = order.on


@FAULTS.register("cold")
async def cold(machine: Machine, _order: FaultParameters) -> None:
    """Turn cold without a restart."""
    machine.warmth.turn_cold(at_ms=now_ms())
    machine.note_change()


@FAULTS.register("restart")
async def restart(machine: Machine, _order: FaultParameters) -> None:
    """Reset all connections and come back with a new boot id."""
    await machine.restart.set()


@FAULTS.register("drain")
async def drain(machine: Machine, order: FaultParameters) -> None:
    """Refuse new work and finish the work in flight."""
    machine.draining = order.on
    machine.note_change()


@FAULTS.register("mislead")
async def mislead(machine: Machine, order: FaultParameters) -> None:
    """Make ``/health`` and ``/load`` say the given texts."""
    machine.faults.health_lie = order.health
    machine.faults.load_lie = order.load


@FAULTS.register("clear")
async def clear(machine: Machine, _order: FaultParameters) -> None:
    """Remove all faults except a restart under way, coldness and silence of old connections."""
    machine.faults = Faults()
