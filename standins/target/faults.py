"""Faults that the control interface applies to a target."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from msgspec import Struct

from kingcupusher._core import Registry, now_ms
from standins.target.simulated_server import Faults, SimulatedServer


class FaultParameters(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Parameters of a fault; each fault ignores those that it does not use."""

    on: bool = True
    factor: float = 10.0
    count: int = 1
    open_connections_only: bool = False
    health: str | None = None
    load: str | None = None


FaultHandler = Callable[[SimulatedServer, FaultParameters], Awaitable[None]]

FAULTS: Registry[FaultHandler] = Registry("fault")


@FAULTS.register("slow")
async def slow(server: SimulatedServer, parameters: FaultParameters) -> None:
    """Multiply the slot time of work that starts from now on by ``factor``."""
    server.faults.slow_factor = parameters.factor if parameters.on else 1.0


@FAULTS.register("silent")
async def silent(server: SimulatedServer, parameters: FaultParameters) -> None:
    """Send no responses: on all connections until switched off, or for good on the open ones."""
    if parameters.open_connections_only:
        server.first_responsive_connection = server.activity_log.counters.connections_opened + 1
    else:
        server.faults.silent = parameters.on


@FAULTS.register("die")
async def die(server: SimulatedServer, parameters: FaultParameters) -> None:
    """Truncate the body of each of the next ``count`` responses and close the connection."""
    server.faults.truncations_left = parameters.count


@FAULTS.register("fail-fast")
async def fail_fast(server: SimulatedServer, parameters: FaultParameters) -> None:
    """Respond to requests with status 500 at once, without running them."""
    server.faults.fail_fast = parameters.on


@FAULTS.register("cold")
async def cold(server: SimulatedServer, _parameters: FaultParameters) -> None:
    """Become cold without a restart."""
    server.cold_start.restart_warmup(at_ms=now_ms())
    server.record_state()


@FAULTS.register("restart")
async def restart(server: SimulatedServer, _parameters: FaultParameters) -> None:
    """Reset all connections and restart with a new boot id."""
    await server.restart_requested.set()


@FAULTS.register("drain")
async def drain(server: SimulatedServer, parameters: FaultParameters) -> None:
    """Refuse new requests and finish those in flight."""
    server.draining = parameters.on
    server.record_state()


@FAULTS.register("mislead")
async def mislead(server: SimulatedServer, parameters: FaultParameters) -> None:
    """Make ``/health`` and ``/load`` return the given texts."""
    server.faults.health_override = parameters.health
    server.faults.load_override = parameters.load


@FAULTS.register("clear")
async def clear(server: SimulatedServer, _parameters: FaultParameters) -> None:
    """Clear all faults except a restart, coldness, drain, and open connections made silent."""
    server.faults = Faults()
