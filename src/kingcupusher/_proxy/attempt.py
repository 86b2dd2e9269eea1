"""One attempt: sends a request to one target and forwards the response to the caller."""

from __future__ import annotations

from typing import Any

import curio
import h11
from msgspec import Struct

from kingcupusher._core import KingcupusherError, now_ms
from kingcupusher._http.client_connection import ClientConnection
from kingcupusher._http.errors import (
    BadRequestError,
    CallerDisconnectedError,
    ExchangeError,
    ResetError,
)
from kingcupusher._http.framing import MAX_INTERIM_RESPONSES
from kingcupusher._http.heads import ResponseHead
from kingcupusher._http.pool import ConnectionPool
from kingcupusher._http.server_connection import ServerConnection
from kingcupusher._proxy.body import RequestBody
from kingcupusher._proxy.classify import ProxyRequest
from kingcupusher._proxy.error_events import event_of
from kingcupusher._proxy.errors import NotSentError, RefusedError
from kingcupusher._proxy.headers import request_headers, response_headers
from kingcupusher._proxy.load_balancer import (
    LoadBalancer,
    ResetEvent,
    ResponseEvent,
    TargetEvent,
)
from kingcupusher._proxy.load_report import LoadReport, parse_load_report
from kingcupusher._proxy.response_checks import check_request_id, check_response
from kingcupusher._proxy.response_timeouts import ResponseTimeouts

# After this time without a connection, another target is tried.
CONNECT_TIMEOUT_MS = 1_000.0
END_OF_MESSAGE = h11.EndOfMessage()
MAX_BATCH_EVENTS = 64
"""Other tasks run after so many events of a response; one read may contain thousands."""
MIN_FORWARDED_INFORMATIONAL_STATUS = 102


class Destination(Struct, kw_only=True):
    """A target, or another entry when ``target_id`` is ``None``."""

    target_id: str | None
    pool: ConnectionPool


class Attempt:
    """One attempt; after :meth:`run`, its public attributes describe its progress."""

    __slots__ = (
        "_body",
        "_caller",
        "_load_balancer",
        "_load",
        "_destination",
        "_request",
        "_body_sender",
        "_timeouts",
        "_started_ms",
        "_status",
        "is_head_forwarded",
        "is_stale",
        "is_request_written",
        "request_body_error",
    )

    def __init__(
        self,
        destination: Destination,
        request: ProxyRequest,
        body: RequestBody,
        *,
        caller: ServerConnection,
        load_balancer: LoadBalancer,
        response_timeouts: ResponseTimeouts,
    ) -> None:
        self._destination = destination
        self._timeouts = response_timeouts
        self._request = request
        self._body = body
        self._caller = caller
        self._load_balancer = load_balancer
        self._started_ms = now_ms()
        self._load: LoadReport | None = None
        self._status = 0
        self._body_sender: curio.Task | None = None
        self.request_body_error: KingcupusherError | None = None
        self.is_request_written = False
        self.is_stale = False
        self.is_head_forwarded = False

    async def run(self) -> None:
        """Send the request and forward the response.

        Raises :class:`NotSentError` or :class:`ConnectError` if nothing was written,
        :class:`RefusedError` if the target refused, :class:`ExchangeError` if the outcome is
        unknown, and :class:`CallerDisconnectedError`.
        """
        event: type[TargetEvent] = ResponseEvent
        try:
            await self._acquire_and_exchange()
        except BaseException as error:
            event = event_of(error)
            raise
        finally:
            self._report(event)

    async def _acquire_and_exchange(self) -> None:
        connection = await self._acquire()
        is_complete = False
        try:
            await self._exchange(connection)
            is_complete = True
        except RefusedError:
            is_complete = True
            raise
        except ResetError as error:
            if self._caller.is_disconnected:
                raise CallerDisconnectedError("the caller closed before the response") from error
            raise
        finally:
            self._caller.on_disconnect = None
            self.is_stale = connection.is_stale()
            await self._release(connection, is_complete)

    async def _release(self, connection: ClientConnection, is_complete: bool) -> None:
        try:
            if self._body_sender is not None:
                await self._body_sender.cancel()
        finally:
            # The deadline may pass during the wait above; the connection must still be released.
            await self._destination.pool.release(connection, reusable=is_complete)

    def _report(self, event_type: type[TargetEvent]) -> None:
        target_id = self._destination.target_id
        if target_id is None:
            return
        current_ms = now_ms()
        extra: dict[str, Any] = {}
        if event_type is ResponseEvent:
            extra["status"] = self._status
        elif event_type is ResetEvent:
            extra["is_stale"] = self.is_stale
        event = event_type(
            service=self._request.service.name,
            target_id=target_id,
            at_ms=current_ms,
            elapsed_ms=current_ms - self._started_ms,
            load=self._load,
            **extra,
        )
        self._load_balancer.report(event)

    async def _acquire(self) -> ClientConnection:
        deadline_ms = min(self._request.deadline_ms, now_ms() + CONNECT_TIMEOUT_MS)
        return await self._destination.pool.acquire(
            recent_only=not self._request.is_idempotent, deadline_ms=deadline_ms
        )

    async def _exchange(self, connection: ClientConnection) -> None:
        data = self._encode_request(connection)
        self._check_before_write()

        self._caller.on_disconnect = connection.cancel
        self.is_request_written = True
        await connection.send(data)
        if not self._body.is_complete:
            self._body_sender = await curio.spawn(self._send_remaining_body, connection)
        head = await self._read_head_in_time(connection)
        await self._forward_response(connection, head)

    async def _read_head_in_time(self, connection: ClientConnection) -> ResponseHead:
        """Return the response head; apply the attempt time-out if the request can be retried."""
        timeout_ms = self._request.service.request.attempt_timeout_ms
        if timeout_ms is None or not self._request.is_idempotent or not self._body.is_complete:
            return await self._read_head(connection)
        self._timeouts.start(connection, deadline_ms=now_ms() + timeout_ms)
        try:
            head = await self._read_head(connection)
        except ResetError as error:
            if self._timeouts.cancel(connection):
                raise
            raise ExchangeError(f"{self._destination.pool.address} did not respond") from error
        except BaseException:
            self._timeouts.cancel(connection)
            raise
        self._timeouts.cancel(connection)
        return head

    def _encode_request(self, connection: ClientConnection) -> bytes:
        request = self._request
        remaining_ms = max(0, int(request.deadline_ms - now_ms()))
        headers = request_headers(
            request, remaining_ms=remaining_ms, handoff=self._destination.target_id is None
        )
        data = connection.encode_head(request.head.method, request.head.target, headers)
        if self._body.buffered:
            data += connection.encode(h11.Data(data=self._body.buffered))
        if self._body.is_complete:
            data += connection.encode(END_OF_MESSAGE)
        return data

    def _check_before_write(self) -> None:
        """Check again what may have changed while connecting or while the process was paused."""
        current_ms = now_ms()
        if self._caller.is_disconnected:
            raise CallerDisconnectedError("the caller closed before its request was sent")
        if current_ms >= self._request.deadline_ms:
            raise NotSentError("the deadline passed before the request was sent")
        target_id = self._destination.target_id
        if target_id is not None and not self._load_balancer.may_send(target_id, now_ms=current_ms):
            raise NotSentError(f"requests may no longer be sent to {target_id}")

    async def _send_remaining_body(self, connection: ClientConnection) -> None:
        try:
            while (chunk := await self._caller.next_body_data()) is not None:
                await connection.send(connection.encode(h11.Data(data=chunk)))
            await connection.send(connection.encode(END_OF_MESSAGE))
        except BadRequestError as error:
            self.request_body_error = error
            connection.abort()
        except CallerDisconnectedError:
            connection.abort()
        except ResetError:
            # The target may have responded before it closed; the response takes precedence.
            return

    async def _read_head(self, connection: ClientConnection) -> ResponseHead:
        await connection.receive()
        interim_count = 0
        while interim_count <= MAX_INTERIM_RESPONSES:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                await connection.receive()
                continue
            if type(event) is h11.Response:
                head = ResponseHead.of(event)
                self._check_response(head, connection)
                return head
            interim_count += 1
            if event.status_code >= MIN_FORWARDED_INFORMATIONAL_STATUS:
                await self._caller.send_information(event)
        raise ExchangeError(f"{connection.address} sent only interim responses")

    def _check_response(self, head: ResponseHead, connection: ClientConnection) -> None:
        self._status = head.status
        for name, value in head.headers:
            if name == b"x-target-load":
                self._load = parse_load_report(value)
        if self._destination.target_id is not None:
            check_request_id(head, connection, self._request.request_id)
        check_response(head, connection, self._request.head.method)

    async def _forward_response(self, connection: ClientConnection, head: ResponseHead) -> None:
        """Forward the response with one write per batch of received bytes."""
        batch: list[Any] = [head]
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                await self._send_to_caller(batch)
                batch = []
                await connection.receive()
                continue
            batch.append(event)
            if type(event) is h11.EndOfMessage:
                break
            if len(batch) >= MAX_BATCH_EVENTS:
                await self._send_to_caller(batch)
                batch = []
                await curio.sleep(0)
        await self._send_to_caller(batch)

    async def _send_to_caller(self, events: list[Any]) -> None:
        if not events:
            return
        data = b"".join([self._encode_response(event) for event in events])
        self.is_head_forwarded = True
        await self._caller.send(data)

    def _encode_response(self, event: Any) -> bytes:
        if type(event) is ResponseHead:
            is_from_target = self._destination.target_id is not None
            headers = response_headers(event.headers, is_from_target=is_from_target)
            return self._caller.encode_head(event.status, headers, event.reason)
        if type(event) is h11.EndOfMessage:
            return self._caller.encode_end(event)
        return self._caller.encode(event)
