"""Buffered requests and responses on a pooled connection to a target."""

from __future__ import annotations

from typing import Any

import curio
import h11
from msgspec import Struct

from kingcupusher._http.client_connection import END_OF_MESSAGE, ClientConnection
from kingcupusher._http.errors import ExchangeError
from kingcupusher._http.framing import MAX_INTERIM_RESPONSES, has_conflicting_lengths
from kingcupusher._http.heads import HeaderList, ResponseHead, first_header_value
from kingcupusher._http.response_memory import ResponseMemory, ResponseReservation

MAX_RESPONSE_BYTES = 33_554_432
YIELD_INTERVAL_EVENTS = 256


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


async def read_response(
    connection: ClientConnection,
    *,
    memory: ResponseMemory | None = None,
    max_bytes: int = MAX_RESPONSE_BYTES,
) -> BufferedResponse:
    """Read the next response completely.

    ``memory`` is shared with other responses. Raises :class:`ExchangeError` if the response is
    invalid, or too large for ``max_bytes`` or the memory, and :class:`ResetError` if the
    connection was closed before its end.
    """
    with ResponseReservation(memory or ResponseMemory(max_bytes)) as reservation:
        reader = _ResponseReader(connection, reservation, max_bytes=max_bytes)
        return await reader.read()


class _ResponseReader:
    """Collects the events of one response and bounds what a target may send."""

    __slots__ = ("_body", "_connection", "_event_count", "_head", "_max_bytes", "_reservation")

    def __init__(
        self, connection: ClientConnection, reservation: ResponseReservation, *, max_bytes: int
    ) -> None:
        self._connection = connection
        self._reservation = reservation
        self._max_bytes = max_bytes
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._event_count = 0

    async def read(self) -> BufferedResponse:
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                await self._connection.receive()
                continue
            await self._let_others_run()
            if type(event) is h11.EndOfMessage and self._head is not None:
                head = self._head
                return BufferedResponse(head.status, head.reason, head.headers, bytes(self._body))
            self._on_event(event)

    async def _let_others_run(self) -> None:
        """Yield at intervals, since one read may contain thousands of events."""
        self._event_count += 1
        if self._event_count % YIELD_INTERVAL_EVENTS == 0:
            await curio.sleep(0)

    def _on_event(self, event: Any) -> None:
        if type(event) is h11.Data:
            self._add(event.data)
        elif type(event) is h11.Response:
            self._head = ResponseHead.of(event)
            _check_framing(self._head, self._connection)
        elif self._event_count > MAX_INTERIM_RESPONSES:
            raise ExchangeError(f"{self._connection.address} sent only interim responses")

    def _add(self, data: bytes) -> None:
        size_bytes = len(self._body) + len(data)
        self._check_size(size_bytes)
        if not self._reservation.try_grow(size_bytes):
            raise ExchangeError(
                f"response from {self._connection.address} exceeds the memory for responses"
            )
        self._body += data

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > self._max_bytes:
            raise ExchangeError(
                f"response from {self._connection.address} exceeds {self._max_bytes} bytes"
            )


def _check_framing(head: ResponseHead, connection: ClientConnection) -> None:
    if has_conflicting_lengths(head.headers):
        raise ExchangeError(f"response from {connection.address} has conflicting lengths")
