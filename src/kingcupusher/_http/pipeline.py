"""Server side of HTTP/1.1 connections with concurrent handling of pipelined requests."""

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
from kingcupusher._http.errors import BadRequestError, CallerDisconnectedError
from kingcupusher._http.heads import HeaderList, RequestHead, trusted_headers
from kingcupusher._http.request_parsing import (
    CONTINUE,
    END_OF_MESSAGE,
    NO_DEADLINE_MS,
    READ_BYTES,
    checked_request_head,
    next_event,
)
from kingcupusher._http.sending import send_all

MAX_PIPELINED_REQUESTS = 16
LINGER_TIMEOUT_MS = 500.0
"""Time for the caller to close first; closing with unread input would reset the connection."""
WRITE_TIMEOUT_MS = 5_000.0
"""A caller that does not read its response for this long is disconnected."""


class PipelineLimits(Struct, kw_only=True):
    """Size limits and time-outs of a connection; they may change while it is open."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    head_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class CallerRequest:
    """A buffered request; its response is written in the order of the pipeline."""

    __slots__ = ("_response_written", "_connection", "_http", "body", "head", "received_ms", "task")

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
        self._response_written = curio.Event()
        self.head = head
        self.body = body
        self.received_ms = received_ms
        self.task: curio.Task | None = None

    @property
    def is_response_written(self) -> bool:
        """Whether the complete response was written."""
        return bool(self._response_written.is_set())

    async def wait_for_earlier_responses(self) -> None:
        """Wait until the responses to all earlier requests of the connection were written."""
        await self._connection.wait_for_turn(self)

    async def respond(self, status: int, headers: HeaderList, body: bytes, reason: bytes) -> None:
        """Write the response after those to all earlier requests."""
        await self._connection.wait_for_turn(self)
        data = self._encode(status, headers, body, reason)
        await self._connection.write(data)
        await self._response_written.set()
        await self._connection.on_response_written(self)

    def _encode(self, status: int, headers: HeaderList, body: bytes, reason: bytes) -> bytes:
        if self._connection.is_last_before_close(self) or self._http.their_state is h11.MUST_CLOSE:
            headers = [*headers, (b"connection", b"close")]
        head = h11.Response(status_code=status, headers=trusted_headers(headers), reason=reason)
        data = self._http.send(head) or b""
        if body and self.head.method != b"HEAD":
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(END_OF_MESSAGE) or b""
        return data

    @property
    def ends_connection(self) -> bool:
        """Whether the connection cannot be reused after the response."""
        return self._http.our_state is not h11.DONE


RequestHandler = Callable[[CallerRequest], Awaitable[None]]


class PipelinedConnection:
    """An accepted connection that reads requests ahead and writes responses in request order.

    An h11 parser stops after a request until its response was sent, so each request gets a new
    parser that starts with the bytes after the previous request.
    """

    __slots__ = (
        "_handler",
        "_has_capacity",
        "_is_closing",
        "_limits",
        "_pending",
        "_sock",
        "_turn",
        "deadline_ms",
        "is_disconnected",
        "is_draining",
    )

    def __init__(
        self, sock: curio.io.Socket, *, limits: PipelineLimits, handler: RequestHandler
    ) -> None:
        self._sock = sock
        self._limits = limits
        self._handler = handler
        self._pending: deque[CallerRequest] = deque()
        self._turn = curio.Condition()
        self._has_capacity = curio.Event()
        self._is_closing = False
        self.is_disconnected = False
        self.is_draining = False
        self.deadline_ms = now_ms() + limits.idle_timeout_ms

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled."""
        return not self._pending and self.deadline_ms != NO_DEADLINE_MS

    async def run(self) -> None:
        """Serve the connection until it ends; cancel the handlers of a disconnected caller."""
        try:
            await self._read_requests()
            await self._finish_responses()
        except OSError:
            self.is_disconnected = True
        finally:
            await self._cancel_handlers()

    async def _read_requests(self) -> None:
        unparsed = b""
        while not self._is_closing:
            http = h11.Connection(h11.SERVER, self._limits.max_head_bytes)
            if unparsed:
                http.receive_data(unparsed)
            try:
                request = await self._read_request(http, bool(unparsed))
            except BadRequestError as error:
                await self._reject(http, error)
                return
            if request is None:
                return
            unparsed = http.trailing_data[0]
            self._pending.append(request)
            request.task = await curio.spawn(self._handle, request, daemon=True)
            if http.their_state is h11.MUST_CLOSE:
                return
            await self._wait_for_capacity()

    async def _wait_for_capacity(self) -> None:
        while len(self._pending) >= MAX_PIPELINED_REQUESTS and not self._is_closing:
            self._has_capacity.clear()
            await self._has_capacity.wait()

    async def _read_request(self, http: h11.Connection, has_received: bool) -> CallerRequest | None:
        head: RequestHead | None = None
        body = bytearray()
        received_ms = now_ms()
        timeout_ms = self._limits.head_timeout_ms if has_received else self._limits.idle_timeout_ms
        self.deadline_ms = received_ms + timeout_ms
        while True:
            event = next_event(http)
            if event is h11.NEED_DATA:
                if http.they_are_waiting_for_100_continue:
                    await self.write(http.send(CONTINUE) or b"")
                data = await self._receive()
                if not data and not has_received:
                    return None
                if not has_received:
                    has_received = True
                    received_ms = now_ms()
                    self.deadline_ms = received_ms + self._limits.head_timeout_ms
                http.receive_data(data)
            elif type(event) is h11.Request:
                head = checked_request_head(event)
                self.deadline_ms = now_ms() + max(
                    self._limits.head_timeout_ms, self._limits.idle_timeout_ms
                )
            elif type(event) is h11.Data:
                body += event.data
                if len(body) > self._limits.max_body_bytes:
                    raise BadRequestError(413, "the request body is too large")
            elif type(event) is h11.EndOfMessage and head is not None:
                self.deadline_ms = NO_DEADLINE_MS
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
        except (CallerDisconnectedError, OSError):
            self.is_disconnected = True
        finally:
            # If the handler failed, close now: the caller must not wait for its deadline.
            if not request.is_response_written:
                await self.close()

    async def wait_for_turn(self, request: CallerRequest) -> None:
        """Wait until ``request`` is the oldest one without a response."""
        async with self._turn:
            while self._pending and self._pending[0] is not request:
                await self._turn.wait()
        if self._is_closing or not self._pending:
            raise CallerDisconnectedError("the connection was closed before this response")

    async def on_response_written(self, request: CallerRequest) -> None:
        """Remove ``request`` from the pipeline and let the next response be written."""
        if request.ends_connection:
            self._is_closing = True
            with suppress(OSError):
                self._sock._socket.shutdown(socket.SHUT_WR)
        async with self._turn:
            if self._pending and self._pending[0] is request:
                self._pending.popleft()
            await self._turn.notify_all()
        if not self._pending and self.deadline_ms == NO_DEADLINE_MS:
            self.deadline_ms = now_ms() + self._limits.idle_timeout_ms
        if self._is_closing:
            self.deadline_ms = now_ms() + LINGER_TIMEOUT_MS
        await self._has_capacity.set()

    def is_last_before_close(self, request: CallerRequest) -> bool:
        """Whether the response to ``request`` needs ``Connection: close``."""
        return self.is_draining and self._pending[-1] is request

    async def write(self, data: bytes) -> None:
        """Write ``data``; raise :class:`CallerDisconnectedError` on an error or time-out."""
        try:
            async with curio.timeout_after(WRITE_TIMEOUT_MS / 1000.0):
                await send_all(self._sock, data)
        except (OSError, curio.TaskTimeout) as error:
            self.is_disconnected = True
            raise CallerDisconnectedError(f"cannot write to the caller: {error}") from None

    async def _reject(self, http: h11.Connection, error: BadRequestError) -> None:
        """Respond to an invalid request, after all earlier responses."""
        async with self._turn:
            while self._pending:
                await self._turn.wait()
        if self._is_closing or http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = f"{error}\n".encode()
        headers = [(b"content-length", b"%d" % len(body)), (b"connection", b"close")]
        response = h11.Response(status_code=error.status, headers=headers)
        data = (http.send(response) or b"") + (http.send(h11.Data(data=body)) or b"")
        with suppress(CallerDisconnectedError):
            await self.write(data + (http.send(END_OF_MESSAGE) or b""))

    async def _finish_responses(self) -> None:
        """Wait for the last responses or for the caller to disconnect, then half-close."""
        if self._is_closing:
            await self._discard_input()
            return
        disconnect_watcher = await curio.spawn(self._watch_for_disconnect, daemon=True)
        try:
            async with self._turn:
                while self._pending and not self.is_disconnected:
                    await self._turn.wait()
        finally:
            await disconnect_watcher.cancel()
        if not self.is_disconnected:
            with suppress(OSError):
                self._sock._socket.shutdown(socket.SHUT_WR)
            self.deadline_ms = now_ms() + LINGER_TIMEOUT_MS
            await self._discard_input()

    async def _watch_for_disconnect(self) -> None:
        with suppress(OSError):
            await self._discard_input()
        self.is_disconnected = True
        async with self._turn:
            await self._turn.notify_all()

    async def _discard_input(self) -> None:
        while await self._receive():
            continue

    async def close(self) -> None:
        """Shut the connection down now; :meth:`run` returns."""
        self._is_closing = True
        self.is_disconnected = True
        await self._has_capacity.set()
        with suppress(OSError):
            self._sock._socket.shutdown(socket.SHUT_RDWR)

    async def _cancel_handlers(self) -> None:
        self._is_closing = True
        for request in list(self._pending):
            if request.task is not None:
                await request.task.cancel()
        self._pending.clear()
