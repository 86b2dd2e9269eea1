"""Whole requests and responses on a kept connection to a target."""

from __future__ import annotations

import h11
from msgspec import Struct

from kingcupusher._http.client_connection import END, ClientConnection
from kingcupusher._http.errors import ExchangeError
from kingcupusher._http.framing import has_two_lengths
from kingcupusher._http.heads import HeaderList, ResponseHead, first_header_value

MAX_RESPONSE_BYTES = 33_554_432


class BufferedResponse(Struct):
    """A response whose end was seen; header names are in lower case."""

    status: int
    reason: bytes
    headers: HeaderList
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of the header ``name``, or None."""
        return first_header_value(self.headers, name)


def encode_request(
    connection: ClientConnection, method: bytes, path: bytes, headers: HeaderList, body: bytes
) -> bytes:
    """Return the bytes of a whole request."""
    data = connection.encode_head(method, path, headers)
    if body:
        data += connection.encode(h11.Data(data=body))
    return data + connection.encode(END)


async def read_response(connection: ClientConnection) -> BufferedResponse:
    """Read the next response to its end.

    Raises :class:`ExchangeError` if it is not valid or too large, and :class:`ResetError` if the
    connection ended before it was complete.
    """
    head: ResponseHead | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            await connection.fill()
        elif type(event) is h11.Response:
            head = ResponseHead.of(event)
            _check_framing(head, connection)
        elif type(event) is h11.Data:
            body += event.data
            if len(body) > MAX_RESPONSE_BYTES:
                raise ExchangeError(
                    f"response of {connection.address} is over {MAX_RESPONSE_BYTES} bytes"
                )
        elif type(event) is h11.EndOfMessage and head is not None:
            return BufferedResponse(head.status, head.reason, head.headers, bytes(body))


def _check_framing(head: ResponseHead, connection: ClientConnection) -> None:
    if has_two_lengths(head.headers):
        raise ExchangeError(f"response of {connection.address} has two lengths")
