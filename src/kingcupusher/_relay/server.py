"""Server side of the relay: sends changes to the entries that subscribed."""

from __future__ import annotations

from typing import Any

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._discovery import NO_POSITION, Catalog, StoreFollower
from kingcupusher._peers.connection import ByteCounters, Connection, PeerIdentity, accept
from kingcupusher._peers.errors import HandshakeError, LinkClosedError, MessageError
from kingcupusher._relay.messages import (
    CatalogUpdate,
    Confirmation,
    EntryList,
    RelayMessage,
    Subscribe,
)
from kingcupusher._relay.messages import decode as decode_message
from kingcupusher._relay.messages import encode as encode_message

HANDSHAKE_TIMEOUT_S = 1.0
MAX_SILENCE_S = 1.2
"""A reader gets changes or a confirmation from the store once a second, and sends them at once."""
ENTRY_LIST_INTERVAL_MS = 10_000.0
"""Interval between entry lists; a changed list is sent sooner."""
ENTRY_LIST_CHANGE_INTERVAL_MS = 1_000.0
SEND_TIMEOUT_S = 2.0
BACKLOG = 256


class _Subscriber:
    """The state that was sent to a subscriber."""

    __slots__ = ("confirmed_ms", "entry", "entry_list", "entry_list_sent_ms", "position")

    def __init__(self, subscribe: Subscribe) -> None:
        self.entry = subscribe.entry
        self.position = subscribe.position
        self.confirmed_ms = 0.0
        self.entry_list: list[str] = []
        self.entry_list_sent_ms = 0.0


class RelayServer:
    """Accepts subscriptions; entries that are not readers serve them as well."""

    __slots__ = (
        "_address",
        "_catalog",
        "_entry",
        "_entry_list",
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
        self._entry_list = [entry]
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
            async with curio.timeout_after(HANDSHAKE_TIMEOUT_S):
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
                raise MessageError("the first message of a subscriber must be its subscription")

    async def _serve(self, connection: Connection, subscriber: _Subscriber) -> None:
        self._subscribers[subscriber] = None
        self._update_entry_list()
        watcher = await curio.spawn(_wait_for_end, connection, daemon=True)
        try:
            while not watcher.terminated:
                await self._send(connection, self._next_message(subscriber))
                await self._send_entry_list(connection, subscriber)
                await self._wait_for_update(subscriber)
        finally:
            self._subscribers.pop(subscriber, None)
            self._update_entry_list()
            await watcher.cancel()

    def _update_entry_list(self) -> None:
        self._entry_list = sorted({self._entry, *(s.entry for s in self._subscribers)})

    async def _wait_for_update(self, subscriber: _Subscriber) -> None:
        async with curio.ignore_after(MAX_SILENCE_S):
            while not self._has_news(subscriber):
                self._follower.updated.clear()
                await self._follower.updated.wait()

    def _has_news(self, subscriber: _Subscriber) -> bool:
        # A subscriber may have got a later position from another reader; it needs no update.
        lacks_update = self._follower.lacks_update(subscriber.position)
        return lacks_update or self._follower.confirmed_ms > subscriber.confirmed_ms

    def _next_message(self, subscriber: _Subscriber) -> RelayMessage:
        age_ms = max(0, int(now_ms() - self._follower.confirmed_ms))
        subscriber.confirmed_ms = self._follower.confirmed_ms
        update = self._follower.update_after(subscriber.position)
        if update is None:
            return Confirmation(self._follower.position or NO_POSITION, age_ms)
        subscriber.position = update.position
        return CatalogUpdate(update.position, age_ms, update.is_full, update.changes)

    async def _send_entry_list(self, connection: Connection, subscriber: _Subscriber) -> None:
        names = self._entry_list
        is_changed = names != subscriber.entry_list
        interval_ms = ENTRY_LIST_CHANGE_INTERVAL_MS if is_changed else ENTRY_LIST_INTERVAL_MS
        if now_ms() < subscriber.entry_list_sent_ms + interval_ms:
            return
        subscriber.entry_list = names
        subscriber.entry_list_sent_ms = now_ms()
        self._catalog.live_entries.mark_seen(names, now_ms=now_ms())
        await self._send(connection, EntryList(names))

    async def _send(self, connection: Connection, message: RelayMessage) -> None:
        async with curio.timeout_after(SEND_TIMEOUT_S):
            await connection.send(encode_message(message))


async def _wait_for_end(connection: Connection) -> None:
    """Read until the subscriber closes the link; it sends no further messages."""
    try:
        while True:
            await connection.receive()
    except LinkClosedError:
        return
