"""Server side of one HTTP/1.1 connection with keep-alive and streamed bodies."""

from __future__ import annotations

import socket
import struct
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

MAX_PENDING_BYTES = 65_536
CLOSE_WAIT_MS = 1_000.0
RESET_LINGER = struct.pack("ii", 1, 0)


class ServerLimits(Struct, frozen=True, kw_only=True):
    """Bounds on what one caller connection may hold and for how long."""

    max_head_bytes: int = 16_384
    head_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class ServerConnection:
    """One accepted connection.

    :meth:`read_socket` runs in a task of its own and is the only reader of the socket, so that a
    caller that closes is noticed while its request is being forwarded. All other methods belong
    to the task that handles the requests.
    """

    __slots__ = (
        "_gone",
        "_has_input",
        "_has_room",
        "_http",
        "_is_reader_waiting",
        "_limits",
        "_pending",
        "_pending_since_ms",
        "_sock",
        "close_after_response",
        "deadline_ms",
        "is_idle",
        "on_gone",
        "received_ms",
        "response_status",
        "stop_requested",
        "task",
    )

    def __init__(self, sock: curio.io.Socket, *, task: curio.Task, limits: ServerLimits) -> None:
        self._sock = sock
        self.task = task
        self._limits = limits
        self._http = h11.Connection(h11.SERVER, limits.max_head_bytes)
        self._pending = bytearray()
        self._pending_since_ms = now_ms()
        self._has_input = curio.Event()
        self._has_room = curio.Event()
        self._gone = False
        self._is_reader_waiting = False
        self.received_ms = self._pending_since_ms
        self.response_status = 0
        self.on_gone: Callable[[], Awaitable[None]] | None = None
        self.close_after_response = False
        self.stop_requested = False
        self.is_idle = True
        self.deadline_ms = self._pending_since_ms + limits.idle_timeout_ms

    @property
    def is_gone(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._gone

    @property
    def is_closed_by_drain(self) -> bool:
        """Whether the connection waits for a request and is to be closed without one."""
        return self.stop_requested and self.is_idle and not self._gone

    async def read_socket(self) -> None:
        """Move bytes from the socket to the handling task until the caller closes."""
        while data := await self._receive():
            if not self._pending:
                self._pending_since_ms = now_ms()
            self._pending += data
            await self._has_input.set()
            if len(self._pending) >= MAX_PENDING_BYTES:
                self._has_room.clear()
                self._is_reader_waiting = True
                await self._has_room.wait()
                self._is_reader_waiting = False
        self._gone = True
        await self._has_input.set()
        if self.on_gone is not None:
            await self.on_gone()

    async def _receive(self) -> bytes:
        try:
            # Input is seldom there yet; a read that fails first would cost a system call.
            await _read_wait(self._sock._fileno)
            data: bytes = await self._sock.recv(READ_BYTES)
        except OSError:
            return b""
        return data

    async def next_request(self) -> RequestHead | None:
        """Return the next request head, or ``None`` when the connection is to be closed.

        Raises :class:`BadRequestError` if the caller's input must be refused.
        """
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        self.response_status = 0
        limits = self._limits
        self.is_idle = not self._http.trailing_data[0]
        wait_ms = limits.idle_timeout_ms if self.is_idle else limits.head_timeout_ms
        self.deadline_ms = now_ms() + wait_ms
        if self.is_idle and not await self._feed_head():
            return None
        while True:
            event = next_event(self._http)
            if type(event) is h11.Request:
                self.deadline_ms = NEVER_MS
                return request_head(event)
            if event is not h11.NEED_DATA or not await self._feed_head():
                return None

    async def _feed_head(self) -> bool:
        while not self._pending:
            if self._gone:
                return False
            if now_ms() >= self.deadline_ms:
                if self.is_idle:
                    return False
                raise BadRequestError(408, "the request head came too slowly")
            self._has_input.clear()
            await self._has_input.wait()
        if self.is_idle:
            self.is_idle = False
            self.deadline_ms = now_ms() + self._limits.head_timeout_ms
        await self._feed()
        return True

    async def _feed(self) -> None:
        """Give h11 at most ``READ_BYTES``: it checks the size of a head only between pieces."""
        self.received_ms = self._pending_since_ms
        data = bytes(self._pending[:READ_BYTES])
        del self._pending[:READ_BYTES]
        self._http.receive_data(data)
        if self._is_reader_waiting and len(self._pending) < MAX_PENDING_BYTES:
            await self._has_room.set()

    async def next_body(self) -> bytes | None:
        """Return the next piece of the request body, or ``None`` at its end.

        Raises :class:`CallerGoneError` if the caller closed before the end.
        """
        while True:
            event = next_event(self._http)
            if type(event) is h11.Data:
                return bytes(event.data)
            if type(event) is h11.EndOfMessage:
                return None
            if event is not h11.NEED_DATA:
                raise CallerGoneError("the caller closed before the end of its request")
            await self._feed_body()

    async def _feed_body(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            await self.send(self._http.send(CONTINUE))
        while not self._pending:
            if self._gone:
                raise CallerGoneError("the caller closed before the end of its request")
            self._has_input.clear()
            await self._has_input.wait()
        await self._feed()

    async def wake(self) -> None:
        """Make a handling task that waits for input check its deadline and stop request."""
        await self._has_input.set()

    def encode(self, event: h11.Event) -> bytes:
        """Return the bytes of one response event."""
        return self._http.send(event) or b""

    def encode_head(self, status: int, headers: HeaderList, reason: bytes = b"") -> bytes:
        """Return the bytes of a response head; adds ``Connection: close`` where it is needed."""
        if self.close_after_response or self.stop_requested:
            headers = [*headers, (b"connection", b"close")]
        trusted = trusted_headers(headers)
        self.response_status = status
        return self.encode(h11.Response(status_code=status, headers=trusted, reason=reason))

    def encode_end(self, event: h11.EndOfMessage) -> bytes:
        """Return the bytes of the end of a response; HTTP/1.0 callers get no trailers."""
        return self.encode(END if self._http.their_http_version == b"1.0" else event)

    async def send(self, data: bytes) -> None:
        """Write ``data``; raise :class:`CallerGoneError` if the caller closed."""
        try:
            await send_all(self._sock, data)
        except OSError as error:
            self._gone = True
            raise CallerGoneError(f"the caller closed its connection: {error}") from None

    async def send_information(self, event: h11.InformationalResponse) -> None:
        """Pass on a 1xx response if the caller's protocol version has them."""
        if self._http.their_http_version == b"1.1":
            await self.send(self._http.send(event) or b"")

    async def respond(self, status: int, headers: HeaderList, body: bytes = b"") -> None:
        """Send a whole response."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        length = (b"content-length", str(len(body)).encode())
        data = self.encode_head(status, [*headers, length])
        if body:
            data += self.encode(h11.Data(data=body))
        await self.send(data + self.encode(END))

    def can_continue(self) -> bool:
        """Whether another request may follow on this connection."""
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        return done and not self._gone

    def reset_on_close(self) -> None:
        """Make the later close a reset, so that a cut response cannot pass for a complete one."""
        self._gone = True
        with suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)

    async def finish(self) -> None:
        """End the response side and let the caller close first.

        Closing a socket with unread input resets it, and the caller could lose the end of the
        response.
        """
        with suppress(OSError):
            self._sock._socket.shutdown(socket.SHUT_WR)
        closing_ms = now_ms() + CLOSE_WAIT_MS
        self.deadline_ms = closing_ms
        while not self._gone and now_ms() < closing_ms:
            self._pending.clear()
            await self._has_room.set()
            self._has_input.clear()
            await self._has_input.wait()
