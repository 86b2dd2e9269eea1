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
from kingcupusher._http.heads import HeaderList, trusted_headers
from kingcupusher._http.sending import send_all
from kingcupusher._http.tcp import connect

READ_BYTES = 65_536
END = h11.EndOfMessage()
PLACEHOLDER_HEADERS = [(b"host", b"unused")]


class ClientConnection:
    """One connection to a target; owned by the task that acquired it."""

    __slots__ = (
        "_http",
        "_is_out_of_step",
        "_method",
        "_sock",
        "address",
        "has_received",
        "idle_since_ms",
        "is_aborted",
        "is_reused",
    )

    def __init__(self, sock: curio.io.Socket, address: Address) -> None:
        self._sock = sock
        self._http = h11.Connection(h11.CLIENT)
        self._method = b""
        self._is_out_of_step = False
        self.address = address
        self.idle_since_ms = now_ms()
        self.is_aborted = False
        self.is_reused = False
        self.has_received = False

    @classmethod
    async def open(cls, address: Address, *, deadline_ms: float) -> ClientConnection:
        """Connect to ``address``; raise :class:`ConnectError` if that fails in time."""
        try:
            async with curio.timeout_after(max(0.0, (deadline_ms - now_ms()) / 1000.0)):
                sock = await connect(address)
        except curio.TaskTimeout:
            raise ConnectTimeoutError(f"{address} did not accept a connection in time") from None
        except OSError as error:
            raise ConnectError(f"cannot connect to {address}: {error}") from error
        return cls(sock, address)

    @property
    def method(self) -> bytes:
        """Method of the request in flight."""
        return self._method

    def encode_head(self, method: bytes, target: bytes, headers: HeaderList) -> bytes:
        """Return the bytes of a request head."""
        self._method = method
        trusted = trusted_headers(headers)
        return self.encode(h11.Request(method=method, target=target, headers=trusted))

    def encode(self, event: h11.Event) -> bytes:
        """Return the bytes of one request event."""
        return self._http.send(event) or b""

    async def send(self, data: bytes) -> None:
        """Write ``data``; the first bytes leave before this call gives up control."""
        try:
            await send_all(self._sock, data)
        except OSError as error:
            raise ResetError(f"{self.address} closed the connection: {error}") from error

    def next_event(self) -> Any:
        """Return the next response event or ``h11.NEED_DATA``."""
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            kind = ResetError if self._http.trailing_data[1] else ExchangeError
            raise kind(f"response of {self.address} is not valid: {error}") from None
        if type(event) is h11.ConnectionClosed:
            raise ResetError(f"{self.address} closed the connection before its response")
        return event

    async def fill(self) -> None:
        """Wait for more bytes of the response."""
        try:
            # A response is not there yet; a read that fails first would cost a system call.
            await _read_wait(self._sock._fileno)
            data = await self._sock.recv(READ_BYTES)
        except OSError as error:
            raise ResetError(f"{self.address} reset the connection: {error}") from error
        self.has_received = self.has_received or bool(data)
        self._http.receive_data(data)

    def skip_received_body(self) -> None:
        """Read past the body bytes that are already here, so that the connection can be reused."""
        with suppress(ExchangeError):
            while type(self.next_event()) is h11.Data:
                continue

    def is_complete(self) -> bool:
        """Whether the exchange ended cleanly, so that another may follow."""
        http = self._http
        ended = http.our_state is h11.DONE and http.their_state is h11.DONE
        in_step = not self.is_aborted and not self._is_out_of_step
        return ended and not http.trailing_data[0] and in_step

    def expect_another_response(self) -> None:
        """Read the bytes behind a complete response as a further response to the same request.

        For a target that answered an earlier request twice. The connection is not reused.
        """
        rest = self._http.trailing_data[0]
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(h11.Request(method=self._method, target=b"/", headers=PLACEHOLDER_HEADERS))
        self._http.send(END)
        if rest:
            self._http.receive_data(rest)
        self._is_out_of_step = True

    def is_stale(self) -> bool:
        """Whether an error on this connection may only mean that the peer had closed it idle."""
        return self.is_reused and not self.has_received

    def start_next_request(self) -> None:
        """Prepare for the next request."""
        self._http.start_next_cycle()
        self.is_reused = True
        self.has_received = False

    def is_quiet(self) -> bool:
        """Whether the peer has neither closed nor sent bytes that nobody asked for."""
        try:
            self._sock._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def abort(self) -> None:
        """Shut the socket down; a task that waits on it wakes up with an error."""
        self.is_aborted = True
        try:
            self._sock._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    async def cancel(self) -> None:
        """Abort, as a callback of the caller's connection."""
        self.abort()

    async def close(self) -> None:
        """Close the socket."""
        await self._sock.close()
