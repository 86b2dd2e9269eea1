"""Server side of the relay: sends changes to the entries that subscribed."""

from __future__ import annotations

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._core.connection_server import serve_connections
from kingcupusher._core.startup import listen
from kingcupusher._discovery import NO_POSITION, Catalog, StoreFollower
from kingcupusher._http.tcp import enable_tcp_keepalive
from kingcupusher._peers.connection import ByteCounters, Connection, PeerIdentity, accept
from kingcupusher._peers.errors import HandshakeError, LinkClosedError, MessageError
from kingcupusher._relay.lead_server import LeadServer
from kingcupusher._relay.messages import (
    CatalogUpdate,
    Confirmation,
    EntriesChanged,
    LeadHello,
    Subscribe,
)
from kingcupusher._relay.messages import decode as decode_message
from kingcupusher._relay.messages import encode as encode_message
from kingcupusher._relay.update_cache import UpdateCache

HANDSHAKE_TIMEOUT_S = 1.0
MAX_SILENCE_S = 1.2
"""A reader gets changes or a confirmation from the store once a second, and sends them at once."""
ENTRY_LIST_DELAY_MS = 5_000.0
"""Entries connect to a new reader within this time; its list is too short before."""
ENTRY_LIST_INTERVAL_MS = 1_000.0
SEND_TIMEOUT_S = 2.0
BACKLOG = 256


class _Subscriber:
    """The state that was sent to a subscriber."""

    __slots__ = ("confirmed_ms", "entry", "listed_entries", "listed_ms", "position")

    def __init__(self, subscribe: Subscribe) -> None:
        self.entry = subscribe.entry
        self.position = subscribe.position
        self.confirmed_ms = 0.0
        self.listed_entries: frozenset[str] = frozenset()
        self.listed_ms = 0.0


class RelayServer:
    """Accepts subscriptions; entries that are not readers serve them as well."""

    __slots__ = (
        "_address",
        "_cached_updates",
        "_catalog",
        "_entries",
        "_entries_marked_ms",
        "_entry",
        "_follower",
        "_lead_server",
        "_list_from_ms",
        "_subscribers",
        "counters",
    )

    def __init__(
        self,
        address: Address,
        follower: StoreFollower,
        catalog: Catalog,
        *,
        entry: str,
        lead_server: LeadServer,
    ) -> None:
        self._address = address
        self._follower = follower
        self._catalog = catalog
        self._lead_server = lead_server
        self._entry = entry
        self._subscribers: dict[_Subscriber, None] = {}
        self._entries = frozenset([entry])
        self._entries_marked_ms = 0.0
        self._list_from_ms = 0.0
        self._cached_updates = UpdateCache()
        self.counters = ByteCounters()

    async def run(self) -> None:
        """Serve subscribers until cancelled."""
        await serve_connections(listen(self._address, backlog=BACKLOG), self._on_client)

    async def _on_client(self, sock: curio.io.Socket) -> None:
        # A VM that lost power sends no reset, and subscribers send only one message.
        enable_tcp_keepalive(sock)
        try:
            async with curio.timeout_after(HANDSHAKE_TIMEOUT_S):
                own = PeerIdentity(0, 0)
                connection = await accept(sock, own=own, counters=self.counters)
                first, received = await self._receive_first(connection)
            if isinstance(first, LeadHello):
                await self._lead_server.serve(connection, first.entry, received=received)
            else:
                await self._serve(connection, _Subscriber(first))
        except (HandshakeError, LinkClosedError, MessageError, curio.TaskTimeout, OSError):
            return

    async def _receive_first(
        self, connection: Connection
    ) -> tuple[Subscribe | LeadHello, list[bytes]]:
        """Return the first message, and those that were received with it."""
        received: list[bytes] = []
        while not received:
            received = await connection.receive()
        message = decode_message(received[0])
        if isinstance(message, Subscribe | LeadHello):
            return message, received[1:]
        raise MessageError("the first message must be a subscription or a lead hello")

    async def _serve(self, connection: Connection, subscriber: _Subscriber) -> None:
        if not self._subscribers:
            self._list_from_ms = now_ms() + ENTRY_LIST_DELAY_MS
        self._subscribers[subscriber] = None
        self._update_entries()
        watcher = await curio.spawn(_wait_for_end, connection, daemon=True)
        try:
            while not watcher.terminated:
                for message in self._next_messages(subscriber):
                    await self._send(connection, message)
                await self._wait_for_update(subscriber)
        finally:
            self._subscribers.pop(subscriber, None)
            self._update_entries()
            await watcher.cancel()

    def _update_entries(self) -> None:
        self._entries = frozenset([self._entry, *(s.entry for s in self._subscribers)])

    async def _wait_for_update(self, subscriber: _Subscriber) -> None:
        async with curio.ignore_after(MAX_SILENCE_S):
            while not self._has_news(subscriber):
                self._follower.updated.clear()
                await self._follower.updated.wait()

    def _has_news(self, subscriber: _Subscriber) -> bool:
        # A subscriber may have got a later position from another reader; it needs no update.
        lacks_update = self._follower.lacks_update(subscriber.position)
        return lacks_update or self._follower.confirmed_ms > subscriber.confirmed_ms

    def _next_messages(self, subscriber: _Subscriber) -> list[bytes]:
        """Return the encoded messages that bring ``subscriber`` up to date."""
        messages = [self._encoded_update(subscriber), self._encoded_list_change(subscriber)]
        subscriber.confirmed_ms = self._follower.confirmed_ms
        age_ms = max(0, int(now_ms() - self._follower.confirmed_ms))
        position = self._follower.position or NO_POSITION
        confirmation = Confirmation(position, age_ms, self._follower.grace_left_ms)
        messages.append(encode_message(confirmation))
        return [message for message in messages if message is not None]

    def _encoded_update(self, subscriber: _Subscriber) -> bytes | None:
        """Return the missing changes; subscribers that lack the same ones get the same bytes."""
        before, position = subscriber.position, self._follower.position
        if position is None or not self._follower.lacks_update(before):
            return None
        subscriber.position = position
        key = (before, position, self._follower.grace_left_ms)
        encoded = self._cached_updates.get(key)
        if encoded is None:
            update = self._follower.update_after(before)
            assert update is not None
            encoded = encode_message(CatalogUpdate(position, update.is_full, update.changes))
            self._cached_updates.put(key, encoded)
        return encoded

    def _encoded_list_change(self, subscriber: _Subscriber) -> bytes | None:
        """Return how the list of entries changed, at most once in ``ENTRY_LIST_INTERVAL_MS``."""
        current_ms = now_ms()
        if current_ms < self._list_from_ms:
            return None
        if current_ms >= self._entries_marked_ms + ENTRY_LIST_INTERVAL_MS:
            self._entries_marked_ms = current_ms
            self._catalog.live_entries.mark_seen(self._entries, now_ms=current_ms)
        before = subscriber.listed_entries
        is_due = current_ms >= subscriber.listed_ms + ENTRY_LIST_INTERVAL_MS
        if before == self._entries or not is_due:
            return None
        subscriber.listed_entries = self._entries
        subscriber.listed_ms = current_ms
        joined, left = self._entries - before, before - self._entries
        return encode_message(EntriesChanged(sorted(joined), sorted(left)))

    async def _send(self, connection: Connection, message: bytes) -> None:
        async with curio.timeout_after(SEND_TIMEOUT_S):
            await connection.send(message)


async def _wait_for_end(connection: Connection) -> None:
    """Read until the subscriber closes the link; it sends no further messages."""
    try:
        while True:
            await connection.receive()
    except LinkClosedError:
        return
