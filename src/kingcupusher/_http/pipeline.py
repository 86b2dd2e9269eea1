"""Server side of HTTP/1.1 connections with concurrent handling of pipelined requests."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from enum import IntEnum

import curio
import h11

from kingcupusher._core import now_ms
from kingcupusher._http.caller_request import CallerRequest
from kingcupusher._http.caller_resources import REFUSAL_LINGER_TIMEOUT_MS, CallerResources
from kingcupusher._http.close_reason import CloseReason
from kingcupusher._http.errors import BadRequestError, CallerDisconnectedError
from kingcupusher._http.pipeline_limits import PipelineLimits
from kingcupusher._http.refusal import encode_refusal
from kingcupusher._http.request_parsing import NO_DEADLINE_MS
from kingcupusher._http.request_reader import ReadState, RequestReader
from kingcupusher._http.sending import has_received, send_all

MAX_PIPELINED_REQUESTS = 16
LINGER_TIMEOUT_MS = 500.0
"""Time for the caller to close first; closing with unread input would reset the connection."""
WRITE_TIMEOUT_MS = 5_000.0
"""A caller that does not read its response for this long is disconnected."""


class Phase(IntEnum):
    """What a connection still does; it never returns to an earlier phase."""

    OPEN = 0
    """Takes requests and writes responses."""
    FINISHING = 1
    """Takes no further request; writes the responses that are due."""
    CLOSING = 2
    """Writes nothing more; discards input until the caller closes."""


RequestHandler = Callable[[CallerRequest], Awaitable[None]]


class PipelinedConnection:
    """An accepted connection that reads requests ahead and writes responses in request order.

    ``close_reason`` is None until the connection ends. ``unanswered_count`` is how many requests
    were without a response then.
    """

    __slots__ = (
        "_handler",
        "_has_capacity",
        "_linger_end_ms",
        "_linger_ms",
        "_pending",
        "_phase",
        "_reader",
        "_resources",
        "_sock",
        "_turn",
        "close_reason",
        "is_disconnected",
        "is_draining",
        "unanswered_count",
    )

    def __init__(
        self,
        sock: curio.io.Socket,
        *,
        limits: PipelineLimits,
        handler: RequestHandler,
        resources: CallerResources | None = None,
    ) -> None:
        self._sock = sock
        self._handler = handler
        self._pending: deque[CallerRequest] = deque()
        self._resources = resources or CallerResources()
        self._reader = RequestReader(
            sock, self._resources, limits=limits, send=self.write, may_invite=self._may_invite
        )
        self._turn = curio.Condition()
        self._has_capacity = curio.Event()
        self._phase = Phase.OPEN
        self._linger_end_ms: float | None = None
        self._linger_ms = LINGER_TIMEOUT_MS
        self.close_reason: CloseReason | None = None
        self.is_disconnected = False
        self.is_draining = False
        self.unanswered_count = 0

    @property
    def deadline_ms(self) -> float:
        """Time at which :meth:`on_deadline` is due.

        A caller that waits for a response is not idle, so it has no deadline for the next request.
        """
        if self._linger_end_ms is not None:
            return self._linger_end_ms
        is_next_due = self._phase is Phase.OPEN and self._reader.state is not ReadState.WAITING
        if self._pending and not is_next_due:
            return NO_DEADLINE_MS
        return self._reader.deadline_ms

    async def on_deadline(self) -> None:
        """Close the connection; if responses are due, take no further request and close then."""
        if self._reader.is_interrupt_due:
            self._reader.interrupt()
        elif self._pending and self._linger_end_ms is None:
            self._advance(Phase.FINISHING)
        else:
            await self.close(CloseReason.DEADLINE)

    @property
    def is_idle(self) -> bool:
        """Whether it may be closed: nothing is being read, handled, or still on its way."""
        is_waiting = self._reader.state is ReadState.WAITING
        return self._phase is Phase.OPEN and not self._pending and is_waiting

    @property
    def idle_since_ms(self) -> float:
        """Time since which an idle connection has been idle."""
        return self._reader.state_since_ms

    async def close_if_unused(self) -> bool:
        """Close an idle connection for others, unless the caller has sent something meanwhile."""
        if has_received(self._sock):
            return False
        await self.close(CloseReason.CONNECTION_LIMIT)
        return True

    async def run(self) -> None:
        """Serve the connection until it ends; cancel the handlers of a disconnected caller."""
        try:
            await self._read_requests()
            await self._finish_responses()
        except (CallerDisconnectedError, OSError):
            self._mark_disconnected(CloseReason.CALLER)
        finally:
            await self._cancel_handlers()

    def _may_invite(self) -> bool:
        return self._phase is Phase.OPEN and not self._pending

    def _advance(self, phase: Phase) -> None:
        self._phase = max(self._phase, phase)

    def _mark_disconnected(self, reason: CloseReason) -> None:
        self.is_disconnected = True
        self.close_reason = self.close_reason or reason

    async def _read_requests(self) -> None:
        while self._phase is Phase.OPEN:
            try:
                received = await self._reader.read()
            except BadRequestError as error:
                await self._reject(error)
                return
            # The phase may have changed while the request came; its caller will send it again.
            if received is None:
                return
            if self._phase is not Phase.OPEN:
                received.share.release()
                return
            request = CallerRequest(self, received)
            self._pending.append(request)
            if received.http.their_state is h11.MUST_CLOSE:
                self._advance(Phase.FINISHING)
            request.task = await curio.spawn(self._handle, request, daemon=True)
            await self._wait_for_capacity()

    async def _wait_for_capacity(self) -> None:
        while len(self._pending) >= MAX_PIPELINED_REQUESTS and self._phase is Phase.OPEN:
            self._has_capacity.clear()
            await self._has_capacity.wait()

    async def _handle(self, request: CallerRequest) -> None:
        try:
            await self._handler(request)
        except (CallerDisconnectedError, OSError):
            self._mark_disconnected(CloseReason.CALLER)
        finally:
            request.release()
            # If the handler failed, close now: the caller must not wait for its deadline.
            if not request.is_response_written:
                await self.close(CloseReason.FAILED_HANDLER)

    async def wait_for_turn(self, request: CallerRequest) -> None:
        """Wait until ``request`` is the oldest one without a response."""
        async with self._turn:
            while self._pending and self._pending[0] is not request:
                await self._turn.wait()
        if self._phase is Phase.CLOSING or not self._pending:
            raise CallerDisconnectedError("the connection was closed before this response")

    async def on_response_written(self, request: CallerRequest) -> None:
        """Remove ``request`` from the pipeline and let the next response be written."""
        if request.ends_connection:
            self._end_sending()
        async with self._turn:
            if self._pending and self._pending[0] is request:
                self._pending.popleft()
            await self._turn.notify_all()
        if not self._pending and self._phase is Phase.OPEN:
            self._reader.restart_idle_time()
            await self._reader.invite_body()
        await self._has_capacity.set()

    def _end_sending(self) -> None:
        """Send the end of the connection and give the caller time to close first."""
        self._advance(Phase.CLOSING)
        self.close_reason = self.close_reason or CloseReason.LAST_RESPONSE
        self._linger_end_ms = now_ms() + self._linger_ms
        with suppress(OSError):
            self._sock._socket.shutdown(socket.SHUT_WR)

    def is_last_response(self, request: CallerRequest) -> bool:
        """Return whether the response to ``request`` is the last one; if so, end the intake.

        A request that comes after that decision would be run for a caller that gets no response.
        """
        if self._pending[-1] is not request:
            return False
        if self.is_draining:
            self._advance(Phase.FINISHING)
        return self._phase is not Phase.OPEN

    async def write(self, pieces: Sequence[bytes]) -> None:
        """Write ``pieces``; raise :class:`CallerDisconnectedError` on an error or time-out."""
        try:
            async with curio.timeout_after(WRITE_TIMEOUT_MS / 1000.0):
                for piece in pieces:
                    await send_all(self._sock, piece)
        except (OSError, curio.TaskTimeout) as error:
            is_late = isinstance(error, curio.TaskTimeout)
            self._mark_disconnected(CloseReason.UNREAD if is_late else CloseReason.CALLER)
            raise CallerDisconnectedError(f"cannot write to the caller: {error}") from None

    async def _reject(self, error: BadRequestError) -> None:
        """Respond to an invalid request, after all earlier responses."""
        http = self._reader.http
        async with self._turn:
            while self._pending:
                await self._turn.wait()
        if self._phase is Phase.CLOSING or http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self._linger_ms = REFUSAL_LINGER_TIMEOUT_MS
        data = encode_refusal(http, error, self._resources.headers_of_refusal(self._reader.head))
        self._resources.record_refusal(error)
        with suppress(CallerDisconnectedError):
            await self.write([data])

    async def _finish_responses(self) -> None:
        """Wait for the last responses or for the caller to disconnect, then half-close."""
        if self._phase is Phase.CLOSING:
            await self._discard_input()
            return
        disconnect_watcher = await curio.spawn(self._watch_for_disconnect, daemon=True)
        try:
            async with self._turn:
                while self._pending and not self.is_disconnected:
                    await self._turn.wait()
        finally:
            await disconnect_watcher.cancel()
        if not self.is_disconnected:
            self._end_sending()
            await self._discard_input()

    async def _watch_for_disconnect(self) -> None:
        with suppress(OSError):
            await self._discard_input()
        self._mark_disconnected(CloseReason.CALLER)
        async with self._turn:
            await self._turn.notify_all()

    async def _discard_input(self) -> None:
        while await self._reader.receive():
            continue

    async def close(self, reason: CloseReason) -> None:
        """Shut the connection down now; :meth:`run` returns."""
        self._advance(Phase.CLOSING)
        self._mark_disconnected(reason)
        await self._has_capacity.set()
        with suppress(OSError):
            self._sock._socket.shutdown(socket.SHUT_RDWR)

    async def _cancel_handlers(self) -> None:
        self._advance(Phase.CLOSING)
        self.close_reason = self.close_reason or CloseReason.CALLER
        self.unanswered_count = len(self._pending)
        for request in list(self._pending):
            if request.task is not None:
                await request.task.cancel()
            request.release()
        self._pending.clear()
