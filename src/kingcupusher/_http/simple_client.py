"""HTTP client for control traffic: one buffered exchange per connection."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import curio
import h11
from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.errors import ConnectError, DeadlineError, ExchangeError, ResetError
from kingcupusher._http.framing import MAX_INTERIM_RESPONSES, is_status_valid
from kingcupusher._http.tcp import connect, enable_tcp_keepalive

RECEIVE_BYTES = 65_536
MAX_BODY_BYTES = 16_777_216
MAX_TURN_EVENTS = 64
"""Other tasks run after so many events of a response; one read may contain thousands."""

Headers = Sequence[tuple[bytes, bytes]]


class Response(Struct, frozen=True):
    """A buffered response: status code, headers with lower-case names, and body."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


async def fetch(
    address: Address,
    method: str,
    path: str,
    *,
    deadline_ms: float,
    headers: Headers = (),
    body: bytes = b"",
    tcp_keepalive: bool = False,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> Response:
    """Send one request and return its response, whose body has at most ``max_body_bytes``.

    ``deadline_ms`` is on the monotonic clock. With ``tcp_keepalive``, a request to an unreachable
    peer fails within seconds, even a long poll.
    Raises :class:`ConnectError` if nothing was sent, :class:`ResetError` if the peer ended the
    connection before the first byte of a response, :class:`DeadlineError` or another
    :class:`ExchangeError` if the request may have taken effect.
    """
    sock = await _connect(address, deadline_ms)
    if tcp_keepalive:
        enable_tcp_keepalive(sock)
    try:
        return await _exchange(
            sock, address, method, path, deadline_ms, headers, body, max_body_bytes
        )
    finally:
        await sock.close()


def _remaining_s(deadline_ms: float) -> float:
    return max(0.0, (deadline_ms - now_ms()) / 1000.0)


async def _connect(address: Address, deadline_ms: float) -> curio.io.Socket:
    try:
        async with curio.timeout_after(_remaining_s(deadline_ms)):
            return await connect(address)
    except curio.TaskTimeout:
        raise ConnectError(f"cannot connect to {address} before the deadline") from None
    except OSError as error:
        raise ConnectError(f"cannot connect to {address}: {error}") from error


async def _exchange(
    sock: curio.io.Socket,
    address: Address,
    method: str,
    path: str,
    deadline_ms: float,
    headers: Headers,
    body: bytes,
    max_body_bytes: int,
) -> Response:
    connection = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method=method,
        target=path,
        headers=[
            (b"host", str(address).encode()),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
            *headers,
        ],
    )
    data = connection.send(request) or b""
    if body:
        data += connection.send(h11.Data(data=body)) or b""
    data += connection.send(h11.EndOfMessage()) or b""
    try:
        # If the process was paused while connecting, the deadline may have passed: do not send.
        if now_ms() >= deadline_ms:
            raise ConnectError(f"{method} {path} at {address} was not sent before the deadline")
        async with curio.timeout_after(_remaining_s(deadline_ms)):
            await sock.sendall(data)
            connection.receive_data(await _receive_first(sock, f"{method} {path} at {address}"))
            return await _receive(sock, connection, max_body_bytes)
    except curio.TaskTimeout:
        raise DeadlineError(f"{method} {path} at {address} timed out") from None
    except (OSError, h11.RemoteProtocolError) as error:
        raise ExchangeError(f"{method} {path} at {address} failed: {error}") from error


async def _receive_first(sock: curio.io.Socket, request: str) -> bytes:
    """Return the first bytes of a response; raise :class:`ResetError` if there are none."""
    try:
        data: bytes = await sock.recv(RECEIVE_BYTES)
    except OSError as error:
        raise ResetError(f"{request} failed: {error}") from error
    if not data:
        raise ResetError(f"{request} failed: connection closed without a response")
    return data


async def _receive(
    sock: curio.io.Socket, connection: h11.Connection, max_body_bytes: int
) -> Response:
    status = 0
    headers: list[tuple[bytes, bytes]] = []
    body = bytearray()
    interim_count = 0
    for event_count in itertools.count(1):
        event = connection.next_event()
        if event_count % MAX_TURN_EVENTS == 0:
            await curio.sleep(0)
        if event is h11.NEED_DATA:
            connection.receive_data(await sock.recv(RECEIVE_BYTES))
        elif isinstance(event, h11.InformationalResponse):
            interim_count += 1
            if interim_count > MAX_INTERIM_RESPONSES:
                raise h11.RemoteProtocolError("only interim responses were sent")
        elif isinstance(event, h11.Response):
            status = event.status_code
            if not is_status_valid(status):
                raise h11.RemoteProtocolError(f"the status code is {status}")
            headers = list(event.headers)
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > max_body_bytes:
                raise h11.RemoteProtocolError(f"body exceeds {max_body_bytes} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return Response(status, headers, bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("connection closed before the response was complete")
    raise AssertionError("unreachable")
