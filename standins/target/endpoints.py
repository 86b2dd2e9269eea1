"""Request dispatch of a target: probe endpoints, and all other paths as requests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from kingcupusher._core import Registry, now_ms
from standins.target.execution import Request, Response, execute, occupy_slot
from standins.target.simulated_server import SimulatedServer

Endpoint = Callable[[SimulatedServer, Request], Awaitable[Response]]

PROBE_ENDPOINTS: Registry[Endpoint] = Registry("probe")


async def handle_request(server: SimulatedServer, request: Request) -> Response:
    """Return the response to a probe or to a request that runs in a slot."""
    if request.path in PROBE_ENDPOINTS:
        await _occupy_slot_for_probe(server, request)
        return await PROBE_ENDPOINTS.get(request.path)(server, request)
    return await execute(server, request)


async def _occupy_slot_for_probe(server: SimulatedServer, request: Request) -> None:
    server.activity_log.counters.probes += 1
    server.activity_log.probes_ms.append(now_ms())
    await occupy_slot(server, request.connect_cost, work_ms=server.settings.probe_cost_ms)


@PROBE_ENDPOINTS.register("/health")
async def health(server: SimulatedServer, _request: Request) -> Response:
    """Return 200 for ``ok`` and 503 for any other state, which may be delayed or false."""
    text = server.reported_health()
    status = 200 if text == "ok" else 503
    return Response(status, f"{text}\n".encode(), load=server.reported_load())


@PROBE_ENDPOINTS.register("/load")
async def load(server: SimulatedServer, _request: Request) -> Response:
    """Return the value of ``X-Target-Load`` as the body, which may be delayed or false."""
    text = server.reported_load()
    return Response(200, f"{text}\n".encode(), load=text)
