"""Request bodies: short ones are buffered for retries, long ones are streamed."""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._http.server_connection import ServerConnection

MAX_BUFFERED_BYTES = 65_536


class RequestBody(Struct):
    """The part of a request body that is read before the request is sent."""

    buffered: bytes
    is_complete: bool


async def read_body(caller: ServerConnection) -> RequestBody:
    """Read the body to its end or until more than ``MAX_BUFFERED_BYTES`` are buffered."""
    first_data = await caller.next_body_data()
    if first_data is None:
        return RequestBody(b"", True)
    buffered = bytearray(first_data)
    while len(buffered) <= MAX_BUFFERED_BYTES:
        data = await caller.next_body_data()
        if data is None:
            return RequestBody(bytes(buffered), True)
        buffered += data
    return RequestBody(bytes(buffered), False)
