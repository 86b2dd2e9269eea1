"""HTTP server for control traffic, with small buffered requests and responses."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import h11
from msgspec import Struct

from kingcupusher._core.address import Address
from kingcupusher._core.connection_server import serve_connections
from kingcupusher._core.startup import listen
from kingcupusher._http.simple_client import RECEIVE_BYTES, Response

MAX_BODY_BYTES = 2_000_000
BACKLOG = 512
BOTH_DONE = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}


class Request(Struct, frozen=True):
    """A buffered request: method, request target, headers with lower-case names, and body."""

    method: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


Handler = Callable[[Request], Awaitable[Response]]


class _RequestTooLargeError(Exception):
    """Raised when a request body is longer than ``MAX_BODY_BYTES``."""


async def serve(address: Address, handler: Handler) -> None:
    """Serve ``handler`` on ``address`` until cancelled."""

    async def on_client(client: curio.io.Socket) -> None:
        await _serve_connection(client, handler)

    await serve_connections(listen(address, backlog=BACKLOG), on_client)


async def _serve_connection(client: curio.io.Socket, handler: Handler) -> None:
    connection = h11.Connection(h11.SERVER)
    try:
        while connection.our_state is h11.IDLE:
            request = await _receive(client, connection)
            if request is None:
                return
            await _send(client, connection, await handler(request))
            if connection.states == BOTH_DONE:
                connection.start_next_cycle()
    except _RequestTooLargeError:
        await _send(client, connection, Response(413, [], b"body is too large\n"))
    except h11.RemoteProtocolError as error:
        if connection.our_state is h11.IDLE or connection.our_state is h11.SEND_RESPONSE:
            await _send(client, connection, Response(error.error_status_hint, [], b""))
    except OSError:
        return


async def _receive(client: curio.io.Socket, connection: h11.Connection) -> Request | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await client.recv(RECEIVE_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise _RequestTooLargeError
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            method = head.method.decode("ascii")
            path = head.target.decode("ascii")
            return Request(method, path, list(head.headers), bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            return None


async def _send(client: curio.io.Socket, connection: h11.Connection, response: Response) -> None:
    headers = [*response.headers, (b"content-length", str(len(response.body)).encode())]
    data = connection.send(h11.Response(status_code=response.status, headers=headers)) or b""
    if response.body:
        data += connection.send(h11.Data(data=response.body)) or b""
    data += connection.send(h11.EndOfMessage()) or b""
    await client.sendall(data)
