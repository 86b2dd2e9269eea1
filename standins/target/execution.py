"""Execution of one request in the slots of a target."""

from __future__ import annotations

import curio
from msgspec import Struct

from kingcupusher._core import now_ms
from standins import content, timers
from standins.target.activity_log import Execution, Progress
from standins.target.simulated_server import SimulatedServer

TIMEOUT_MS_HEADER = b"x-request-timeout-ms"
DEFAULT_TIMEOUT_MS = 60_000.0
DEFAULT_RESPONSE_BYTES = 100
MAX_RESPONSE_BYTES = 10_000_000


class ConnectCost(Struct):
    """Slot time of connection setup, charged to the first work that the connection runs."""

    pending_ms: float

    def consume(self) -> float:
        """Return the pending slot time and reset it to 0."""
        pending_ms, self.pending_ms = self.pending_ms, 0.0
        return pending_ms


class Request(Struct):
    """A complete request as a target received it."""

    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes
    received_ms: float
    connect_cost: ConnectCost

    @property
    def request_id(self) -> bytes:
        """Identifier of the request in the execution log; empty if there is none."""
        return self.headers.get(content.REQUEST_ID_HEADER, b"")

    @property
    def deadline_ms(self) -> float:
        """Time at which the timeout of the caller ends."""
        return self.received_ms + _read_number(self.headers, TIMEOUT_MS_HEADER, DEFAULT_TIMEOUT_MS)

    @property
    def service_time_ms(self) -> float | None:
        """Service time given in the request header, or None."""
        value = _read_number(self.headers, content.SERVICE_TIME_MS_HEADER, -1.0)
        return value if value >= 0 else None

    @property
    def response_bytes(self) -> int:
        """Length of the response body, from the request header or the default."""
        value = _read_number(self.headers, content.RESPONSE_BYTES_HEADER, DEFAULT_RESPONSE_BYTES)
        return min(int(value), MAX_RESPONSE_BYTES)


class Response(Struct):
    """Response of a target before it is encoded."""

    status: int
    body: bytes
    outcome: bytes | None = None
    digest: bytes | None = None
    load: str | None = None


class FellOverError(Exception):
    """Raised when a request overloads a cold target; its connection is reset."""


NOT_RUN = b"not-run"
UNKNOWN = b"unknown"


def _read_number(headers: dict[bytes, bytes], name: bytes, default: float) -> float:
    try:
        return float(headers[name])
    except (KeyError, ValueError):
        return default


def _not_run_response(reason: bytes) -> Response:
    return Response(503, reason, outcome=NOT_RUN)


async def execute(server: SimulatedServer, request: Request) -> Response:
    """Run a request in a slot, or refuse it before it starts."""
    counters = server.activity_log.counters
    counters.requests += 1
    counters.last_request_ms = request.received_ms
    if server.draining:
        counters.refused_draining += 1
        return _not_run_response(b"draining\n")
    if server.faults.fail_fast:
        counters.failed_fast += 1
        return Response(500, b"internal error\n")
    server.cold_start.on_arrival(at_ms=now_ms())
    server.record_state()
    cold_start = server.cold_start
    try:
        await _check_concurrency(server)
        return await _wait_and_run(server, request)
    finally:
        cold_start.on_departure(at_ms=now_ms())
        server.record_state()


async def _check_concurrency(server: SimulatedServer) -> None:
    counters = server.activity_log.counters
    at_ms = now_ms()
    in_flight = server.cold_start.in_flight
    counters.max_concurrency = max(counters.max_concurrency, in_flight)
    if not server.cold_start.is_cold(at_ms=at_ms):
        return
    counters.max_concurrency_cold = max(counters.max_concurrency_cold, in_flight)
    if in_flight > server.cold_start.concurrency_limit(at_ms=at_ms):
        await server.fall_over()
        raise FellOverError


async def _wait_and_run(server: SimulatedServer, request: Request) -> Response:
    counters = server.activity_log.counters
    slots = server.slots
    if slots.waiting >= server.settings.queue_length:
        counters.shed += 1
        return _not_run_response(b"queue is full\n")
    try:
        async with curio.timeout_after(max(0.0, request.deadline_ms - now_ms()) / 1000.0):
            start_ms = await slots.acquire()
    except curio.TaskTimeout:
        counters.expired_queued += 1
        return _not_run_response(b"deadline passed in the queue\n")
    except curio.CancelledError:
        counters.cancelled_queued += 1
        raise
    end_ms = (
        start_ms + request.connect_cost.consume() + server.service_time_ms(request.service_time_ms)
    )
    try:
        return await _run(server, request, start_ms=start_ms, end_ms=end_ms)
    finally:
        await slots.release(end_ms=end_ms)


async def _run(
    server: SimulatedServer, request: Request, *, start_ms: float, end_ms: float
) -> Response:
    execution = server.activity_log.record_start(request.request_id.decode("ascii"), at_ms=start_ms)
    try:
        return await _complete(request, execution, end_ms=end_ms)
    except curio.CancelledError:
        execution.progress = Progress.CANCELLED
        raise


async def _complete(request: Request, execution: Execution, *, end_ms: float) -> Response:
    await timers.sleep_until(min(end_ms, request.deadline_ms))
    if request.deadline_ms < end_ms:
        execution.progress = Progress.EXPIRED
        return Response(504, b"deadline passed\n", outcome=UNKNOWN)
    execution.progress = Progress.DONE
    length = request.response_bytes
    body = content.response_body(request.request_id, request.body, length_bytes=length)
    return Response(200, body, digest=content.body_digest(body))


async def occupy_slot(
    server: SimulatedServer, connect_cost: ConnectCost, *, work_ms: float
) -> None:
    """Occupy a slot for the pending connection setup and ``work_ms``."""
    slots = server.slots
    start_ms = await slots.acquire()
    end_ms = start_ms + connect_cost.consume() + work_ms * server.faults.slow_factor
    try:
        await timers.sleep_until(end_ms)
    finally:
        await slots.release(end_ms=end_ms)
