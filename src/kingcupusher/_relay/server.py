"""The reader's side: hands news on to the entries that subscribed."""

from __future__ import annotations

from typing import Any

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._discovery import Catalog, StoreFollower
from kingcupusher._peers.connection import ByteCounters, Connection, PeerIdentity, accept
from kingcupusher._peers.errors import HandshakeError, LinkClosedError, MessageError
from kingcupusher._relay.messages import Attendance, News, Pulse, RelayMessage, Subscribe
from kingcupusher._relay.messages import decode as decode_message
from kingcupusher._relay.messages import encode as encode_message

HANDSHAKE_S = 1.0
PULSE_S = 0.9
"""A reader that follows the store has news or a confirmation once a second."""
ATTENDANCE_MS = 10_000.0
"""The whole list is sent this often, and soon after it has changed."""
ATTENDANCE_CHANGE_MS = 1_000.0
SEND_S = 2.0
BACKLOG = 256


class _Subscriber:
    """What one subscriber was sent."""

    __slots__ = ("attendance", "attended_ms", "entry", "revision")

    def __init__(self, subscribe: Subscribe) -> None:
        self.entry = subscribe.entry
        self.revision = subscribe.revision
        self.attendance: list[str] = []
        self.attended_ms = 0.0


class RelayServer:
    """Accepts subscriptions; any entry may be asked, also one that is a reader no longer."""

    __slots__ = (
        "_address",
        "_attendance",
        "_catalog",
        "_entry",
        "_follower",
        "_subscribers",
        "counters",
    )

    def __init__(
        self, address: Address, follower: StoreFollower, catalog: Catalog, *, entry: str
    ) -> None:
        self._address = address
        self._follower = follower
        self._catalog = catalog
        self._entry = entry
        self._subscribers: dict[_Subscriber, None] = {}
        self._attendance = [entry]
        self.counters = ByteCounters()

    async def run(self) -> None:
        """Serve subscribers until cancelled."""
        await curio.tcp_server(
            self._address.host,
            self._address.port,
            self._on_client,
            backlog=BACKLOG,
            reuse_address=True,
        )

    async def _on_client(self, sock: curio.io.Socket, _peer: Any) -> None:
        try:
            async with curio.timeout_after(HANDSHAKE_S):
                own = PeerIdentity(0, 0)
                connection = await accept(sock, own=own, counters=self.counters)
                subscriber = await self._receive_subscription(connection)
            await self._serve(connection, subscriber)
        except (HandshakeError, LinkClosedError, MessageError, curio.TaskTimeout, OSError):
            return

    async def _receive_subscription(self, connection: Connection) -> _Subscriber:
        while True:
            for data in await connection.receive():
                message = decode_message(data)
                if isinstance(message, Subscribe):
                    return _Subscriber(message)
                raise MessageError("a subscriber must begin with its subscription")

    async def _serve(self, connection: Connection, subscriber: _Subscriber) -> None:
        self._subscribers[subscriber] = None
        self._list_entries()
        watcher = await curio.spawn(_wait_for_end, connection, daemon=True)
        try:
            while not watcher.terminated:
                await self._send(connection, self._next_message(subscriber))
                await self._send_attendance(connection, subscriber)
                await self._wait_for_news(subscriber)
        finally:
            self._subscribers.pop(subscriber, None)
            self._list_entries()
            await watcher.cancel()

    def _list_entries(self) -> None:
        self._attendance = sorted({self._entry, *(s.entry for s in self._subscribers)})

    async def _wait_for_news(self, subscriber: _Subscriber) -> None:
        # A subscriber may know more than this entry, from another reader; that is no news.
        if (self._follower.revision or 0) > (subscriber.revision or 0):
            return
        self._follower.news.clear()
        await curio.ignore_after(PULSE_S, self._follower.news.wait)

    def _next_message(self, subscriber: _Subscriber) -> RelayMessage:
        age_ms = max(0, int(now_ms() - self._follower.confirmed_ms))
        update = self._follower.update_after(subscriber.revision)
        if update is None:
            return Pulse(self._follower.revision or 0, age_ms)
        subscriber.revision = update.revision
        return News(update.revision, age_ms, update.is_whole, update.changes)

    async def _send_attendance(self, connection: Connection, subscriber: _Subscriber) -> None:
        names = self._attendance
        is_changed = names != subscriber.attendance
        interval_ms = ATTENDANCE_CHANGE_MS if is_changed else ATTENDANCE_MS
        if now_ms() < subscriber.attended_ms + interval_ms:
            return
        subscriber.attendance = names
        subscriber.attended_ms = now_ms()
        self._catalog.live_entries.mark_seen(names, now_ms=now_ms())
        await self._send(connection, Attendance(names))

    async def _send(self, connection: Connection, message: RelayMessage) -> None:
        async with curio.timeout_after(SEND_S):
            await connection.send(encode_message(message))


async def _wait_for_end(connection: Connection) -> None:
    """Read until the subscriber closes; it has nothing more to say."""
    try:
        while True:
            await connection.receive()
    except LinkClosedError:
        return
