"""A request of a caller whose response is written in the order of its connection."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import curio
import h11

from kingcupusher._http.body_pieces import BodyPieces
from kingcupusher._http.close_reason import CloseReason
from kingcupusher._http.heads import HeaderList, trusted_headers
from kingcupusher._http.request_parsing import END_OF_MESSAGE
from kingcupusher._http.request_reader import ReceivedRequest


class ResponsePipeline(Protocol):
    """The connection that a request came from."""

    close_reason: CloseReason | None

    async def wait_for_turn(self, request: CallerRequest) -> None:
        """Wait until ``request`` is the oldest one without a response."""

    def is_last_response(self, request: CallerRequest) -> bool:
        """Return whether the response to ``request`` needs ``Connection: close``."""

    async def write(self, pieces: Sequence[bytes]) -> None:
        """Write ``pieces`` to the caller, one after the other."""

    async def on_response_written(self, request: CallerRequest) -> None:
        """Let the next response be written."""


class CallerRequest:
    """A buffered request; its response is written in the order of the pipeline."""

    __slots__ = (
        "_connection",
        "_http",
        "_is_responded",
        "_share",
        "body",
        "head",
        "received_ms",
        "task",
    )

    def __init__(self, connection: ResponsePipeline, received: ReceivedRequest) -> None:
        self._connection = connection
        self._http = received.http
        self._is_responded = False
        self.head = received.head
        self.body = received.body
        self._share = received.share
        self.received_ms = received.received_ms
        self.task: curio.Task | None = None

    @property
    def is_response_written(self) -> bool:
        """Whether the complete response was written."""
        return self._is_responded

    @property
    def close_reason(self) -> CloseReason:
        """Why the connection ended; the caller closed it if the entry did not."""
        return self._connection.close_reason or CloseReason.CALLER

    @property
    def ends_connection(self) -> bool:
        """Whether the connection cannot be reused after the response."""
        return self._http.our_state is not h11.DONE

    def release(self) -> None:
        """Free the body and return the request's part of the memory for callers."""
        self.body = BodyPieces()
        self._share.release()

    async def wait_for_earlier_responses(self) -> None:
        """Wait until the responses to all earlier requests of the connection were written."""
        await self._connection.wait_for_turn(self)

    async def respond(
        self, status: int, headers: HeaderList, body: Sequence[bytes], reason: bytes
    ) -> None:
        """Write the response after those to all earlier requests; ``body`` are its pieces."""
        await self._connection.wait_for_turn(self)
        await self._connection.write(self._encode(status, headers, body, reason))
        self._is_responded = True
        await self._connection.on_response_written(self)

    def _encode(
        self, status: int, headers: HeaderList, body: Sequence[bytes], reason: bytes
    ) -> list[bytes]:
        if self._connection.is_last_response(self):
            headers = [*headers, (b"connection", b"close")]
        head = h11.Response(status_code=status, headers=trusted_headers(headers), reason=reason)
        pieces = [self._http.send(head) or b""]
        if self.head.method != b"HEAD":
            pieces += [self._http.send(h11.Data(data=piece)) or b"" for piece in body]
        pieces.append(self._http.send(END_OF_MESSAGE) or b"")
        return pieces if len(body) > 1 else [b"".join(pieces)]
