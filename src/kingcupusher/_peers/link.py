"""A link to one peer: its connection and its queue of outgoing messages."""

from __future__ import annotations

import curio

from kingcupusher._core import now_ms
from kingcupusher._peers.codec import decode
from kingcupusher._peers.connection import Connection
from kingcupusher._peers.errors import LinkClosedError, MessageError
from kingcupusher._peers.events import PeerMessage
from kingcupusher._peers.messages import Heartbeat

HEARTBEAT_TIMEOUT_MS = 2_000
# Holds two heartbeats per second and the notices when a zone is taken out; a longer queue
# means that the peer does not read.
MAX_QUEUED_MESSAGES = 512
# Holds a few configuration documents of the largest size; all control traffic may use 32 MB.
MAX_QUEUED_BYTES = 4_000_000


class Link:
    """Exchanges messages with a peer until it closes the link or sends no heartbeat for 2 s."""

    __slots__ = (
        "_connection",
        "_heartbeat_deadline_ms",
        "_inbound",
        "_outgoing",
        "_queued_bytes",
        "_stalled",
    )

    def __init__(self, connection: Connection, *, inbound: curio.Queue) -> None:
        self._connection = connection
        self._inbound = inbound
        self._outgoing = curio.Queue(maxsize=MAX_QUEUED_MESSAGES)
        self._queued_bytes = 0
        self._heartbeat_deadline_ms = now_ms() + HEARTBEAT_TIMEOUT_MS
        self._stalled = False

    @property
    def seat(self) -> int:
        """Seat of the peer."""
        return self._connection.peer.seat

    async def send(self, data: bytes) -> bool:
        """Queue an encoded message; return False if the queue is full and the link must close."""
        if self._outgoing.full() or self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self._stalled = True
        if self._stalled:
            return False
        self._queued_bytes += len(data)
        await self._outgoing.put(data)
        return True

    async def run(self) -> None:
        """Exchange messages until the link ends; raise :class:`LinkClosedError` with the cause."""
        writer = await curio.spawn(self._write, daemon=True)
        try:
            while True:
                await self._read()
        finally:
            await writer.cancel()
            await self._connection.close()

    async def _read(self) -> None:
        remaining_s = (self._heartbeat_deadline_ms - now_ms()) / 1000.0
        if self._stalled or remaining_s <= 0:
            raise LinkClosedError(f"seat {self.seat} sent no heartbeat in time or reads too slowly")
        try:
            async with curio.timeout_after(remaining_s):
                received = await self._connection.receive()
        except curio.TaskTimeout:
            return
        for data in received:
            await self._on_data(data)

    async def _on_data(self, data: bytes) -> None:
        try:
            message = decode(data)
        except MessageError as error:
            raise LinkClosedError(f"seat {self.seat} sent an invalid message: {error}") from error
        if isinstance(message, Heartbeat):
            self._heartbeat_deadline_ms = now_ms() + HEARTBEAT_TIMEOUT_MS
        await self._inbound.put(PeerMessage(self._connection.peer, message))

    async def _write(self) -> None:
        try:
            while True:
                data = await self._outgoing.get()
                await self._connection.send(data)
                self._queued_bytes -= len(data)
        except LinkClosedError:
            self._stalled = True
