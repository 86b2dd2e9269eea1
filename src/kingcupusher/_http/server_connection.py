"""Server side of an HTTP/1.1 connection with keep-alive and streamed bodies."""

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

MAX_UNPARSED_BYTES = 65_536
LINGER_TIMEOUT_MS = 1_000.0
RESET_LINGER = struct.pack("ii", 1, 0)


class ServerLimits(Struct, frozen=True, kw_only=True):
    """Size limit and time-outs of a caller connection."""

    max_head_bytes: int = 16_384
    head_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class ServerConnection:
    """An accepted connection.

    :meth:`read_socket` runs in a task of its own and is the only reader of the socket, so that a
    disconnect is detected while a request is being forwarded. The task that handles the requests
    calls all other methods.
    """

    __slots__ = (
        "_disconnected",
        "_has_input",
        "_has_buffer_space",
        "_http",
        "_is_reader_paused",
        "_limits",
        "_unparsed",
        "_unparsed_since_ms",
        "_sock",
        "close_after_response",
        "deadline_ms",
        "is_idle",
        "on_disconnect",
        "received_ms",
        "response_status",
        "is_draining",
        "task",
    )

    def __init__(self, sock: curio.io.Socket, *, task: curio.Task, limits: ServerLimits) -> None:
        self._sock = sock
        self.task = task
        self._limits = limits
        self._http = h11.Connection(h11.SERVER, limits.max_head_bytes)
        self._unparsed = bytearray()
        self._unparsed_since_ms = now_ms()
        self._has_input = curio.Event()
        self._has_buffer_space = curio.Event()
        self._disconnected = False
        self._is_reader_paused = False
        self.received_ms = self._unparsed_since_ms
        self.response_status = 0
        self.on_disconnect: Callable[[], Awaitable[None]] | None = None
        self.close_after_response = False
        self.is_draining = False
        self.is_idle = True
        self.deadline_ms = self._unparsed_since_ms + limits.idle_timeout_ms

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._disconnected

    @property
    def is_closed_by_drain(self) -> bool:
        """Whether the connection is idle and must be closed because the listener drains."""
        return self.is_draining and self.is_idle and not self._disconnected

    async def read_socket(self) -> None:
        """Receive bytes for the handling task until the caller closes."""
        while data := await self._receive():
            if not self._unparsed:
                self._unparsed_since_ms = now_ms()
            self._unparsed += data
            await self._has_input.set()
            if len(self._unparsed) >= MAX_UNPARSED_BYTES:
                self._has_buffer_space.clear()
                self._is_reader_paused = True
                await self._has_buffer_space.wait()
                self._is_reader_paused = False
        self._disconnected = True
        await self._has_input.set()
        if self.on_disconnect is not None:
            await self.on_disconnect()

    async def _receive(self) -> bytes:
        try:
            # Input has seldom arrived yet; reading before waiting would cost a system call.
            await _read_wait(self._sock._fileno)
            data: bytes = await self._sock.recv(READ_BYTES)
        except OSError:
            return b""
        return data

    async def next_request(self) -> RequestHead | None:
        """Return the next request head, or ``None`` when the connection is to be closed.

        Raises :class:`BadRequestError` if the request is rejected.
        """
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        self.response_status = 0
        limits = self._limits
        self.is_idle = not self._http.trailing_data[0]
        wait_ms = limits.idle_timeout_ms if self.is_idle else limits.head_timeout_ms
        self.deadline_ms = now_ms() + wait_ms
        if self.is_idle and not await self._receive_head_data():
            return None
        while True:
            event = next_event(self._http)
            if type(event) is h11.Request:
                self.deadline_ms = NO_DEADLINE_MS
                return checked_request_head(event)
            if event is not h11.NEED_DATA or not await self._receive_head_data():
                return None

    async def _receive_head_data(self) -> bool:
        while not self._unparsed:
            if self._disconnected:
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
        await self._feed_parser()
        return True

    async def _feed_parser(self) -> None:
        """Pass at most ``READ_BYTES`` to h11, which checks the head size only between calls."""
        self.received_ms = self._unparsed_since_ms
        data = bytes(self._unparsed[:READ_BYTES])
        del self._unparsed[:READ_BYTES]
        self._http.receive_data(data)
        if self._is_reader_paused and len(self._unparsed) < MAX_UNPARSED_BYTES:
            await self._has_buffer_space.set()

    async def next_body_data(self) -> bytes | None:
        """Return the next bytes of the request body, or ``None`` at its end.

        Raises :class:`CallerDisconnectedError` if the caller closed before the end.
        """
        while True:
            event = next_event(self._http)
            if type(event) is h11.Data:
                return bytes(event.data)
            if type(event) is h11.EndOfMessage:
                return None
            if event is not h11.NEED_DATA:
                raise CallerDisconnectedError("the caller closed before the end of its request")
            await self._receive_body_data()

    async def _receive_body_data(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            await self.send(self._http.send(CONTINUE))
        while not self._unparsed:
            if self._disconnected:
                raise CallerDisconnectedError("the caller closed before the end of its request")
            self._has_input.clear()
            await self._has_input.wait()
        await self._feed_parser()

    async def wake_handler(self) -> None:
        """Wake the handling task if it waits for input; it checks its deadline."""
        await self._has_input.set()

    def encode(self, event: h11.Event) -> bytes:
        """Encode a response event."""
        return self._http.send(event) or b""

    def encode_head(self, status: int, headers: HeaderList, reason: bytes = b"") -> bytes:
        """Encode a response head; adds ``Connection: close`` if no request may follow."""
        if self.close_after_response or self.is_draining:
            headers = [*headers, (b"connection", b"close")]
        trusted = trusted_headers(headers)
        self.response_status = status
        return self.encode(h11.Response(status_code=status, headers=trusted, reason=reason))

    def encode_end(self, event: h11.EndOfMessage) -> bytes:
        """Encode the end of a response; HTTP/1.0 callers get no trailers."""
        return self.encode(END_OF_MESSAGE if self._http.their_http_version == b"1.0" else event)

    async def send(self, data: bytes) -> None:
        """Write ``data``; raise :class:`CallerDisconnectedError` if the caller closed."""
        try:
            await send_all(self._sock, data)
        except OSError as error:
            self._disconnected = True
            raise CallerDisconnectedError(f"the caller closed its connection: {error}") from None

    async def send_information(self, event: h11.InformationalResponse) -> None:
        """Forward a 1xx response to a caller that speaks HTTP/1.1."""
        if self._http.their_http_version == b"1.1":
            await self.send(self._http.send(event) or b"")

    async def respond(self, status: int, headers: HeaderList, body: bytes = b"") -> None:
        """Send a complete response unless one was begun already."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        length = (b"content-length", str(len(body)).encode())
        data = self.encode_head(status, [*headers, length])
        if body:
            data += self.encode(h11.Data(data=body))
        await self.send(data + self.encode(END_OF_MESSAGE))

    def can_serve_another(self) -> bool:
        """Whether another request can be served on this connection."""
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        return done and not self._disconnected

    def reset_on_close(self) -> None:
        """Reset the connection on close, so that a truncated response does not look complete."""
        self._disconnected = True
        with suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)

    async def linger_and_close(self) -> None:
        """Shut down the sending side and wait for the caller to close first.

        Closing a socket with unread input resets the connection, and the caller could lose the
        end of the response.
        """
        with suppress(OSError):
            self._sock._socket.shutdown(socket.SHUT_WR)
        linger_end_ms = now_ms() + LINGER_TIMEOUT_MS
        self.deadline_ms = linger_end_ms
        while not self._disconnected and now_ms() < linger_end_ms:
            self._unparsed.clear()
            await self._has_buffer_space.set()
            self._has_input.clear()
            await self._has_input.wait()
