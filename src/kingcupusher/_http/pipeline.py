"""Server side of HTTP/1.1 connections whose pipelined requests are handled at the same time."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress

import curio
import h11
from curio.traps import _read_wait
from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._http.caller_input import (
    CONTINUE,
    END,
    NEVER_MS,
    READ_BYTES,
    next_event,
    request_head,
)
from kingcupusher._http.errors import BadRequestError, CallerGoneError
from kingcupusher._http.heads import HeaderList, RequestHead, trusted_headers
from kingcupusher._http.sending import send_all

MAX_PIPELINED = 16
LINGER_MS = 500.0
"""A caller gets this long to close first; closing with unread input would reset its response."""
WRITE_MS = 5_000.0
"""A caller that does not take its response for this long is cut."""


class PipelineLimits(Struct, kw_only=True):
    """Bounds on what one connection may hold and for how long; they may change while it lives."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    head_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class CallerRequest:
    """One whole request and the place of its response on the connection."""

    __slots__ = ("_answered", "_connection", "_http", "body", "head", "received_ms", "task")

    def __init__(
        self,
        connection: PipelinedConnection,
        http: h11.Connection,
        head: RequestHead,
        body: bytes,
        received_ms: float,
    ) -> None:
        self._connection = connection
        self._http = http
        self._answered = curio.Event()
        self.head = head
        self.body = body
        self.received_ms = received_ms
        self.task: curio.Task | None = None

    @property
    def is_answered(self) -> bool:
        """Whether the response was written."""
        return bool(self._answered.is_set())

    async def wait_for_earlier_responses(self) -> None:
        """Wait until all earlier requests of the connection were answered."""
        await self._connection.wait_turn(self)

    async def respond(self, status: int, headers: HeaderList, body: bytes, reason: bytes) -> None:
        """Write the whole response when those of all earlier requests were written."""
        await self._connection.wait_turn(self)
        data = self._encode(status, headers, body, reason)
        await self._connection.write(data)
        await self._answered.set()
        await self._connection.on_answered(self)

    def _encode(self, status: int, headers: HeaderList, body: bytes, reason: bytes) -> bytes:
        if self._connection.closes_after(self) or self._http.their_state is h11.MUST_CLOSE:
            headers = [*headers, (b"connection", b"close")]
        head = h11.Response(status_code=status, headers=trusted_headers(headers), reason=reason)
        data = self._http.send(head) or b""
        if body and self.head.method != b"HEAD":
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(END) or b""
        return data

    @property
    def ends_connection(self) -> bool:
        """Whether no request may follow the response."""
        return self._http.our_state is not h11.DONE


RequestHandler = Callable[[CallerRequest], Awaitable[None]]


class PipelinedConnection:
    """One accepted connection: reads requests ahead and writes their responses in order.

    h11 does not read past a request that is not answered, so each request gets a parser of its
    own that starts with the bytes behind the request before it.
    """

    __slots__ = (
        "_handler",
        "_has_room",
        "_is_closing",
        "_limits",
        "_pending",
        "_sock",
        "_turn",
        "deadline_ms",
        "is_gone",
        "stop_requested",
    )

    def __init__(
        self, sock: curio.io.Socket, *, limits: PipelineLimits, handler: RequestHandler
    ) -> None:
        self._sock = sock
        self._limits = limits
        self._handler = handler
        self._pending: deque[CallerRequest] = deque()
        self._turn = curio.Condition()
        self._has_room = curio.Event()
        self._is_closing = False
        self.is_gone = False
        self.stop_requested = False
        self.deadline_ms = now_ms() + limits.idle_timeout_ms

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self._pending and self.deadline_ms != NEVER_MS

    async def run(self) -> None:
        """Serve the connection until it ends; unanswered requests of a gone caller are ended."""
        try:
            await self._read_requests()
            await self._finish()
        except OSError:
            self.is_gone = True
        finally:
            await self._end_tasks()

    async def _read_requests(self) -> None:
        rest = b""
        while not self._is_closing:
            http = h11.Connection(h11.SERVER, self._limits.max_head_bytes)
            if rest:
                http.receive_data(rest)
            try:
                request = await self._read_request(http, bool(rest))
            except BadRequestError as error:
                await self._refuse(http, error)
                return
            if request is None:
                return
            rest = http.trailing_data[0]
            self._pending.append(request)
            request.task = await curio.spawn(self._handle, request, daemon=True)
            if http.their_state is h11.MUST_CLOSE:
                return
            await self._wait_for_room()

    async def _wait_for_room(self) -> None:
        while len(self._pending) >= MAX_PIPELINED and not self._is_closing:
            self._has_room.clear()
            await self._has_room.wait()

    async def _read_request(self, http: h11.Connection, has_bytes: bool) -> CallerRequest | None:
        head: RequestHead | None = None
        body = bytearray()
        received_ms = now_ms()
        timeout_ms = self._limits.head_timeout_ms if has_bytes else self._limits.idle_timeout_ms
        self.deadline_ms = received_ms + timeout_ms
        while True:
            event = next_event(http)
            if event is h11.NEED_DATA:
                if http.they_are_waiting_for_100_continue:
                    await self.write(http.send(CONTINUE) or b"")
                data = await self._receive()
                if not data and not has_bytes:
                    return None
                if not has_bytes:
                    has_bytes = True
                    received_ms = now_ms()
                    self.deadline_ms = received_ms + self._limits.head_timeout_ms
                http.receive_data(data)
            elif type(event) is h11.Request:
                head = request_head(event)
                self.deadline_ms = now_ms() + max(
                    self._limits.head_timeout_ms, self._limits.idle_timeout_ms
                )
            elif type(event) is h11.Data:
                body += event.data
                if len(body) > self._limits.max_body_bytes:
                    raise BadRequestError(413, "the request body is too large")
            elif type(event) is h11.EndOfMessage and head is not None:
                self.deadline_ms = NEVER_MS
                return CallerRequest(self, http, head, bytes(body), received_ms)
            else:
                return None

    async def _receive(self) -> bytes:
        await _read_wait(self._sock._fileno)
        data: bytes = await self._sock.recv(READ_BYTES)
        return data

    async def _handle(self, request: CallerRequest) -> None:
        try:
            await self._handler(request)
        except (CallerGoneError, OSError):
            self.is_gone = True
        finally:
            # Also after a fault of the handler: the caller must not wait for its deadline.
            if not request.is_answered:
                await self.close()

    async def wait_turn(self, request: CallerRequest) -> None:
        """Wait until ``request`` is the oldest that is not answered."""
        async with self._turn:
            while self._pending and self._pending[0] is not request:
                await self._turn.wait()
        if self._is_closing or not self._pending:
            raise CallerGoneError("the connection was closed before this response")

    async def on_answered(self, request: CallerRequest) -> None:
        """Let the response of the next request be written."""
        if request.ends_connection:
            self._is_closing = True
            with suppress(OSError):
                self._sock._socket.shutdown(socket.SHUT_WR)
        async with self._turn:
            if self._pending and self._pending[0] is request:
                self._pending.popleft()
            await self._turn.notify_all()
        if not self._pending and self.deadline_ms == NEVER_MS:
            self.deadline_ms = now_ms() + self._limits.idle_timeout_ms
        if self._is_closing:
            self.deadline_ms = now_ms() + LINGER_MS
        await self._has_room.set()

    def closes_after(self, request: CallerRequest) -> bool:
        """Whether the response to ``request`` must say that the connection ends."""
        return self.stop_requested and self._pending[-1] is request

    async def write(self, data: bytes) -> None:
        """Write ``data``; raise :class:`CallerGoneError` if the caller has closed."""
        try:
            async with curio.timeout_after(WRITE_MS / 1000.0):
                await send_all(self._sock, data)
        except (OSError, curio.TaskTimeout) as error:
            self.is_gone = True
            raise CallerGoneError(f"the caller does not take its response: {error}") from None

    async def _refuse(self, http: h11.Connection, error: BadRequestError) -> None:
        """Answer a request that cannot be read, after those before it, and close."""
        async with self._turn:
            while self._pending:
                await self._turn.wait()
        if self._is_closing or http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = f"{error}\n".encode()
        headers = [(b"content-length", b"%d" % len(body)), (b"connection", b"close")]
        response = h11.Response(status_code=error.status, headers=headers)
        data = (http.send(response) or b"") + (http.send(h11.Data(data=body)) or b"")
        with suppress(CallerGoneError):
            await self.write(data + (http.send(END) or b""))

    async def _finish(self) -> None:
        """Wait for the last responses, or for the end of a caller that closed."""
        if self._is_closing:
            await self._drop_input()
            return
        gone = await curio.spawn(self._watch_for_close, daemon=True)
        try:
            async with self._turn:
                while self._pending and not self.is_gone:
                    await self._turn.wait()
        finally:
            await gone.cancel()
        if not self.is_gone:
            with suppress(OSError):
                self._sock._socket.shutdown(socket.SHUT_WR)
            self.deadline_ms = now_ms() + LINGER_MS
            await self._drop_input()

    async def _watch_for_close(self) -> None:
        with suppress(OSError):
            await self._drop_input()
        self.is_gone = True
        async with self._turn:
            await self._turn.notify_all()

    async def _drop_input(self) -> None:
        while await self._receive():
            continue

    async def close(self) -> None:
        """End the connection now; the task that reads it wakes up and ends."""
        self._is_closing = True
        self.is_gone = True
        await self._has_room.set()
        with suppress(OSError):
            self._sock._socket.shutdown(socket.SHUT_RDWR)

    async def _end_tasks(self) -> None:
        self._is_closing = True
        for request in list(self._pending):
            if request.task is not None:
                await request.task.cancel()
        self._pending.clear()
