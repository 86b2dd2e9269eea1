"""Execution of one request in the slots of a target."""

from __future__ import annotations

import curio
from msgspec import Struct

from kingcupusher._core import now_ms
from standins import content, timers
from standins.target.activity_log import Execution, Progress
from standins.target.machine import Machine

REQUEST_TIMEOUT_MS = b"x-request-timeout-ms"
DEFAULT_TIMEOUT_MS = 60_000.0
DEFAULT_RESPONSE_BYTES = 100
MAX_RESPONSE_BYTES = 10_000_000


class SetupCost(Struct):
    """Slot time that a connection has still to pay; its first work in a slot pays it."""

    due_ms: float

    def pay(self) -> float:
        """Return the slot time that was due."""
        due_ms, self.due_ms = self.due_ms, 0.0
        return due_ms


class Call(Struct):
    """A whole request as a target received it."""

    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes
    received_ms: float
    setup: SetupCost

    @property
    def request_id(self) -> bytes:
        """Identifier under which the execution is logged."""
        return self.headers.get(content.REQUEST_ID, b"")

    @property
    def deadline_ms(self) -> float:
        """Instant after which the caller does not wait."""
        return self.received_ms + _number(self.headers, REQUEST_TIMEOUT_MS, DEFAULT_TIMEOUT_MS)

    @property
    def service_time_ms(self) -> float | None:
        """Service time that the request asks for, if any."""
        value = _number(self.headers, content.SERVICE_TIME_MS, -1.0)
        return value if value >= 0 else None

    @property
    def response_bytes(self) -> int:
        """Length of the response body that the request asks for."""
        value = _number(self.headers, content.RESPONSE_BYTES, DEFAULT_RESPONSE_BYTES)
        return min(int(value), MAX_RESPONSE_BYTES)


class Reply(Struct):
    """Response of a target before it is written."""

    status: int
    body: bytes
    outcome: bytes | None = None
    digest: bytes | None = None
    load: str | None = None


class FellOverError(Exception):
    """Raised when a request made the target fall over; its connection is reset."""


NOT_RUN = b"not-run"
UNKNOWN = b"unknown"


def _number(headers: dict[bytes, bytes], name: bytes, default: float) -> float:
    try:
        return float(headers[name])
    except (KeyError, ValueError):
        return default


def _refusal(reason: bytes) -> Reply:
    return Reply(503, reason, outcome=NOT_RUN)


async def execute(machine: Machine, call: Call) -> Reply:
    """Run a request, or refuse it before it starts."""
    counters = machine.ledger.counters
    counters.requests += 1
    counters.last_request_ms = call.received_ms
    if machine.draining:
        counters.refused_draining += 1
        return _refusal(b"draining\n")
    if machine.faults.fail_fast:
        counters.failed_fast += 1
        return Reply(500, b"internal error\n")
    machine.warmth.on_arrival(at_ms=now_ms())
    machine.note_change()
    warmth = machine.warmth
    try:
        await _check_concurrency(machine)
        return await _queue(machine, call)
    finally:
        warmth.on_departure(at_ms=now_ms())
        machine.note_change()


async def _check_concurrency(machine: Machine) -> None:
    counters = machine.ledger.counters
    at_ms = now_ms()
    present = machine.warmth.present
    counters.max_concurrency = max(counters.max_concurrency, present)
    if not machine.warmth.is_cold(at_ms=at_ms):
        return
    counters.max_concurrency_cold = max(counters.max_concurrency_cold, present)
    if present > machine.warmth.allowance(at_ms=at_ms):
        await machine.fall_over()
        raise FellOverError


async def _queue(machine: Machine, call: Call) -> Reply:
    counters = machine.ledger.counters
    slots = machine.slots
    if slots.waiting >= machine.settings.queue_length:
        counters.shed += 1
        return _refusal(b"queue is full\n")
    try:
        async with curio.timeout_after(max(0.0, call.deadline_ms - now_ms()) / 1000.0):
            start_ms = await slots.acquire()
    except curio.TaskTimeout:
        counters.expired_queued += 1
        return _refusal(b"deadline passed in the queue\n")
    except curio.CancelledError:
        counters.cancelled_queued += 1
        raise
    end_ms = start_ms + call.setup.pay() + machine.service_time_ms(call.service_time_ms)
    try:
        return await _run(machine, call, start_ms=start_ms, end_ms=end_ms)
    finally:
        await slots.release(end_ms=end_ms)


async def _run(machine: Machine, call: Call, *, start_ms: float, end_ms: float) -> Reply:
    execution = machine.ledger.start(call.request_id.decode("ascii"), at_ms=start_ms)
    try:
        return await _serve(call, execution, end_ms=end_ms)
    except curio.CancelledError:
        execution.progress = Progress.CANCELLED
        raise


async def _serve(call: Call, execution: Execution, *, end_ms: float) -> Reply:
    await timers.sleep_until(min(end_ms, call.deadline_ms))
    if call.deadline_ms < end_ms:
        execution.progress = Progress.EXPIRED
        return Reply(504, b"deadline passed\n", outcome=UNKNOWN)
    execution.progress = Progress.DONE
    length = call.response_bytes
    body = content.response_body(call.request_id, call.body, length_bytes=length)
    return Reply(200, body, digest=content.body_digest(body))


async def occupy(machine: Machine, setup: SetupCost, *, work_ms: float) -> None:
    """Take a slot for the setup cost of a connection and ``work_ms``."""
    slots = machine.slots
    start_ms = await slots.acquire()
    end_ms = start_ms + setup.pay() + work_ms * machine.faults.slow_factor
    try:
        await timers.sleep_until(end_ms)
    finally:
        await slots.release(end_ms=end_ms)
