"""Steps for request bodies that are sent slowly or only after an invitation."""

from __future__ import annotations

import curio
from behave import then, when

from kingcupusher._core import now_ms
from testing.gateway.fixture import read_responses
from testing.gateway.raw_caller import (
    check_ends_within,
    echo_request,
    run_with_connection,
    wait_for_end,
)

PIECE_INTERVAL_S = 0.1
BYTES_PER_MB = 1_000_000
INVITATION = b"HTTP/1.1 100 "


class Upload:
    """A request whose body of ``size`` bytes is sent in pieces."""

    def __init__(self, sock, size):
        self._sock = sock
        self._size = size

    async def send_head(self):
        """Send the head of the request."""
        head = "POST /transfer/x HTTP/1.1\r\nhost: h.example\r\nx-id: r0\r\n"
        await self._sock.sendall(f"{head}content-length: {self._size}\r\n\r\n".encode())

    async def send_pieces(self, count, piece_bytes):
        """Send ``count`` pieces of the body, one at each interval."""
        for _ in range(count):
            await self._sock.sendall(b"a" * piece_bytes)
            await curio.sleep(PIECE_INTERVAL_S)


async def _upload_steadily(sock):
    upload = Upload(sock, 48_000)
    await upload.send_head()
    await upload.send_pieces(12, 4_000)
    return await read_responses(sock, 1), 0.0


async def _upload_and_stop(sock):
    upload = Upload(sock, 48_000)
    await upload.send_head()
    await upload.send_pieces(5, 4_000)
    since_ms = now_ms() - PIECE_INTERVAL_S * 1_000.0
    return [], await wait_for_end(sock) - since_ms


async def _trickle(sock):
    upload = Upload(sock, 48_000)
    await upload.send_head()
    since_ms = now_ms()
    sending = await curio.spawn(upload.send_pieces, 20, 1, daemon=True)
    until_end_ms = await wait_for_end(sock) - since_ms
    await sending.cancel()
    return [], until_end_ms


UPLOADS = {
    "40 KB a second for 1.2 s": _upload_steadily,
    "40 KB a second for 0.5 s and then nothing": _upload_and_stop,
    "10 bytes a second": _trickle,
}


@when("a caller uploads {upload}")
def when_upload(context, upload):
    context.responses, context.until_end_ms = run_with_connection(context, UPLOADS[upload])


@then("the connection gets status {status:d}")
def then_upload_status(context, status):
    assert [got for got, _, _ in context.responses] == [status], context.responses


@then("the connection ends {low_s:g} s to {high_s:g} s later")
def then_upload_ends(context, low_s, high_s):
    check_ends_within(context.until_end_ms, low_s, high_s)


@when(
    "a caller that {detail} sends a transfer of {size:d} MB and behind it one that expects an"
    " invitation"
)
def when_expecting(context, detail, size):
    async def action(sock):
        await sock.sendall(echo_request(size * BYTES_PER_MB))
        await curio.sleep(1.0 if size else 0.0)
        head = "POST /transfer/x HTTP/1.1\r\nhost: h.example\r\nx-id: r1\r\ncontent-length: 6\r\n"
        await sock.sendall(f"{head}expect: 100-continue\r\n\r\n".encode())
        await curio.sleep(0.3)
        before_body = await _read_until_invited(sock)
        await curio.sleep(0.2)
        await sock.sendall(b"amount")
        return before_body, await read_responses(sock, 1)

    context.first_body = b"answer to r0" + b"a" * size * BYTES_PER_MB
    context.exchange = run_with_connection(context, action)


async def _read_until_invited(sock):
    received = bytearray()
    while received.find(INVITATION, max(0, len(received) - 2 * 65_536)) < 0:
        received += await sock.recv(65_536)
    return bytes(received)


@then("it gets the whole first response, then the invitation, and then status {status:d}")
def then_invited(context, status):
    before_body, ((got, _, _),) = context.exchange
    head, _, rest = before_body.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), head[:100]
    assert rest.startswith(context.first_body), (len(rest), rest[-100:])
    assert rest.removeprefix(context.first_body).startswith(INVITATION)
    assert got == status
