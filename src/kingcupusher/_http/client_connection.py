"""Client side of one HTTP/1.1 connection."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Any

import curio
import h11
from curio.traps import _read_wait

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.errors import (
    ConnectError,
    ConnectTimeoutError,
    ExchangeError,
    ResetError,
)
from kingcupusher._http.framing import is_status_valid
from kingcupusher._http.heads import HeaderList, trusted_headers
from kingcupusher._http.sending import send_all
from kingcupusher._http.tcp import connect

READ_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 65_536
"""Bytes that a target sends without being asked are held by the kernel, for each connection."""
RESPONSE_TYPES = (h11.Response, h11.InformationalResponse)
END_OF_MESSAGE = h11.EndOfMessage()
PLACEHOLDER_HEADERS = [(b"host", b"unused")]


class ClientConnection:
    """One connection to a target; only the task that acquired it uses it.

    ``echoes_request_ids`` tells that a response named the identifier of its request.
    """

    __slots__ = (
        "_http",
        "_had_duplicate_response",
        "_method",
        "_sock",
        "address",
        "echoes_request_ids",
        "has_received",
        "idle_since_ms",
        "is_aborted",
        "is_reused",
    )

    def __init__(self, sock: curio.io.Socket, address: Address) -> None:
        self._sock = sock
        self._http = h11.Connection(h11.CLIENT)
        self._method = b""
        self._had_duplicate_response = False
        self.address = address
        self.idle_since_ms = now_ms()
        self.is_aborted = False
        self.is_reused = False
        self.has_received = False
        self.echoes_request_ids = False

    @classmethod
    async def open(cls, address: Address, *, deadline_ms: float) -> ClientConnection:
        """Connect to ``address``; raise :class:`ConnectError` on failure or time-out."""
        try:
            async with curio.timeout_after(max(0.0, (deadline_ms - now_ms()) / 1000.0)):
                sock = await connect(address, receive_buffer_bytes=RECEIVE_BUFFER_BYTES)
        except curio.TaskTimeout:
            raise ConnectTimeoutError(f"{address} did not accept a connection in time") from None
        except OSError as error:
            raise ConnectError(f"cannot connect to {address}: {error}") from error
        return cls(sock, address)

    @property
    def method(self) -> bytes:
        """Method of the last request that was encoded."""
        return self._method

    def encode_head(self, method: bytes, target: bytes, headers: HeaderList) -> bytes:
        """Encode a request head."""
        self._method = method
        trusted = trusted_headers(headers)
        return self.encode(h11.Request(method=method, target=target, headers=trusted))

    def encode(self, event: h11.Event) -> bytes:
        """Encode a request event."""
        return self._http.send(event) or b""

    async def send(self, data: bytes) -> None:
        """Write ``data``; the first write happens before another task can run."""
        try:
            await send_all(self._sock, data)
        except OSError as error:
            raise ResetError(f"{self.address} closed the connection: {error}") from error

    def next_event(self) -> Any:
        """Return the next response event or ``h11.NEED_DATA``."""
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            error_type = ResetError if self._http.trailing_data[1] else ExchangeError
            raise error_type(f"invalid response from {self.address}: {error}") from None
        if type(event) is h11.ConnectionClosed:
            raise ResetError(f"{self.address} closed the connection before its response ended")
        if isinstance(event, RESPONSE_TYPES) and not is_status_valid(event.status_code):
            raise ExchangeError(f"{self.address} sent the status code {event.status_code}")
        return event

    async def receive(self) -> None:
        """Receive more bytes of the response."""
        try:
            # The response has seldom arrived yet; reading before waiting would cost a system call.
            await _read_wait(self._sock._fileno)
            data = await self._sock.recv(READ_BYTES)
        except OSError as error:
            raise ResetError(f"{self.address} reset the connection: {error}") from error
        self.has_received = self.has_received or bool(data)
        self._http.receive_data(data)

    def discard_received_body(self) -> None:
        """Discard body bytes that were received already, so that the connection can be reused."""
        with suppress(ExchangeError):
            while type(self.next_event()) is h11.Data:
                continue

    def is_complete(self) -> bool:
        """Whether no exchange has begun or it is complete, so that a request can be sent."""
        http = self._http
        ended = http.our_state is http.their_state and http.our_state in (h11.IDLE, h11.DONE)
        is_reusable = not self.is_aborted and not self._had_duplicate_response
        return ended and not http.trailing_data[0] and is_reusable

    def expect_another_response(self) -> None:
        """Parse the bytes after a complete response as another response to the same request.

        Needed when a target responded twice to an earlier request. The connection is not reused.
        """
        unparsed = self._http.trailing_data[0]
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(h11.Request(method=self._method, target=b"/", headers=PLACEHOLDER_HEADERS))
        self._http.send(END_OF_MESSAGE)
        if unparsed:
            self._http.receive_data(unparsed)
        self._had_duplicate_response = True

    def is_stale(self) -> bool:
        """Whether an error may only mean that the peer closed the idle connection."""
        return self.is_reused and not self.has_received

    def start_next_request(self) -> None:
        """Reset the parser for the next request, unless that was done already."""
        if self._http.our_state is not h11.IDLE:
            self._http.start_next_cycle()
        self.is_reused = True
        self.has_received = False

    def is_idle_and_open(self) -> bool:
        """Whether the peer has neither closed the idle connection nor sent unsolicited bytes."""
        try:
            self._sock._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def abort(self) -> None:
        """Shut the socket down; a task that waits for it gets an error."""
        self.is_aborted = True
        try:
            self._sock._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    async def cancel(self) -> None:
        """Abort; a callback for ``ServerConnection.on_disconnect``."""
        self.abort()

    async def close(self) -> None:
        """Close the socket."""
        await self._sock.close()
