"""Reads the requests of one connection, one after the other."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from enum import Enum

import curio
import h11
from curio.traps import _read_wait
from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._http.body_pieces import BodyPieces
from kingcupusher._http.caller_resources import (
    READING_BYTES,
    TOO_LARGE_STATUS,
    CallerResources,
    head_bytes,
    memory_used_up,
)
from kingcupusher._http.errors import BadRequestError
from kingcupusher._http.heads import RequestHead
from kingcupusher._http.memory_budget import MemoryShare
from kingcupusher._http.pipeline_limits import PipelineLimits
from kingcupusher._http.request_parsing import (
    CONTINUE,
    NO_DEADLINE_MS,
    READ_BYTES,
    checked_request_head,
    next_event,
)

MAX_TURN_EVENTS = 32
MAX_TURN_BYTES = 65_536
"""A longer body is read on in its next turn."""
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
    """A complete request, and the parser that encodes its response.

    The owner releases ``share``, its part of the memory for callers, when the request has ended.
    """

    http: h11.Connection
    head: RequestHead
    body: BodyPieces
    received_ms: float
    share: MemoryShare


class RequestReader:
    """Reads requests from a socket and keeps the deadline for what the caller sends next.

    A caller that expects an interim response gets it once ``may_invite`` tells that no response to
    an earlier request is due, or from :meth:`invite_body` when the last of these was written.

    An h11 parser stops after a request until its response was sent, so each request gets a new
    parser that starts with the bytes after the previous request. ``http`` is the current one.
    """

    __slots__ = (
        "_body",
        "_head_bytes",
        "_is_evicted",
        "_limits",
        "_may_invite",
        "_resources",
        "_send",
        "_share",
        "_sock",
        "_turn_bytes",
        "_turn_events",
        "_unparsed",
        "deadline_ms",
        "head",
        "http",
        "is_interrupt_due",
        "state",
        "state_since_ms",
    )

    def __init__(
        self,
        sock: curio.io.Socket,
        resources: CallerResources,
        *,
        limits: PipelineLimits,
        send: Callable[[Sequence[bytes]], Awaitable[None]],
        may_invite: Callable[[], bool],
    ) -> None:
        self._sock = sock
        self._limits = limits
        self._resources = resources
        self._share = MemoryShare(resources.budget)
        self._body = BodyPieces()
        self._head_bytes = 0
        self._is_evicted = False
        self._turn_bytes = self._turn_events = 0
        self.head: RequestHead | None = None
        self.is_interrupt_due = False
        self._send = send
        self._may_invite = may_invite
        self._unparsed = b""
        self.http = h11.Connection(h11.SERVER, limits.max_head_bytes)
        self._enter(ReadState.WAITING)

    def _enter(self, state: ReadState) -> None:
        self.state = state
        self.state_since_ms = now_ms()
        self.deadline_ms = self.state_since_ms + TIMEOUT_MS[state](self._limits)

    def restart_idle_time(self) -> None:
        """Count the idle time from now, unless a part of the next request was received."""
        if self.state is ReadState.WAITING:
            self._enter(ReadState.WAITING)

    async def read(self) -> ReceivedRequest | None:
        """Return the next request, or None if the caller closed before it began one.

        Raises :class:`BadRequestError` if the request is rejected.
        """
        self._share = MemoryShare(self._resources.budget)
        self._body = BodyPieces()
        self._head_bytes = 0
        self.head = None
        try:
            received = await self._read()
        except BaseException:
            self._discard()
            raise
        if received is None:
            self._discard()
        return received

    def _discard(self) -> None:
        """Free the request at once; the error that ends it may refer to this reader."""
        self._body = BodyPieces()
        self._share.release()

    async def _read(self) -> ReceivedRequest | None:
        self.http = h11.Connection(h11.SERVER, self._limits.max_head_bytes)
        received_ms = now_ms()
        if self._unparsed:
            self._enter(ReadState.HEAD)
            self.http.receive_data(self._unparsed)
            self._unparsed = b""
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
        self.head = head
        self._head_bytes = head_bytes(head)
        self._reserve(0)
        self._resources.check_announced_length(head, max_body_bytes=self._limits.max_body_bytes)
        self._enter(ReadState.BODY)
        if not await self._read_body():
            return None
        self._share.complete()
        self._share.shrink(self._head_bytes + self._body.size_bytes)
        self._unparsed = self.http.trailing_data[0]
        self._enter(ReadState.WAITING)
        return ReceivedRequest(self.http, head, self._body, received_ms, self._share)

    async def _read_head(self) -> RequestHead | None:
        while (event := next_event(self.http)) is h11.NEED_DATA:
            self._share.begin_reading(self._evict)
            self._reserve(self._limits.max_head_bytes)
            data = await self.receive()
            self._check_not_evicted()
            self.http.receive_data(data)
        return checked_request_head(event) if type(event) is h11.Request else None

    async def _read_body(self) -> bool:
        """Read the body; return False if the caller closed before its end."""
        self._turn_bytes = self._turn_events = 0
        while type(event := next_event(self.http)) is not h11.EndOfMessage:
            if event is h11.NEED_DATA:
                await self._receive_body_data()
            elif type(event) is h11.Data:
                self._add(event.data)
                await self._let_others_run()
            else:
                return False
        return True

    async def _receive_body_data(self) -> None:
        self._share.begin_reading(self._evict)
        self._reserve(READING_BYTES + self._body.size_bytes)
        if self.http.they_are_waiting_for_100_continue:
            self._enter(ReadState.UNINVITED)
            if self._may_invite():
                await self.invite_body()
        data = await self.receive()
        self._check_not_evicted()
        self.http.receive_data(data)
        self._extend_body_deadline(self._body.size_bytes)

    def _add(self, data: bytes) -> None:
        size_bytes = self._body.size_bytes + len(data)
        if size_bytes > self._limits.max_body_bytes:
            raise BadRequestError(TOO_LARGE_STATUS, "the request body is too large")
        self._reserve(size_bytes)
        self._body.append(data)
        self._turn_bytes += len(data)

    def _reserve(self, body_bytes: int) -> None:
        if not self._share.try_grow(self._head_bytes + body_bytes):
            raise memory_used_up()

    async def _let_others_run(self) -> None:
        """Wait for a turn at intervals: one read may contain thousands of chunks."""
        self._turn_events += 1
        if self._turn_events < MAX_TURN_EVENTS and self._turn_bytes < MAX_TURN_BYTES:
            return
        self._turn_events = self._turn_bytes = 0
        await self._share.wait_for_turn()
        self._check_not_evicted()

    def _evict(self) -> None:
        """Give up the request, because others need the memory.

        A caller that goes on sending is refused at its next bytes, the others by
        :meth:`interrupt` at the next check of the deadlines.
        """
        self._is_evicted = self.is_interrupt_due = True
        self._body = BodyPieces()
        self.deadline_ms = 0.0

    def _check_not_evicted(self) -> None:
        if self._is_evicted:
            self._end_interrupt()
            raise memory_used_up()

    def interrupt(self) -> None:
        """Wake the task that waits for bytes of an evicted request."""
        self._end_interrupt()
        with suppress(OSError):
            self._sock._socket.shutdown(socket.SHUT_RD)

    def _end_interrupt(self) -> None:
        """Set a deadline that leaves time to write the refusal."""
        self.is_interrupt_due = False
        self.deadline_ms = now_ms() + TIMEOUT_MS[ReadState.BODY](self._limits)

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
        slowest_ms = self.state_since_ms + received_bytes / MIN_BODY_BYTES_PER_MS
        self.deadline_ms = min(now_ms(), slowest_ms) + timeout_ms

    async def receive(self) -> bytes:
        """Return the bytes that the caller sends next, none if it closed."""
        await _read_wait(self._sock._fileno)
        data: bytes = await self._sock.recv(READ_BYTES)
        return data
