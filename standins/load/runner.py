"""Sends a plan at its scheduled instants and records each outcome."""

from __future__ import annotations

import curio
import h11
from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from standins import timers
from standins.load.connection import CallerConnection, EntryConnections, request_head
from standins.load.errors import NoResponseError, NotSentError, TruncatedError
from standins.load.outcome import Answer, Outcome, classify
from standins.load.plan import PlannedRequest

START_DELAY_MS = 100.0
# An entry responds by the deadline; the caller waits a little longer for that response.
GRACE_MS = 500.0
# Requests beyond this many wait in the load tool, so that an overloaded entry does not exhaust the
# file descriptors; their latency still counts from the scheduled instant.
MAX_IN_FLIGHT = 800
MAX_DETAIL_BYTES = 120


class RunSettings(Struct, frozen=True, kw_only=True):
    """Where and how the requests of a plan are sent."""

    entries: list[Address]
    host: str
    timeout_ms: float = 5_000.0


class Record(Struct):
    """Outcome of one request; ``scheduled_ms`` is on the monotonic clock of the machine.

    ``latency_ms`` counts from the scheduled instant, so that a slow sender hides no delay.
    ``sent_late_ms`` is the part of it that passed before the sender took up the request.
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
    """Sends requests to the entries in turn."""

    __slots__ = ("_done", "_entries", "_left", "_permits", "_records", "_settings")

    def __init__(self, settings: RunSettings) -> None:
        self._settings = settings
        self._entries = [EntryConnections(address) for address in settings.entries]
        self._records: list[Record] = []
        self._left = 0
        self._permits = curio.Semaphore(MAX_IN_FLIGHT)
        self._done = curio.Event()

    async def run(self, plan: list[PlannedRequest]) -> list[Record]:
        """Send every request of ``plan`` and return their records in order of completion."""
        self._left = len(plan)
        start_ms = now_ms() + START_DELAY_MS
        for index, planned in enumerate(plan):
            entry = self._entries[index % len(self._entries)]
            scheduled_ms = start_ms + planned.arrival_ms
            await timers.sleep_until(scheduled_ms)
            await curio.spawn(self._send, planned, entry, scheduled_ms, daemon=True)
        if plan:
            await self._done.wait()
        return self._records

    async def _send(
        self, planned: PlannedRequest, entry: EntryConnections, scheduled_ms: float
    ) -> None:
        record = Record(
            request_id=planned.request_id,
            entry=str(entry.address),
            idempotent=planned.idempotent,
            scheduled_ms=scheduled_ms,
            sent_late_ms=now_ms() - scheduled_ms,
            latency_ms=0.0,
            outcome=Outcome.UNKNOWN,
        )
        async with self._permits:
            await self._fill(record, planned, entry)
        record.latency_ms = now_ms() - scheduled_ms
        self._records.append(record)
        self._left -= 1
        if not self._left:
            await self._done.set()

    async def _fill(self, record: Record, planned: PlannedRequest, entry: EntryConnections) -> None:
        try:
            answer = await self._exchange(planned, entry, record.scheduled_ms)
            record.outcome = classify(planned, answer)
            if record.outcome is not Outcome.WHOLE:
                record.detail = _describe(answer)
        except NotSentError as error:
            record.outcome, record.detail = Outcome.NOT_RUN, str(error)
        except NoResponseError as error:
            record.outcome, record.detail = Outcome.UNKNOWN, str(error)
        except TruncatedError as error:
            record.outcome, record.detail = Outcome.BROKEN, str(error)

    async def _exchange(
        self, planned: PlannedRequest, entry: EntryConnections, scheduled_ms: float
    ) -> Answer:
        timeout_ms = self._settings.timeout_ms
        deadline_ms = scheduled_ms + timeout_ms + GRACE_MS
        if now_ms() > deadline_ms:
            raise NotSentError("the deadline passed before the request could be sent")
        connection = await entry.take(deadline_ms=deadline_ms)
        head = request_head(planned, host=self._settings.host, timeout_ms=timeout_ms)
        answer = await self._exchange_on(connection, planned, head, deadline_ms)
        await entry.give_back(connection)
        return answer

    async def _exchange_on(
        self,
        connection: CallerConnection,
        planned: PlannedRequest,
        head: h11.Request,
        deadline_ms: float,
    ) -> Answer:
        try:
            async with curio.timeout_after(max(0.0, deadline_ms - now_ms()) / 1000.0):
                return await connection.exchange(head, planned.body)
        except curio.TaskTimeout:
            await connection.close()
            raise NoResponseError("no whole response by the deadline") from None
        except (NoResponseError, TruncatedError):
            await connection.close()
            raise


def _describe(answer: Answer) -> str:
    # Refusals give their reason in the body; other bodies are not text.
    reason = answer.body[:MAX_DETAIL_BYTES] if answer.status != 200 else b"wrong content"
    return f"{answer.status} {reason.decode('ascii', 'replace').strip()}"
