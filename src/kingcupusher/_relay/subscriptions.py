"""Client side of the relay: receives changes from two readers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._core.rendezvous import rendezvous_weight
from kingcupusher._discovery import Catalog, LiveEntries, ReaderSeen, StoreFollower, Update
from kingcupusher._peers.connection import ByteCounters, Connection, PeerIdentity, dial
from kingcupusher._peers.errors import HandshakeError, LinkClosedError, MessageError
from kingcupusher._relay.messages import (
    CatalogUpdate,
    Confirmation,
    EntriesChanged,
    RelayMessage,
    Subscribe,
    decode,
    encode,
)

LINK_COUNT = 2
"""With links to two of the three readers, any two readers together have all entries listed."""
DIAL_TIMEOUT_S = 0.7
RECEIVE_TIMEOUT_S = 1.4
"""A reader sends a message every 0.9 s."""
REDIAL_DELAY_S = 0.5
CHECK_INTERVAL_S = 0.2
AVOID_AFTER_LOSS_MS = 4_000.0
"""For this time, a reader whose link was lost is used only if there is no other."""
NO_SLOT = -1
ENTRIES_REFRESH_INTERVAL_MS = 5_000.0


class _ListedEntries:
    """Entries that the reader at the other end of one link lists."""

    __slots__ = ("_live_entries", "_names", "_refresh_ms")

    def __init__(self, live_entries: LiveEntries) -> None:
        self._live_entries = live_entries
        self._names: set[str] = set()
        self._refresh_ms = 0.0

    def on_change(self, message: EntriesChanged) -> None:
        """Apply a change of the list."""
        self._names.update(message.joined)
        self._names.difference_update(message.left)
        self._live_entries.mark_seen(message.joined, now_ms=now_ms())

    def refresh(self) -> None:
        """Mark the listed entries as live, since the reader still sends messages."""
        current_ms = now_ms()
        if current_ms >= self._refresh_ms:
            self._refresh_ms = current_ms + ENTRIES_REFRESH_INTERVAL_MS
            self._live_entries.mark_seen(self._names, now_ms=current_ms)


class Subscriptions:
    """Keeps links to two readers, of which one is in the same zone if possible.

    While no reader is known because the store does not respond, it links to the entries at the
    addresses ``seeds``, which may be out of date.
    """

    __slots__ = (
        "_avoid_until_ms",
        "_catalog",
        "_entry",
        "_follower",
        "_links",
        "_on_event",
        "_seeds",
        "_zone",
        "counters",
    )

    def __init__(
        self,
        follower: StoreFollower,
        catalog: Catalog,
        *,
        entry: str,
        zone: str,
        seeds: Sequence[Address],
        on_event: Callable[..., None],
    ) -> None:
        self._follower = follower
        self._catalog = catalog
        self._entry = entry
        self._zone = zone
        self._seeds = [ReaderSeen(NO_SLOT, f"seed {seed}", "", seed) for seed in seeds]
        self._on_event = on_event
        self._links: dict[ReaderSeen, curio.Task] = {}
        self._avoid_until_ms: dict[ReaderSeen, float] = {}
        self.counters = ByteCounters()

    async def run(self) -> None:
        """Keep links to readers from the catalog until cancelled."""
        while True:
            selected = self._select_readers()
            for reader in [r for r in self._links if r not in selected]:
                await self._links.pop(reader).cancel()
            for reader in selected:
                if reader not in self._links:
                    self._links[reader] = await curio.spawn(self._run_link, reader, daemon=True)
            await curio.sleep(CHECK_INTERVAL_S)

    def _select_readers(self) -> list[ReaderSeen]:
        known = self._catalog.readers.values() if self._catalog.has_routes else self._seeds
        others = [reader for reader in known if reader.entry != self._entry]
        current_ms = now_ms()
        self._avoid_until_ms = {r: t for r, t in self._avoid_until_ms.items() if t > current_ms}
        return sorted(others, key=self._preference)[:LINK_COUNT]

    def _preference(self, reader: ReaderSeen) -> tuple[bool, bool, bytes]:
        """Sort key: readers without a lost link first, then by zone, then by rendezvous hash."""
        is_avoided = reader in self._avoid_until_ms
        return is_avoided, reader.zone != self._zone, rendezvous_weight(self._entry, reader.entry)

    async def _run_link(self, reader: ReaderSeen) -> None:
        while True:
            try:
                await self._subscribe(reader)
            except (OSError, HandshakeError, LinkClosedError, MessageError) as error:
                reason = str(error)
            except curio.TaskTimeout:
                reason = "timed out"
            self._avoid_until_ms[reader] = now_ms() + AVOID_AFTER_LOSS_MS
            self._on_event("reader link lost", reader=reader.entry, reason=reason)
            await curio.sleep(REDIAL_DELAY_S)

    async def _subscribe(self, reader: ReaderSeen) -> None:
        async with curio.timeout_after(DIAL_TIMEOUT_S):
            own = PeerIdentity(0, 0)
            connection = await dial(reader.address, own=own, seat=0, counters=self.counters)
        try:
            subscribe = Subscribe(self._entry, self._follower.position)
            async with curio.timeout_after(DIAL_TIMEOUT_S):
                await connection.send(encode(subscribe))
            self._on_event("reader link made", reader=reader.entry)
            listed = _ListedEntries(self._catalog.live_entries)
            while True:
                await self._receive(connection, listed, reader.entry)
        finally:
            await connection.close()

    async def _receive(self, connection: Connection, listed: _ListedEntries, reader: str) -> None:
        async with curio.timeout_after(RECEIVE_TIMEOUT_S):
            received = await connection.receive()
        for data in received:
            await self._on_message(decode(data), listed, reader)

    async def _on_message(self, message: RelayMessage, listed: _ListedEntries, reader: str) -> None:
        if isinstance(message, CatalogUpdate):
            await self._follower.on_update(
                Update(message.changes, message.position, message.is_full)
            )
        elif isinstance(message, Confirmation):
            confirmed_ms = now_ms() - message.age_ms
            self._follower.on_confirmation(
                position=message.position,
                confirmed_ms=confirmed_ms,
                reader=reader,
                grace_left_ms=message.grace_left_ms,
            )
            listed.refresh()
        elif isinstance(message, EntriesChanged):
            listed.on_change(message)
