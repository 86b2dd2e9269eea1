"""Reads the requests of one connection, one after the other."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from enum import Enum

import curio
import h11
from curio.traps import _read_wait
from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._http.errors import BadRequestError
from kingcupusher._http.heads import RequestHead
from kingcupusher._http.pipeline_limits import PipelineLimits
from kingcupusher._http.request_parsing import (
    CONTINUE,
    NO_DEADLINE_MS,
    READ_BYTES,
    checked_request_head,
    next_event,
)

MIN_BODY_BYTES_PER_MS = 1.0
"""Slower uploads are cut, so that a caller cannot hold its part of a body without end."""


class ReadState(Enum):
    """Which part of a request the caller has to send next."""

    WAITING = "nothing of the next request was received"
    HEAD = "the request head is incomplete"
    BODY = "the request body is incomplete"
    UNINVITED = "the caller waits with the body for an interim response"


TIMEOUT_MS: dict[ReadState, Callable[[PipelineLimits], float]] = {
    ReadState.WAITING: lambda limits: limits.idle_timeout_ms,
    ReadState.HEAD: lambda limits: limits.head_timeout_ms,
    ReadState.BODY: lambda limits: max(limits.head_timeout_ms, limits.idle_timeout_ms),
    ReadState.UNINVITED: lambda limits: NO_DEADLINE_MS,  # noqa: ARG005
}


class ReceivedRequest(Struct):
    """A complete request, and the parser that encodes its response."""

    http: h11.Connection
    head: RequestHead
    body: bytes
    received_ms: float


class RequestReader:
    """Reads requests from a socket and keeps the deadline for what the caller sends next.

    A caller that expects an interim response gets it once ``may_invite`` tells that no response to
    an earlier request is due, or from :meth:`invite_body` when the last of these was written.

    An h11 parser stops after a request until its response was sent, so each request gets a new
    parser that starts with the bytes after the previous request. ``http`` is the current one.
    """

    __slots__ = (
        "_limits",
        "_may_invite",
        "_send",
        "_sock",
        "_state_since_ms",
        "_unparsed",
        "deadline_ms",
        "http",
        "state",
    )

    def __init__(
        self,
        sock: curio.io.Socket,
        *,
        limits: PipelineLimits,
        send: Callable[[Sequence[bytes]], Awaitable[None]],
        may_invite: Callable[[], bool],
    ) -> None:
        self._sock = sock
        self._limits = limits
        self._send = send
        self._may_invite = may_invite
        self._unparsed = b""
        self.http = h11.Connection(h11.SERVER, limits.max_head_bytes)
        self._enter(ReadState.WAITING)

    def _enter(self, state: ReadState) -> None:
        self.state = state
        self._state_since_ms = now_ms()
        self.deadline_ms = self._state_since_ms + TIMEOUT_MS[state](self._limits)

    def restart_idle_time(self) -> None:
        """Count the idle time from now, unless a part of the next request was received."""
        if self.state is ReadState.WAITING:
            self._enter(ReadState.WAITING)

    async def read(self) -> ReceivedRequest | None:
        """Return the next request, or None if the caller closed before it began one.

        Raises :class:`BadRequestError` if the request is rejected.
        """
        self.http = h11.Connection(h11.SERVER, self._limits.max_head_bytes)
        received_ms = now_ms()
        if self._unparsed:
            self._enter(ReadState.HEAD)
            self.http.receive_data(self._unparsed)
        else:
            self._enter(ReadState.WAITING)
            data = await self.receive()
            if not data:
                return None
            received_ms = now_ms()
            self._enter(ReadState.HEAD)
            self.http.receive_data(data)
        head = await self._read_head()
        if head is None:
            return None
        self._enter(ReadState.BODY)
        body = await self._read_body()
        if body is None:
            return None
        self._unparsed = self.http.trailing_data[0]
        self._enter(ReadState.WAITING)
        return ReceivedRequest(self.http, head, body, received_ms)

    async def _read_head(self) -> RequestHead | None:
        while (event := next_event(self.http)) is h11.NEED_DATA:
            self.http.receive_data(await self.receive())
        return checked_request_head(event) if type(event) is h11.Request else None

    async def _read_body(self) -> bytes | None:
        body = bytearray()
        while type(event := next_event(self.http)) is not h11.EndOfMessage:
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    self._enter(ReadState.UNINVITED)
                    if self._may_invite():
                        await self.invite_body()
                self.http.receive_data(await self.receive())
                self._extend_body_deadline(len(body))
            elif type(event) is h11.Data:
                body += event.data
                if len(body) > self._limits.max_body_bytes:
                    raise BadRequestError(413, "the request body is too large")
            else:
                return None
        return bytes(body)

    async def invite_body(self) -> None:
        """Send the interim response that the caller waits for, if it waits for one."""
        if self.state is ReadState.UNINVITED and self.http.they_are_waiting_for_100_continue:
            self._enter(ReadState.BODY)
            await self._send([self.http.send(CONTINUE) or b""])

    def _extend_body_deadline(self, received_bytes: int) -> None:
        """Allow another pause, unless the body has come too slowly since it began."""
        if self.state is not ReadState.BODY:
            # The caller did not wait for the interim response.
            self._enter(ReadState.BODY)
        timeout_ms = TIMEOUT_MS[ReadState.BODY](self._limits)
        slowest_ms = self._state_since_ms + received_bytes / MIN_BODY_BYTES_PER_MS
        self.deadline_ms = min(now_ms(), slowest_ms) + timeout_ms

    async def receive(self) -> bytes:
        """Return the bytes that the caller sends next, none if it closed."""
        await _read_wait(self._sock._fileno)
        data: bytes = await self._sock.recv(READ_BYTES)
        return data
