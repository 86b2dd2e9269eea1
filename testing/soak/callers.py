"""Callers with persistent connections, which record the result of each request."""

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
from testing.soak.target import REQUEST_ID, SIGNATURE, digest, expected_response_body

HOST = "soak.example"
TIMEOUT_MS = 2_000.0
RESPONSE_GRACE_MS = 1_000.0
"""How long a caller waits for a response beyond the deadline that the request carries."""
MEAN_THINK_TIME_S = 0.12
PATH_PREFIXES = {True: "/read/", False: "/once/"}


class RequestRecord(Struct):
    """Result of a request; ``status`` is 0 and ``failure`` set if no complete response arrived."""

    request_id: bytes
    entry: str
    is_idempotent: bool
    request_digest: bytes
    sent_ms: float
    ended_ms: float = 0.0
    status: int = 0
    is_valid_response: bool = False
    failure: str = ""


class Caller:
    """Sends requests one at a time to randomly chosen entries."""

    def __init__(self, name: str, entries: dict[str, Address], *, rng: Random) -> None:
        self._name = name
        self._entries = entries
        self._rng = rng
        self._connections: dict[str, CallerConnection] = {}
        self.records: list[RequestRecord] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await self.send(self._rng.choice(sorted(self._entries)))
            await curio.sleep(self._rng.uniform(0.0, 2.0 * MEAN_THINK_TIME_S))

    async def send(self, entry: str, *, is_idempotent: bool | None = None) -> RequestRecord:
        """Send one request through ``entry`` and return its result."""
        if is_idempotent is None:
            is_idempotent = self._rng.random() < 0.5
        request_id = f"{self._name}-{len(self.records)}".encode()
        method = "GET" if is_idempotent else "POST"
        path = f"{PATH_PREFIXES[is_idempotent]}{len(self.records)}"
        body = b"" if is_idempotent else request_id * self._rng.choice((1, 200))
        request_digest = digest(method.encode(), path.encode(), body)
        record = RequestRecord(request_id, entry, is_idempotent, request_digest, now_ms())
        self.records.append(record)
        try:
            async with curio.timeout_after((TIMEOUT_MS + RESPONSE_GRACE_MS) / 1000.0):
                await self._exchange(record, method, path, body)
        except curio.TaskTimeout:
            record.failure = "timeout"
        except (OSError, LoadError) as error:
            record.failure = f"closed: {error}"
        record.ended_ms = now_ms()
        if record.failure:
            await self._close_connection(entry)
        return record

    async def _exchange(self, record: RequestRecord, method: str, path: str, body: bytes) -> None:
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
        response = await connection.exchange(head, body)
        record.status = response.status
        has_expected_body = response.body == expected_response_body(record.request_id, body)
        record.is_valid_response = SIGNATURE in response.headers and has_expected_body
        if not connection.is_reusable:
            await self._close_connection(record.entry)

    async def _close_connection(self, entry: str) -> None:
        connection = self._connections.pop(entry, None)
        if connection is not None:
            await connection.close()
