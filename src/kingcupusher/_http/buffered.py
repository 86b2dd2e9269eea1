"""Buffered requests and responses on a pooled connection to a target."""

from __future__ import annotations

import h11
from msgspec import Struct

from kingcupusher._http.client_connection import END_OF_MESSAGE, ClientConnection
from kingcupusher._http.errors import ExchangeError
from kingcupusher._http.framing import has_conflicting_lengths
from kingcupusher._http.heads import HeaderList, ResponseHead, first_header_value

MAX_RESPONSE_BYTES = 33_554_432


class BufferedResponse(Struct):
    """A complete response; header names are in lower case."""

    status: int
    reason: bytes
    headers: HeaderList
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of the header ``name``, or ``None``."""
        return first_header_value(self.headers, name)


def encode_request(
    connection: ClientConnection, method: bytes, path: bytes, headers: HeaderList, body: bytes
) -> bytes:
    """Encode a request with its body."""
    data = connection.encode_head(method, path, headers)
    if body:
        data += connection.encode(h11.Data(data=body))
    return data + connection.encode(END_OF_MESSAGE)


async def read_response(connection: ClientConnection) -> BufferedResponse:
    """Read the next response completely.

    Raises :class:`ExchangeError` if it is invalid or too large, and :class:`ResetError` if the
    connection was closed before its end.
    """
    head: ResponseHead | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            await connection.receive()
        elif type(event) is h11.Response:
            head = ResponseHead.of(event)
            _check_framing(head, connection)
        elif type(event) is h11.Data:
            body += event.data
            if len(body) > MAX_RESPONSE_BYTES:
                raise ExchangeError(
                    f"response from {connection.address} exceeds {MAX_RESPONSE_BYTES} bytes"
                )
        elif type(event) is h11.EndOfMessage and head is not None:
            return BufferedResponse(head.status, head.reason, head.headers, bytes(body))


def _check_framing(head: ResponseHead, connection: ClientConnection) -> None:
    if has_conflicting_lengths(head.headers):
        raise ExchangeError(f"response from {connection.address} has conflicting lengths")
