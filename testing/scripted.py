"""A scripted target, a raw caller and a proxy between them, all on loopback in one process."""

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
RESET = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class Plan:
    """How a target responds to one request; the default is a complete response."""

    body: bytes = b"ok"
    status: int = 200
    chunked: bool = False
    headers: tuple[tuple[bytes, bytes], ...] = ()
    raw: bytes | None = None
    cut_at: int | None = None
    reset: bool = False
    surplus: bytes = b""
    is_surplus_late: bool = False
    segment_bytes: int = 1 << 20
    silent: bool = False
    is_once: bool = False

    def wire(self) -> bytes:
        """Return the bytes of the whole response."""
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
class Seen:
    """A request that a target received, with as much of its body as came."""

    method: bytes
    path: bytes
    headers: dict[bytes, bytes]
    body: bytes = b""
    is_whole: bool = False


@dataclass
class Target:
    """A target that follows the plan for each path; other paths get ``default``."""

    plans: dict[bytes, Plan] = field(default_factory=dict)
    default: Plan = field(default_factory=Plan)
    seen: list[Seen] = field(default_factory=list)
    closed_by_peer: int = 0
    connections: int = 0

    async def start(self) -> Address:
        """Listen on a port that the system chooses."""
        self.sock = curio.tcp_server_socket("127.0.0.1", 0)
        self.surplus_wanted, self.surplus_sent = curio.Event(), curio.Event()
        self.task = await curio.spawn(self._accept, daemon=True)
        return Address("127.0.0.1", self.sock.getsockname()[1])

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        await self.task.cancel()
        await self.sock.close()

    async def send_late_surplus(self) -> None:
        """Let the connection that waits for it send its surplus bytes."""
        await self.surplus_wanted.set()
        await self.surplus_sent.wait()
        self.surplus_wanted.clear()
        self.surplus_sent.clear()

    async def _accept(self) -> None:
        async with curio.TaskGroup() as group:
            while True:
                client, _ = await self.sock.accept()
                self.connections += 1
                await group.spawn(self._serve, client)

    async def _serve(self, client) -> None:
        http = h11.Connection(h11.SERVER)
        async with client:
            try:
                while await self._one_request(client, http):
                    pass
            except (OSError, h11.RemoteProtocolError):
                self.closed_by_peer += 1

    async def _one_request(self, client, http) -> bool:
        seen = await self._read(client, http)
        if seen is None:
            self.closed_by_peer += 1
            return False
        plan = self.plans.get(seen.path, self.default)
        if plan.is_once:
            del self.plans[seen.path]
        if plan.silent:
            await client.recv(1)
            self.closed_by_peer += 1
            return False
        if not await self._respond(client, plan) or not seen.is_whole:
            return False
        http.send(h11.Response(status_code=200, headers=[(b"content-length", b"0")]))
        http.send(h11.EndOfMessage())
        http.start_next_cycle()
        return True

    async def _read(self, client, http):
        seen = None
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await client.recv(65_536))
            elif type(event) is h11.Request:
                seen = Seen(event.method, event.target, dict(event.headers))
                self.seen.append(seen)
                if self.plans.get(seen.path, self.default).headers == ((b"x-early", b"1"),):
                    return seen
            elif type(event) is h11.Data:
                seen.body += event.data
            elif type(event) is h11.EndOfMessage:
                seen.is_whole = True
                return seen
            else:
                return None

    async def _respond(self, client, plan) -> bool:
        data = plan.wire()[: plan.cut_at]
        if not plan.is_surplus_late:
            data += plan.surplus
        for start in range(0, len(data), plan.segment_bytes):
            await client.sendall(data[start : start + plan.segment_bytes])
            await curio.sleep(0)
        if plan.is_surplus_late:
            await self.surplus_wanted.wait()
            await client.sendall(plan.surplus)
            await self.surplus_sent.set()
        if plan.reset:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        return plan.cut_at is None and not plan.reset


@dataclass(slots=True)
class Reply:
    """What a caller got for one request; ``status`` is 0 for a broken connection."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    information: list[int] = field(default_factory=list)

    @property
    def outcome(self) -> bytes:
        """The value of ``X-Outcome``."""
        return self.headers.get(b"x-outcome", b"")


class Caller:
    """A caller that writes raw bytes and parses responses with h11."""

    def __init__(self, sock) -> None:
        self.sock = sock
        self.buffered = (b"", False)

    async def send(self, data: bytes, *, segment_bytes: int = 1 << 20) -> None:
        """Write ``data`` in segments, letting other tasks run in between."""
        for start in range(0, len(data), segment_bytes):
            await self.sock.sendall(data[start : start + segment_bytes])
            await curio.sleep(0)

    async def reply(self, method: str = "GET") -> Reply:
        """Read one response; a connection that breaks first gives an incomplete reply."""
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method=method, target="/", headers=[("host", "x")]))
        http.send(h11.EndOfMessage())
        reply = Reply()
        try:
            await self._read_reply(http, reply)
        except (OSError, h11.RemoteProtocolError):
            reply.is_complete = False
        self.buffered = http.trailing_data
        return reply

    async def _read_reply(self, http, reply) -> None:
        data, closed = self.buffered
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
    """Targets, directory, proxy and the means to call it."""

    targets: list[Target]
    timeout_ms: int = 5_000
    slots: int = 3
    queue_length: int = 64
    retries: int = 1_000
    limits: ServerLimits = field(default_factory=ServerLimits)
    down: frozenset[int] = frozenset()
    with_entry: bool = False
    tracer: Tracer = NO_TRACER

    def run(self, scenario):
        """Run the coroutine function ``scenario(world)`` and return its result."""
        return curio.run(self._main, scenario)

    async def _main(self, scenario):
        addresses = {f"t{i}": await target.start() for i, target in enumerate(self.targets)}
        entry = addresses.pop("t0") if self.with_entry else None
        for index in self.down:
            await self.targets[index].stop()
        self.directory = StaticLoadBalancer(
            self._service(), addresses, retries=self.retries, entry=entry
        )
        self.proxy = Proxy(self.directory, limits=self.limits, tracer=self.tracer)
        self.listener = self.proxy.listen(LOOPBACK)
        self.address = self.listener.address
        self.serving = await curio.spawn(self.proxy.run, self.listener)
        result = await curio.timeout_after(20, scenario, self)
        await self.proxy.drain(deadline_ms=now_ms(), grace_ms=0)
        await self.serving.join()
        assert all(count == 0 for count in self.directory.in_flight.values())
        for pool in self.directory._pools.values():
            assert pool.open_count == len(pool._idle), "a connection was not given back"
        await self.directory.close()
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

    async def caller(self) -> Caller:
        """Connect to the proxy."""
        return Caller(await curio.open_connection(*self.address))

    async def call(self, data: bytes, method: str = "GET") -> Reply:
        """Send one request on a new connection and return the reply."""
        caller = await self.caller()
        async with caller.sock:
            await caller.send(data)
            return await caller.reply(method)


def request(path: str, *, method: str = "GET", headers: str = "", body: bytes = b"") -> bytes:
    """Return the bytes of a request with a length."""
    length = f"content-length: {len(body)}\r\n" if body else ""
    return f"{method} {path} HTTP/1.1\r\nhost: svc\r\n{headers}{length}\r\n".encode() + body
