"""Buffered requests and responses on a pooled connection to a target."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import h11
from msgspec import Struct

from kingcupusher._http.body_pieces import BodyPieces
from kingcupusher._http.client_connection import END_OF_MESSAGE, ClientConnection
from kingcupusher._http.errors import ExchangeError, ResponseTooLargeError
from kingcupusher._http.framing import MAX_INTERIM_RESPONSES, has_conflicting_lengths
from kingcupusher._http.heads import HeaderList, ResponseHead, first_header_value
from kingcupusher._http.response_budget import ResponseBudget, ResponseShare

MAX_RESPONSE_BYTES = 33_554_432
MAX_TURN_EVENTS = 32
MAX_TURN_BYTES = 65_536
"""A longer response is read on in its next turn."""


class BufferedResponse(Struct):
    """A complete response; header names are in lower case."""

    status: int
    reason: bytes
    headers: HeaderList
    body: BodyPieces

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of the header ``name``, or ``None``."""
        return first_header_value(self.headers, name)


def encode_request(
    connection: ClientConnection, method: bytes, path: bytes, headers: HeaderList, body: bytes
) -> bytes:
    """Encode a request with its body."""
    return b"".join(encode_in_pieces(connection, method, path, headers, [body] if body else []))


def encode_in_pieces(
    connection: ClientConnection,
    method: bytes,
    path: bytes,
    headers: HeaderList,
    body: Sequence[bytes],
) -> list[bytes]:
    """Encode a request whose length is known; a body of several pieces is not copied."""
    pieces = [connection.encode_head(method, path, headers)]
    pieces += [connection.encode(h11.Data(data=piece)) for piece in body]
    pieces.append(connection.encode(END_OF_MESSAGE))
    return pieces if len(body) > 1 else [b"".join(pieces)]


async def read_response(
    connection: ClientConnection,
    *,
    share: ResponseShare | None = None,
    max_bytes: int = MAX_RESPONSE_BYTES,
) -> BufferedResponse:
    """Read the next response completely.

    ``share`` is the response's part of a budget, which the caller releases once it has no more use
    for the response. Raises :class:`ResponseTooLargeError` if the response exceeds ``max_bytes`` or
    the budget, :class:`ExchangeError` if it is invalid, and :class:`ResetError` if the connection
    was closed before its end.
    """
    share = share or ResponseShare(ResponseBudget(2 * max_bytes))
    reader = _ResponseReader(connection, share, max_bytes=max_bytes)
    share.begin_reading(reader.evict)
    try:
        return await reader.read()
    except BaseException:
        reader.discard_body()
        raise
    finally:
        share.complete()


class _ResponseReader:
    """Collects the events of one response and bounds what a target may send."""

    __slots__ = (
        "_body",
        "_connection",
        "_event_count",
        "_head",
        "_is_evicted",
        "_max_bytes",
        "_share",
        "_turn_bytes",
        "_turn_events",
    )

    def __init__(
        self, connection: ClientConnection, share: ResponseShare, *, max_bytes: int
    ) -> None:
        self._connection = connection
        self._share = share
        self._is_evicted = False
        self._max_bytes = max_bytes
        self._head: ResponseHead | None = None
        self._body = BodyPieces()
        self._event_count = 0
        self._turn_bytes = 0
        self._turn_events = 0

    def evict(self) -> None:
        """Give up the response, because others need the memory."""
        self._is_evicted = True
        self.discard_body()
        self._connection.abort()

    def discard_body(self) -> None:
        """Free the body at once; the error that ends the response may refer to this reader."""
        self._body = BodyPieces()

    async def read(self) -> BufferedResponse:
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                await self._receive()
                continue
            await self._let_others_run()
            if type(event) is h11.EndOfMessage and self._head is not None:
                head = self._head
                return BufferedResponse(head.status, head.reason, head.headers, self._body)
            self._on_event(event)

    async def _receive(self) -> None:
        try:
            await self._connection.receive()
        except ExchangeError:
            self._check_not_evicted()
            raise
        self._check_not_evicted()

    def _check_not_evicted(self) -> None:
        if self._is_evicted:
            raise ResponseTooLargeError(
                f"response from {self._connection.address} was the largest when the memory for"
                " responses was used up"
            )

    async def _let_others_run(self) -> None:
        """Wait for a turn at intervals: one read may contain thousands of events."""
        self._event_count += 1
        self._turn_events += 1
        if self._turn_events < MAX_TURN_EVENTS and self._turn_bytes < MAX_TURN_BYTES:
            return
        self._turn_events = self._turn_bytes = 0
        await self._share.wait_for_turn()
        self._check_not_evicted()

    def _on_event(self, event: Any) -> None:
        if type(event) is h11.Data:
            self._add(event.data)
        elif type(event) is h11.Response:
            self._head = ResponseHead.of(event)
            _check_framing(self._head, self._connection)
        elif self._event_count > MAX_INTERIM_RESPONSES:
            raise ExchangeError(f"{self._connection.address} sent only interim responses")

    def _add(self, data: bytes) -> None:
        size_bytes = self._body.size_bytes + len(data)
        if size_bytes > self._max_bytes:
            raise ResponseTooLargeError(
                f"response from {self._connection.address} exceeds {self._max_bytes} bytes"
            )
        if not self._share.try_grow(size_bytes):
            raise ResponseTooLargeError(
                f"response from {self._connection.address} exceeds the memory for responses"
            )
        self._body.append(data)
        self._turn_bytes += len(data)


def _check_framing(head: ResponseHead, connection: ClientConnection) -> None:
    if has_conflicting_lengths(head.headers):
        raise ExchangeError(f"response from {connection.address} has conflicting lengths")
