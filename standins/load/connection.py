"""Persistent connections from a caller to one entry."""

from __future__ import annotations

import socket

import curio
import h11

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.tcp import connect
from standins import content
from standins.load.errors import NoResponseError, NotSentError, TruncatedError
from standins.load.outcome import CompleteResponse
from standins.load.plan import PlannedRequest

RECEIVE_BYTES = 65_536
BOTH_DONE = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}


class CallerConnection:
    """One connection, which sends requests one after the other."""

    __slots__ = ("_http", "_sock", "used")

    def __init__(self, sock: curio.io.Socket) -> None:
        self._sock = sock
        self._http = h11.Connection(h11.CLIENT)
        self.used = False

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can send another request."""
        return self._http.our_state is h11.IDLE

    def is_stale(self) -> bool:
        """Return whether the peer has closed the idle connection or sent bytes on it."""
        try:
            with self._sock.blocking() as raw:
                raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()

    async def exchange(self, head: h11.Request, body: bytes) -> CompleteResponse:
        """Send a request and return its response; raise a ``LoadError`` if it is incomplete."""
        self.used = True
        data = self._http.send(head) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        try:
            await self._sock.sendall(data)
        except OSError as error:
            raise NoResponseError(f"sending failed: {error}") from error
        response = await self._receive()
        if self._http.states == BOTH_DONE:
            self._http.start_next_cycle()
        return response

    async def _receive(self) -> CompleteResponse:
        response: h11.Response | None = None
        body = bytearray()
        while True:
            event = await self._next_event(started=response is not None)
            if isinstance(event, h11.Response):
                response = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and response is not None:
                return CompleteResponse(response.status_code, dict(response.headers), bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise NoResponseError("connection closed before the response")

    async def _next_event(
        self, *, started: bool
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._http.receive_data(await self._sock.recv(RECEIVE_BYTES))
        except (OSError, h11.RemoteProtocolError) as error:
            error_type = TruncatedError if started else NoResponseError
            raise error_type(f"response failed: {error}") from error


class ConnectionPool:
    """Idle connections to one entry, reused in last-in first-out order."""

    __slots__ = ("_idle", "address", "opened")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.opened = 0
        self._idle: list[CallerConnection] = []

    async def acquire(self, *, deadline_ms: float) -> CallerConnection:
        """Return an idle or a new connection; raise :class:`NotSentError` if connecting fails."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_stale():
                return connection
            await connection.close()
        return await self._open(deadline_ms)

    async def release(self, connection: CallerConnection) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            await connection.close()

    async def _open(self, deadline_ms: float) -> CallerConnection:
        remaining_s = max(0.0, deadline_ms - now_ms()) / 1000.0
        try:
            async with curio.timeout_after(remaining_s):
                sock = await connect(self.address)
        except (OSError, curio.TaskTimeout) as error:
            raise NotSentError(f"cannot connect to {self.address}: {error}") from error
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.opened += 1
        return CallerConnection(sock)


def request_head(planned: PlannedRequest, *, host: str, timeout_ms: float) -> h11.Request:
    """Return the request line and header fields of a planned request."""
    method, path = ("GET", "/items/") if planned.idempotent else ("POST", "/orders/")
    headers = [
        (b"host", host.encode("ascii")),
        (b"x-request-timeout-ms", b"%d" % timeout_ms),
        (content.REQUEST_ID_HEADER, planned.request_id.encode("ascii")),
        (content.SERVICE_TIME_MS_HEADER, b"%.3f" % planned.service_time_ms),
        (content.RESPONSE_BYTES_HEADER, b"%d" % planned.response_bytes),
    ]
    if not planned.idempotent:
        headers.append((b"x-idempotent", b"false"))
        headers.append((b"content-length", b"%d" % len(planned.body)))
    return h11.Request(method=method, target=path + planned.request_id, headers=headers)
