"""Steps for what a response that breaks off leaves behind."""

from __future__ import annotations

import traceback

import curio
from behave import then, when

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._core.connection_server import serve_connections
from kingcupusher._core.startup import listen
from kingcupusher._http.buffered import encode_request, read_response
from kingcupusher._http.client_connection import ClientConnection
from kingcupusher._http.errors import ResetError

BODY_BYTES = 200_000


async def _break_off(sock):
    await sock.recv(65_536)
    await sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n" + bytes(BODY_BYTES))


@when("reading a response of which 200 KB arrive fails, and its error is kept")
def when_broken(context):
    async def main():
        listening = listen(Address("127.0.0.1", 0), backlog=4)
        address = Address(*listening.getsockname())
        await curio.spawn(serve_connections, listening, _break_off, daemon=True)
        connection = await ClientConnection.open(address, deadline_ms=now_ms() + 2_000.0)
        await connection.send(encode_request(connection, b"GET", b"/", [(b"host", b"h")], b""))
        try:
            await read_response(connection)
        except ResetError as error:
            return error
        finally:
            await connection.close()

    context.error = curio.run(main)


@then("the reader of the response holds no body")
def then_no_body(context):
    frames = [frame for frame, _ in traceback.walk_tb(context.error.__traceback__)]
    readers = [frame.f_locals["reader"] for frame in frames if "reader" in frame.f_locals]
    assert readers
    assert all(reader._body.size_bytes == 0 for reader in readers)
