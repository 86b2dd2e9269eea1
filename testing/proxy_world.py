"""Scripted targets, a raw caller and a proxy between them, on loopback in one process."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass, field

import curio
import h11

from kingcupusher._config import NonIdempotentRule, RequestPolicy, Service, TargetLimits
from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.server_connection import ServerLimits
from kingcupusher._proxy import NO_TRACER, Proxy, StaticLoadBalancer, Tracer

LOOPBACK = Address("127.0.0.1", 0)
ATTEMPT_TIMEOUT_MS = 1_000
RESET_LINGER = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class ResponsePlan:
    """How a target responds to a request; the default is a complete response."""

    body: bytes = b"ok"
    status: int = 200
    chunked: bool = False
    headers: tuple[tuple[bytes, bytes], ...] = ()
    raw: bytes | None = None
    truncate_at: int | None = None
    reset: bool = False
    surplus: bytes = b""
    is_surplus_late: bool = False
    is_surplus_before_next: bool = False
    segment_bytes: int = 1 << 20
    silent: bool = False
    is_used_once: bool = False

    def encode(self) -> bytes:
        """Encode the response."""
        if self.raw is not None:
            return self.raw
        framing = b"transfer-encoding: chunked" if self.chunked else b"content-length: %d"
        lines = [b"HTTP/1.1 %d x" % self.status]
        lines += [b"%s: %s" % header for header in self.headers]
        if self.chunked:
            chunks = b"%x\r\n%s\r\n" % (len(self.body), self.body) if self.body else b""
            return b"\r\n".join([*lines, framing, b"", chunks + b"0\r\n\r\n"])
        return b"\r\n".join([*lines, framing % len(self.body), b"", self.body])


@dataclass(slots=True)
class ReceivedRequest:
    """A request that a target received, with the received part of its body."""

    method: bytes
    path: bytes
    headers: dict[bytes, bytes]
    body: bytes = b""
    is_complete: bool = False


@dataclass
class Target:
    """A target with a plan for each path; other paths get ``default``."""

    plans: dict[bytes, ResponsePlan] = field(default_factory=dict)
    default: ResponsePlan = field(default_factory=ResponsePlan)
    received: list[ReceivedRequest] = field(default_factory=list)
    closed_by_peer: int = 0
    connections: int = 0
    echoes_request_ids: bool = False
    pending_surplus: dict[object, bytes] = field(default_factory=dict)

    async def start(self) -> Address:
        """Listen on a port that the kernel selects."""
        self.sock = curio.tcp_server_socket("127.0.0.1", 0)
        self.surplus_requested, self.surplus_sent = curio.Event(), curio.Event()
        self.task = await curio.spawn(self._accept, daemon=True)
        return Address("127.0.0.1", self.sock.getsockname()[1])

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        await self.task.cancel()
        await self.sock.close()

    async def send_late_surplus(self) -> None:
        """Send the surplus bytes on the connection that delays them."""
        await self.surplus_requested.set()
        await self.surplus_sent.wait()
        self.surplus_requested.clear()
        self.surplus_sent.clear()

    async def _accept(self) -> None:
        async with curio.TaskGroup() as group:
            while True:
                client, _ = await self.sock.accept()
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.connections += 1
                await group.spawn(self._serve, client)

    async def _serve(self, client) -> None:
        http = h11.Connection(h11.SERVER)
        async with client:
            try:
                while await self._serve_request(client, http):
                    pass
            except (OSError, h11.RemoteProtocolError):
                self.closed_by_peer += 1

    async def _serve_request(self, client, http) -> bool:
        received = await self._read(client, http)
        if received is None:
            self.closed_by_peer += 1
            return False
        plan = self.plans.get(received.path, self.default)
        if plan.is_used_once:
            del self.plans[received.path]
        if plan.silent:
            await client.recv(1)
            self.closed_by_peer += 1
            return False
        if not await self._respond(client, plan, received) or not received.is_complete:
            return False
        http.send(h11.Response(status_code=200, headers=[(b"content-length", b"0")]))
        http.send(h11.EndOfMessage())
        http.start_next_cycle()
        return True

    async def _read(self, client, http):
        received = None
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await client.recv(65_536))
            elif type(event) is h11.Request:
                received = ReceivedRequest(event.method, event.target, dict(event.headers))
                self.received.append(received)
                if self.plans.get(received.path, self.default).headers == ((b"x-early", b"1"),):
                    return received
            elif type(event) is h11.Data:
                received.body += event.data
            elif type(event) is h11.EndOfMessage:
                received.is_complete = True
                return received
            else:
                return None

    async def _respond(self, client, plan, received) -> bool:
        data = self._encode(plan, received)[: plan.truncate_at]
        data = self.pending_surplus.pop(client, b"") + data
        if plan.is_surplus_before_next:
            self.pending_surplus[client] = plan.surplus
        elif not plan.is_surplus_late:
            data += plan.surplus
        for start in range(0, len(data), plan.segment_bytes):
            await client.sendall(data[start : start + plan.segment_bytes])
            await curio.sleep(0)
        if plan.is_surplus_late:
            await self.surplus_requested.wait()
            await client.sendall(plan.surplus)
            await self.surplus_sent.set()
        if plan.reset:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        return plan.truncate_at is None and not plan.reset

    def _encode(self, plan, received) -> bytes:
        data = plan.encode()
        if not self.echoes_request_ids or plan.raw is not None:
            return data
        status_line, _, rest = data.partition(b"\r\n")
        request_id = received.headers[b"x-request-id"]
        return b"\r\n".join([status_line, b"x-request-id: " + request_id, rest])


@dataclass(slots=True)
class Reply:
    """Response that a caller received; ``status`` is 0 if the connection closed before it."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    information: list[int] = field(default_factory=list)

    @property
    def outcome(self) -> bytes:
        """Value of ``X-Outcome``, empty if absent."""
        return self.headers.get(b"x-outcome", b"")


class Caller:
    """A caller that sends raw bytes and parses responses with h11."""

    def __init__(self, sock) -> None:
        self.sock = sock
        self.trailing_data = (b"", False)

    async def send(self, data: bytes, *, segment_bytes: int = 1 << 20) -> None:
        """Send ``data`` in segments; other tasks run in between."""
        for start in range(0, len(data), segment_bytes):
            await self.sock.sendall(data[start : start + segment_bytes])
            await curio.sleep(0)

    async def reply(self, method: str = "GET") -> Reply:
        """Receive a response; it is incomplete if the connection closes first."""
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method=method, target="/", headers=[("host", "x")]))
        http.send(h11.EndOfMessage())
        reply = Reply()
        try:
            await self._read_reply(http, reply)
        except (OSError, h11.RemoteProtocolError):
            reply.is_complete = False
        self.trailing_data = http.trailing_data
        return reply

    async def _read_reply(self, http, reply) -> None:
        data, closed = self.trailing_data
        if data:
            http.receive_data(data)
        if closed:
            http.receive_data(b"")
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await self.sock.recv(65_536))
            elif type(event) is h11.InformationalResponse:
                reply.information.append(event.status_code)
            elif type(event) is h11.Response:
                reply.status, reply.headers = event.status_code, dict(event.headers)
            elif type(event) is h11.Data:
                reply.body += event.data
            else:
                reply.is_complete = type(event) is h11.EndOfMessage
                return


@dataclass
class World:
    """A proxy with scripted targets and a load balancer over them."""

    targets: list[Target]
    timeout_ms: int = 5_000
    slots: int = 3
    queue_length: int = 64
    retries: int = 1_000
    limits: ServerLimits = field(default_factory=ServerLimits)
    down: frozenset[int] = frozenset()
    first_is_entry: bool = False
    tracer: Tracer = NO_TRACER

    def run(self, scenario):
        """Run the coroutine function ``scenario(world)`` and return its result."""
        return curio.run(self._main, scenario)

    async def _main(self, scenario):
        addresses = {f"t{i}": await target.start() for i, target in enumerate(self.targets)}
        entry = addresses.pop("t0") if self.first_is_entry else None
        for index in self.down:
            await self.targets[index].stop()
        self.load_balancer = StaticLoadBalancer(
            self._service(), addresses, retries=self.retries, entry=entry
        )
        self.proxy = Proxy(self.load_balancer, limits=self.limits, tracer=self.tracer)
        self.listener = self.proxy.listen(LOOPBACK)
        self.address = self.listener.address
        self.serving = await curio.spawn(self.proxy.run, self.listener)
        result = await curio.timeout_after(20, scenario, self)
        await self.proxy.drain(deadline_ms=now_ms(), grace_ms=0)
        await self.serving.join()
        assert all(count == 0 for count in self.load_balancer.in_flight.values())
        for pool in self.load_balancer._pools.values():
            assert pool.open_count == len(pool._idle), "a connection was not released"
        await self.load_balancer.close()
        for index, target in enumerate(self.targets):
            if index not in self.down:
                await target.stop()
        return result

    def _service(self) -> Service:
        return Service(
            name="transfers",
            team="tests",
            hosts=["svc"],
            target=TargetLimits(slots=self.slots),
            request=RequestPolicy(
                timeout_ms=self.timeout_ms,
                attempt_timeout_ms=ATTEMPT_TIMEOUT_MS,
                queue_length=self.queue_length,
            ),
            non_idempotent=[NonIdempotentRule(method="POST", path="/once")],
        )

    async def connect(self) -> Caller:
        """Connect to the proxy."""
        return Caller(await curio.open_connection(*self.address))

    async def call(self, data: bytes, method: str = "GET") -> Reply:
        """Send one request on a new connection and return the reply."""
        caller = await self.connect()
        async with caller.sock:
            await caller.send(data)
            return await caller.reply(method)


def request(path: str, *, method: str = "GET", headers: str = "", body: bytes = b"") -> bytes:
    """Encode a request; one with a body has a ``Content-Length``."""
    length = f"content-length: {len(body)}\r\n" if body else ""
    return f"{method} {path} HTTP/1.1\r\nhost: svc\r\n{headers}{length}\r\n".encode() + body
