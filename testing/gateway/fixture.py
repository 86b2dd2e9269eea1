"""Gateway with a raw caller and fake targets, in one process."""

from __future__ import annotations

import os

import curio
import h11
import msgspec

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._core.startup import listen
from kingcupusher._discovery import (
    CallerLimits,
    Catalog,
    Route,
    RoutesPublished,
    RouteTable,
    ServiceConfig,
    TargetRegistration,
    TargetSeen,
    WeightedService,
)
from kingcupusher._gateway import FleetLimits, GatewaySettings
from kingcupusher._gateway.exchange import Exchange
from kingcupusher._gateway.state import GatewayState
from kingcupusher._http.pipeline_limits import PipelineLimits
from kingcupusher._http.pipeline_listener import PipelineListener
from kingcupusher._observe.events import EventLog
from testing.gateway.plain_header_codec import PlainHeaderCodec
from testing.gateway.store import FakeStore
from testing.gateway.targets import HEALTH_PATH, FakeTarget

LOOPBACK = Address("127.0.0.1", 0)
BACKLOG = 64
PREFIXES = {"lookup": b"/lookup/", "transfer": b"/transfer/"}


def route_table(
    *,
    version=1,
    timeout_ms=1_500.0,
    max_targets=3,
    names=("lookup", "transfer"),
    max_connections=100,
):
    """Return a route table with an idempotent and a non-idempotent route to the service ``s``."""
    table = tuple(
        Route(
            name=name,
            host=b"h.example",
            prefix=PREFIXES[name],
            is_idempotent=name == "lookup",
            timeout_ms=timeout_ms,
            objective_ms=200.0,
            priority=1,
            max_targets=max_targets,
            parts=(WeightedService("s", 1.0),),
        )
        for name in names
    )
    policy = ServiceConfig(
        name="s",
        health_path=HEALTH_PATH,
        max_connections=max_connections,
        cold_start_ms=3_000.0,
        cold_requests_per_s=4.0,
    )
    return RouteTable(version=version, routes=table, services={"s": policy}, limits=CallerLimits())


def many_routes(count, *, version=1):
    """Return a route table with ``count`` routes of their own prefixes to the service ``s``."""
    table = route_table(version=version)
    routes = [
        msgspec.structs.replace(table.routes[0], name=f"r{i}", prefix=b"/r%d/" % i)
        for i in range(count)
    ]
    return msgspec.structs.replace(table, routes=tuple(routes))


def plain_registration(target_id="t0", *, zone="a", is_draining=False, born_unix_ms=5):
    """Return the registration of a target that need not exist."""
    return TargetRegistration(
        target_id=target_id,
        service="s",
        address=Address("127.0.0.1", 1),
        zone=zone,
        slots=3,
        is_draining=is_draining,
        cold_left_ms=0.0,
        born_unix_ms=born_unix_ms,
    )


def registration(target, *, zone="a", is_draining=False, born_unix_ms=1, cold_left_ms=0.0):
    """Return the registration of a fake target."""
    return TargetRegistration(
        target_id=target.target_id,
        service="s",
        address=target.address,
        zone=zone,
        slots=3,
        is_draining=is_draining,
        cold_left_ms=cold_left_ms,
        born_unix_ms=born_unix_ms,
    )


class GatewayFixture:
    """Starts targets and a gateway; :meth:`call` sends one raw request."""

    def __init__(
        self,
        behaviours,
        *,
        loads=(),
        table=None,
        fleet_limits=None,
        targets=(),
        response_memory_bytes=64_000_000,
        entries=("e1",),
        hedge_percent=0.0,
    ):
        self.targets = list(targets) or [
            FakeTarget(f"t{i}", behaviour, load=loads[i] if loads else "0,0,100,0")
            for i, behaviour in enumerate(behaviours)
        ]
        settings = GatewaySettings(
            entry="e1",
            zone="a",
            caller_address=LOOPBACK,
            readiness_address=LOOPBACK,
            metrics_address=LOOPBACK,
            relay_address=LOOPBACK,
            seeds=(),
            fleet_limits=fleet_limits or FleetLimits(retry_slack=320.0, probes_per_s=1_000_000.0),
            connection_limit=20,
            link_mbps=1_000.0,
            response_memory_bytes=response_memory_bytes,
            hedge_percent=hedge_percent,
        )
        self.log_reader, log_writer = os.pipe()
        self.catalog = Catalog()
        log = EventLog(descriptor=log_writer)
        self.store = FakeStore().client("e1")
        self.gateway = GatewayState(
            settings, self.catalog, PlainHeaderCodec(), log, store=self.store
        )
        self.table = table or route_table()
        self.entries = entries
        self.listener = None
        self.limits = PipelineLimits()
        self.closed = []

    async def __aenter__(self):
        for target in self.targets:
            await target.start()
        self.catalog.live_entries.mark_seen(self.entries, now_ms=now_ms())
        changes = [TargetSeen(registration(target)) for target in self.targets]
        self.catalog.apply([RoutesPublished(self.table), *changes], now_ms=now_ms())
        self.listener = PipelineListener(
            listen(LOOPBACK, backlog=BACKLOG),
            self._handle,
            limits=self.limits,
            on_closed=self.closed.append,
        )
        self._accepting = await curio.spawn(self.listener.run, daemon=True)
        return self

    async def __aexit__(self, *_):
        await self._accepting.cancel()
        await self.gateway.target_clients.close()
        for target in self.targets:
            await target.stop()

    async def _handle(self, caller):
        await Exchange(caller, self.gateway).run()

    async def stop_accepting(self):
        """End the task that accepts connections; open connections stay."""
        await self._accepting.cancel()

    async def connect(self):
        """Open a connection to the gateway."""
        return await curio.open_connection("127.0.0.1", self.listener.address.port)

    async def call(self, name, request_id="r1", **options):
        """Send one request on a new connection and return its status, headers and body."""
        sock = await self.connect()
        try:
            await sock.sendall(request_bytes(name, request_id, **options))
            (response,) = await read_responses(sock, 1)
            return response
        finally:
            await sock.close()

    def log_text(self):
        """Return the text of the log."""
        self.gateway.log.flush()
        return os.read(self.log_reader, 1_000_000).decode()


def request_bytes(name, request_id="r1", *, timeout_ms=1_500, host="h.example"):
    """Return the bytes of a request of the route ``name``."""
    method, body = ("POST", b"amount") if name == "transfer" else ("GET", b"")
    path = PREFIXES.get(name, b"/unknown/").decode()
    head = f"{method} {path}x HTTP/1.1\r\nhost: {host}\r\nx-id: {request_id}\r\n"
    head += f"x-timeout-ms: {timeout_ms}\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def read_responses(sock, count):
    """Return ``count`` responses as (status, headers, body)."""
    rest, responses = b"", []
    while len(responses) < count:
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
        parser.send(h11.EndOfMessage())
        if rest:
            parser.receive_data(rest)
        body = b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await sock.recv(65_536))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise AssertionError(f"connection ended: {event!r}")
        rest = parser.trailing_data[0]
        responses.append((head.status_code, dict(head.headers), body))
    return responses


def run_with_fixture(context, action):
    """Run ``action`` with a fixture that the steps of ``context`` have prepared."""

    async def main():
        async with GatewayFixture(context.behaviours, **context.options) as fixture:
            context.fixture = fixture
            for prepare in context.preparations:
                await prepare(fixture)
            async with curio.timeout_after(20):
                return await action(fixture)

    return curio.run(main)
