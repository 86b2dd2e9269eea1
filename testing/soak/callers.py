"""Callers that keep their connections, and what they saw of each request."""

from __future__ import annotations

from random import Random

import curio
import h11
from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.tcp import connect
from standins.load.connection import CallerConnection
from standins.load.errors import LoadError
from testing.soak.target import REQUEST_ID, SIGNATURE, body_of, digest

HOST = "soak.example"
TIMEOUT_MS = 2_000.0
ANSWER_GRACE_MS = 1_000.0
"""A response may come this much after the deadline that the caller announced."""
THINK_S = 0.12
PREFIXES = {True: "/read/", False: "/once/"}


class Record(Struct):
    """One request; ``status`` is 0 if no whole response came, ``end`` says what came instead."""

    request_id: bytes
    entry: str
    is_idempotent: bool
    what: bytes
    sent_ms: float
    ended_ms: float = 0.0
    status: int = 0
    is_own: bool = False
    end: str = ""


class Caller:
    """Sends requests one after the other to entries drawn at random."""

    def __init__(self, name: str, entries: dict[str, Address], *, rng: Random) -> None:
        self._name = name
        self._entries = entries
        self._rng = rng
        self._connections: dict[str, CallerConnection] = {}
        self.records: list[Record] = []

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            await self.send(self._rng.choice(sorted(self._entries)))
            await curio.sleep(self._rng.uniform(0.0, 2.0 * THINK_S))

    async def send(self, entry: str, *, is_idempotent: bool | None = None) -> Record:
        """Send one request through ``entry`` and return what came of it."""
        if is_idempotent is None:
            is_idempotent = self._rng.random() < 0.5
        request_id = f"{self._name}-{len(self.records)}".encode()
        method = "GET" if is_idempotent else "POST"
        path = f"{PREFIXES[is_idempotent]}{len(self.records)}"
        body = b"" if is_idempotent else request_id * self._rng.choice((1, 200))
        what = digest(method.encode(), path.encode(), body)
        record = Record(request_id, entry, is_idempotent, what, now_ms())
        self.records.append(record)
        try:
            async with curio.timeout_after((TIMEOUT_MS + ANSWER_GRACE_MS) / 1000.0):
                await self._exchange(record, method, path, body)
        except curio.TaskTimeout:
            record.end = "timeout"
        except (OSError, LoadError) as error:
            record.end = f"closed: {error}"
        record.ended_ms = now_ms()
        if record.end:
            await self._drop(entry)
        return record

    async def _exchange(self, record: Record, method: str, path: str, body: bytes) -> None:
        connection = self._connections.get(record.entry)
        if connection is None:
            connection = CallerConnection(await connect(self._entries[record.entry]))
            self._connections[record.entry] = connection
        headers = [
            ("host", HOST),
            (REQUEST_ID, record.request_id),
            ("x-kingcupusher-request-deadline", str(int(TIMEOUT_MS))),
            ("content-length", str(len(body))),
        ]
        head = h11.Request(method=method, target=path, headers=headers)
        answer = await connection.exchange(head, body)
        record.status = answer.status
        is_whole = answer.body == body_of(record.request_id, body)
        record.is_own = SIGNATURE in answer.headers and is_whole
        if not connection.is_reusable:
            await self._drop(record.entry)

    async def _drop(self, entry: str) -> None:
        connection = self._connections.pop(entry, None)
        if connection is not None:
            await connection.close()
