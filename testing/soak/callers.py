"""Callers that keep their connections, and what they saw of each request."""

from __future__ import annotations

from random import Random

import curio
import h11
from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from testing.soak.target import REQUEST_ID, SIGNATURE, body_of, digest

HOST = "soak.example"
TIMEOUT_MS = 2_000.0
ANSWER_GRACE_MS = 1_000.0
"""A response may come this much after the deadline that the caller announced."""
THINK_S = 0.12
RECEIVE_BYTES = 65_536
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
        self._sockets: dict[str, curio.io.Socket] = {}
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
        except (OSError, h11.RemoteProtocolError) as error:
            record.end = f"closed: {error}"
        record.ended_ms = now_ms()
        if record.end:
            await self._drop(entry)
        return record

    async def _exchange(self, record: Record, method: str, path: str, body: bytes) -> None:
        sock = self._sockets.get(record.entry)
        if sock is None:
            address = self._entries[record.entry]
            sock = await curio.open_connection(address.host, address.port)
            self._sockets[record.entry] = sock
        http = h11.Connection(h11.CLIENT)
        headers = [
            ("host", HOST),
            (REQUEST_ID, record.request_id),
            ("x-kingcupusher-request-deadline", str(int(TIMEOUT_MS))),
            ("content-length", str(len(body))),
        ]
        data = http.send(h11.Request(method=method, target=path, headers=headers)) or b""
        data += http.send(h11.Data(data=body)) or b"" if body else b""
        await sock.sendall(data + (http.send(h11.EndOfMessage()) or b""))
        head, content = await _read(http, sock)
        record.status = head.status_code
        fields = dict(head.headers)
        expected = body_of(record.request_id, body)
        record.is_own = SIGNATURE in fields and content == expected
        if fields.get(b"connection") == b"close":
            await self._drop(record.entry)

    async def _drop(self, entry: str) -> None:
        sock = self._sockets.pop(entry, None)
        if sock is not None:
            await sock.close()


async def _read(http: h11.Connection, sock: curio.io.Socket) -> tuple[h11.Response, bytes]:
    head, content = None, bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await sock.recv(RECEIVE_BYTES))
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            content += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return head, bytes(content)
        elif isinstance(event, h11.ConnectionClosed):
            raise OSError("the connection ended before the response")
