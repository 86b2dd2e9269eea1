"""Request bodies: short ones are kept for a retry, long ones are streamed."""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._http.server_connection import ServerConnection

MAX_KEPT_BYTES = 65_536


class RequestBody(Struct):
    """The part of a request body that was read before the request was sent."""

    kept: bytes
    is_whole: bool


async def read_body(caller: ServerConnection) -> RequestBody:
    """Read the body to its end or until more than ``MAX_KEPT_BYTES`` came."""
    first = await caller.next_body_data()
    if first is None:
        return RequestBody(b"", True)
    kept = bytearray(first)
    while len(kept) <= MAX_KEPT_BYTES:
        piece = await caller.next_body_data()
        if piece is None:
            return RequestBody(bytes(kept), True)
        kept += piece
    return RequestBody(bytes(kept), False)
