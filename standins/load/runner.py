"""Sends the requests of a plan at their scheduled times and records each outcome."""

from __future__ import annotations

import curio
import h11
from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from standins import timers
from standins.load.connection import CallerConnection, ConnectionPool, request_head
from standins.load.errors import NoResponseError, NotSentError, TruncatedError
from standins.load.outcome import CompleteResponse, Outcome, classify
from standins.load.plan import PlannedRequest

START_DELAY_MS = 100.0
# An entry responds by the deadline; the response then needs time to arrive.
RESPONSE_GRACE_MS = 500.0
# Further requests wait in the load tool, so that an overloaded entry does not exhaust the file
# descriptors; their latency still counts from the scheduled time.
MAX_IN_FLIGHT = 800
MAX_DETAIL_BYTES = 120


class RunSettings(Struct, frozen=True, kw_only=True):
    """Destinations, host name and timeout of the requests."""

    entries: list[Address]
    host: str
    timeout_ms: float = 5_000.0


class RequestRecord(Struct):
    """Outcome of one request; ``scheduled_ms`` is a time of the monotonic clock of the host.

    ``latency_ms`` counts from the scheduled time, so that a slow sender hides no delay, that is,
    without coordinated omission. ``sent_late_ms`` is the part before the sender starts the request.
    """

    request_id: str
    entry: str
    idempotent: bool
    scheduled_ms: float
    sent_late_ms: float
    latency_ms: float
    outcome: Outcome
    detail: str = ""


class Runner:
    """Sends requests to the entries in round robin order."""

    __slots__ = ("_all_done", "_permits", "_pools", "_records", "_settings", "_unfinished")

    def __init__(self, settings: RunSettings) -> None:
        self._settings = settings
        self._pools = [ConnectionPool(address) for address in settings.entries]
        self._records: list[RequestRecord] = []
        self._unfinished = 0
        self._permits = curio.Semaphore(MAX_IN_FLIGHT)
        self._all_done = curio.Event()

    async def run(self, plan: list[PlannedRequest]) -> list[RequestRecord]:
        """Send all requests of ``plan`` and return their records in order of completion."""
        self._unfinished = len(plan)
        start_ms = now_ms() + START_DELAY_MS
        for index, planned in enumerate(plan):
            pool = self._pools[index % len(self._pools)]
            scheduled_ms = start_ms + planned.arrival_ms
            await timers.sleep_until(scheduled_ms)
            await curio.spawn(self._send, planned, pool, scheduled_ms, daemon=True)
        if plan:
            await self._all_done.wait()
        return self._records

    async def _send(
        self, planned: PlannedRequest, pool: ConnectionPool, scheduled_ms: float
    ) -> None:
        record = RequestRecord(
            request_id=planned.request_id,
            entry=str(pool.address),
            idempotent=planned.idempotent,
            scheduled_ms=scheduled_ms,
            sent_late_ms=now_ms() - scheduled_ms,
            latency_ms=0.0,
            outcome=Outcome.UNKNOWN,
        )
        async with self._permits:
            await self._record_outcome(record, planned, pool)
        record.latency_ms = now_ms() - scheduled_ms
        self._records.append(record)
        self._unfinished -= 1
        if not self._unfinished:
            await self._all_done.set()

    async def _record_outcome(
        self, record: RequestRecord, planned: PlannedRequest, pool: ConnectionPool
    ) -> None:
        try:
            response = await self._exchange(planned, pool, record.scheduled_ms)
            record.outcome = classify(planned, response)
            if record.outcome is not Outcome.WHOLE:
                record.detail = _describe(response)
        except NotSentError as error:
            record.outcome, record.detail = Outcome.NOT_RUN, str(error)
        except NoResponseError as error:
            record.outcome, record.detail = Outcome.UNKNOWN, str(error)
        except TruncatedError as error:
            record.outcome, record.detail = Outcome.BROKEN, str(error)

    async def _exchange(
        self, planned: PlannedRequest, pool: ConnectionPool, scheduled_ms: float
    ) -> CompleteResponse:
        timeout_ms = self._settings.timeout_ms
        deadline_ms = scheduled_ms + timeout_ms + RESPONSE_GRACE_MS
        if now_ms() > deadline_ms:
            raise NotSentError("the deadline passed before the request could be sent")
        connection = await pool.acquire(deadline_ms=deadline_ms)
        head = request_head(planned, host=self._settings.host, timeout_ms=timeout_ms)
        response = await self._exchange_on(connection, planned, head, deadline_ms)
        await pool.release(connection)
        return response

    async def _exchange_on(
        self,
        connection: CallerConnection,
        planned: PlannedRequest,
        head: h11.Request,
        deadline_ms: float,
    ) -> CompleteResponse:
        try:
            async with curio.timeout_after(max(0.0, deadline_ms - now_ms()) / 1000.0):
                return await connection.exchange(head, planned.body)
        except curio.TaskTimeout:
            await connection.close()
            raise NoResponseError("no whole response by the deadline") from None
        except (NoResponseError, TruncatedError):
            await connection.close()
            raise


def _describe(response: CompleteResponse) -> str:
    # The body of an error response is its reason; other bodies are not text.
    reason = response.body[:MAX_DETAIL_BYTES] if response.status != 200 else b"wrong content"
    return f"{response.status} {reason.decode('ascii', 'replace').strip()}"
