"""The subscriber's side: gets the news from two readers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._core.rendezvous import rendezvous_weight
from kingcupusher._discovery import Catalog, ReaderSeen, StoreFollower, Update
from kingcupusher._peers.connection import ByteCounters, Connection, PeerIdentity, dial
from kingcupusher._peers.errors import HandshakeError, LinkClosedError, MessageError
from kingcupusher._relay.messages import (
    Attendance,
    News,
    Pulse,
    RelayMessage,
    Subscribe,
    decode,
    encode,
)

LINK_COUNT = 2
"""With two of three readers, any two readers together know all entries."""
DIAL_S = 0.7
SILENCE_S = 1.4
"""A reader sends something every 0.9 s."""
REDIAL_S = 0.5
CHECK_S = 0.2
AVOID_MS = 4_000.0
"""A reader whose link was lost is only used meanwhile if there is no other."""
NO_SLOT = -1


class Subscriptions:
    """Keeps links to readers: one in the own zone if there is one, and another.

    An entry that knows no reader yet, because the store does not answer, asks the entries at
    ``seeds``, addresses that may be out of date.
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
        """Link to the readers that the catalog names, until cancelled."""
        while True:
            wanted = self._wanted()
            for reader in [r for r in self._links if r not in wanted]:
                await self._links.pop(reader).cancel()
            for reader in wanted:
                if reader not in self._links:
                    self._links[reader] = await curio.spawn(self._keep, reader, daemon=True)
            await curio.sleep(CHECK_S)

    def _wanted(self) -> list[ReaderSeen]:
        known = self._catalog.readers.values() if self._catalog.has_routes else self._seeds
        others = [reader for reader in known if reader.entry != self._entry]
        current_ms = now_ms()
        self._avoid_until_ms = {r: t for r, t in self._avoid_until_ms.items() if t > current_ms}
        return sorted(others, key=self._preference)[:LINK_COUNT]

    def _preference(self, reader: ReaderSeen) -> tuple[bool, bool, bytes]:
        """Order readers by lost links, then by zone, then evenly over the entries."""
        is_avoided = reader in self._avoid_until_ms
        return is_avoided, reader.zone != self._zone, rendezvous_weight(self._entry, reader.entry)

    async def _keep(self, reader: ReaderSeen) -> None:
        while True:
            try:
                await self._follow(reader)
            except (OSError, HandshakeError, LinkClosedError, MessageError) as error:
                reason = str(error)
            except curio.TaskTimeout:
                reason = "silent"
            self._avoid_until_ms[reader] = now_ms() + AVOID_MS
            self._on_event("reader link lost", reader=reader.entry, reason=reason)
            await curio.sleep(REDIAL_S)

    async def _follow(self, reader: ReaderSeen) -> None:
        async with curio.timeout_after(DIAL_S):
            own = PeerIdentity(0, 0)
            connection = await dial(reader.address, own=own, seat=0, counters=self.counters)
        try:
            subscribe = Subscribe(self._entry, self._follower.revision)
            async with curio.timeout_after(DIAL_S):
                await connection.send(encode(subscribe))
            while True:
                await self._receive(connection)
        finally:
            await connection.close()

    async def _receive(self, connection: Connection) -> None:
        async with curio.timeout_after(SILENCE_S):
            received = await connection.receive()
        for data in received:
            await self._on_message(decode(data))

    async def _on_message(self, message: RelayMessage) -> None:
        if isinstance(message, News):
            update = Update(message.changes, message.revision, message.is_whole)
            confirmed_ms = now_ms() - message.age_ms
            await self._follower.on_update(update, confirmed_ms=confirmed_ms)
        elif isinstance(message, Pulse):
            confirmed_ms = now_ms() - message.age_ms
            self._follower.on_confirmation(revision=message.revision, confirmed_ms=confirmed_ms)
        elif isinstance(message, Attendance):
            self._catalog.live_entries.mark_seen(message.entries, now_ms=now_ms())
