"""Reader slots: a few keys in the store that entries acquire by compare-and-swap under a lease.

A slot only determines which entry reads the store on behalf of others. Two holders at a time, or
none, cost additional calls to the store and do no other harm.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random
from typing import Protocol

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._discovery import Catalog, ChangeSourceError, ReaderSeen

SLOT_COUNT = 3
LEASE_TTL_MS = 6_000.0
RENEWAL_INTERVAL_MS = 2_000.0
CHECK_INTERVAL_S = 0.25
MAX_RANDOM_DELAY_MS = 1_000.0
"""Entries wait a random time of up to this length, so that few try to acquire a slot at once."""
COVERED_ZONE_DELAY_MS = 1_500.0
"""An entry whose zone has a reader leaves a vacant slot to other zones for this time."""
RETRY_DELAY_S = 2.0
NARROW_LINK_DELAY_MS = 3_000.0
"""An entry with a slow link leaves a vacant slot to others for up to this time."""
MIN_SEARCH_INTERVAL_MS = 800.0
"""Shortest interval between stale reads of the slots while no reader is known; the longest is one
and a half times as long. An entry that finds no reader would watch the store itself."""
SUBSCRIPTION_DELAY_MS = 6_500.0
"""Time for subscribers to connect to a new reader and to be listed, which takes 5 s; a reader
without any is the only entry."""
REQUIRED_LINK_MBPS = 20.0
"""A reader for 80 entries sends 2 Mbit/s on average, and several times that in a burst."""


class ReaderSlotStore(Protocol):
    """The part of the store client that manages reader slots."""

    async def list_reader_slots(self) -> list[ReaderSeen]:
        """Return the occupied slots, from a read that may be stale."""

    async def acquire_reader_slot(self, reader: ReaderSeen, *, ttl_ms: float) -> int | None:
        """Acquire a slot; return the lease, or None if the slot was occupied."""

    async def renew(self, lease: int) -> bool:
        """Renew ``lease``; return False if it has ended. Raises :class:`ChangeSourceError`."""


class ReaderSlot:
    """Acquires a vacant reader slot and holds it; finds the readers while none is known."""

    __slots__ = (
        "_acquire_at_ms",
        "_address",
        "_catalog",
        "_entry",
        "_held_since_ms",
        "_lease",
        "_has_waited",
        "_link_delay_ms",
        "_on_event",
        "_renewal_ms",
        "_rng",
        "_search_at_ms",
        "_slot",
        "_store",
        "_zone",
    )

    def __init__(
        self,
        store: ReaderSlotStore,
        catalog: Catalog,
        *,
        entry: str,
        zone: str,
        address: Address,
        link_mbps: float,
        rng: Random,
        on_event: Callable[..., None],
    ) -> None:
        self._store = store
        self._catalog = catalog
        self._entry = entry
        self._zone = zone
        self._address = address
        self._link_delay_ms = NARROW_LINK_DELAY_MS * min(1.0, REQUIRED_LINK_MBPS / link_mbps)
        self._rng = rng
        self._on_event = on_event
        self._slot: int | None = None
        self._lease = 0
        self._held_since_ms = 0.0
        self._renewal_ms = 0.0
        self._acquire_at_ms = inf
        self._has_waited = False
        self._search_at_ms = inf

    @property
    def is_held(self) -> bool:
        """Whether this entry reads the store on behalf of others."""
        return self._slot is not None

    async def run(self) -> None:
        """Acquire a vacant slot and renew its lease until cancelled."""
        while True:
            try:
                await self._step()
            except ChangeSourceError as error:
                self._on_event("reader place not confirmed", reason=str(error))
                await curio.sleep(RETRY_DELAY_S)
            await curio.sleep(CHECK_INTERVAL_S)

    async def _step(self) -> None:
        if self._slot is not None:
            self._list_itself()
            await self._renew_if_due()
        elif (held := self._find_own_slot()) is not None:
            await self._resume(held)
        elif self._catalog.has_routes:
            await self._search_if_due()
            await self._acquire_if_due()

    async def _search_if_due(self) -> None:
        """Read the slots while no reader is known, as after a start of all entries at once."""
        if self._catalog.readers:
            self._search_at_ms = inf
            return
        if now_ms() >= self._search_at_ms:
            self._catalog.apply(await self._store.list_reader_slots(), now_ms=now_ms())
            self._search_at_ms = inf
        if self._search_at_ms == inf:
            self._search_at_ms = now_ms() + MIN_SEARCH_INTERVAL_MS * (
                1.0 + self._rng.random() / 2.0
            )

    async def _acquire_if_due(self) -> None:
        """Acquire a slot that has been vacant for the delay of this entry."""
        if self._find_vacant_slot() is None:
            self._acquire_at_ms = inf
        elif self._acquire_at_ms == inf:
            zone_delay_ms = self._zone_delay_ms()
            self._has_waited = zone_delay_ms > 0.0
            random_delay_ms = self._rng.random() * MAX_RANDOM_DELAY_MS
            self._acquire_at_ms = now_ms() + random_delay_ms + zone_delay_ms + self._link_delay_ms
        elif now_ms() >= self._acquire_at_ms:
            self._acquire_at_ms = inf
            await self._acquire(has_waited=self._has_waited)

    def _hold(self, slot: int, lease: int) -> None:
        self._slot, self._lease = slot, lease
        self._held_since_ms = now_ms()
        self._renewal_ms = now_ms() + RENEWAL_INTERVAL_MS

    def _list_itself(self) -> None:
        """Count this entry as live, also if it is the only one and no reader lists it."""
        if now_ms() >= self._held_since_ms + SUBSCRIPTION_DELAY_MS:
            self._catalog.live_entries.mark_seen([self._entry], now_ms=now_ms())

    def _find_own_slot(self) -> ReaderSeen | None:
        readers = self._catalog.readers.values()
        return next((reader for reader in readers if reader.entry == self._entry), None)

    async def _resume(self, reader: ReaderSeen) -> None:
        """Resume the slot that this entry held before it restarted."""
        if reader.address != self._address or not await self._store.renew(reader.lease):
            await curio.sleep(RETRY_DELAY_S)
            return
        self._hold(reader.slot, reader.lease)
        self._on_event("reader place resumed", slot=reader.slot, lease=reader.lease)

    def _find_vacant_slot(self) -> int | None:
        return next((i for i in range(SLOT_COUNT) if i not in self._catalog.readers), None)

    def _zone_delay_ms(self) -> float:
        zones = {reader.zone for reader in self._catalog.readers.values()}
        return COVERED_ZONE_DELAY_MS if self._zone in zones else 0.0

    async def _acquire(self, *, has_waited: bool) -> None:
        """Acquire a slot, unless the zone of this entry has got a reader meanwhile."""
        taken = await self._store.list_reader_slots()
        self._catalog.apply(taken, now_ms=now_ms())
        slots = {reader.slot for reader in taken}
        vacant = [i for i in range(SLOT_COUNT) if i not in slots]
        has_reader = self._zone in {reader.zone for reader in taken}
        if not vacant or (has_reader and not has_waited):
            return
        reader = ReaderSeen(vacant[0], self._entry, self._zone, self._address)
        lease = await self._store.acquire_reader_slot(reader, ttl_ms=LEASE_TTL_MS)
        if lease is None:
            return
        self._hold(vacant[0], lease)
        self._on_event("reader place taken", slot=vacant[0], lease=lease)

    async def _renew_if_due(self) -> None:
        holder = self._catalog.readers.get(self._slot if self._slot is not None else -1)
        if holder is not None and holder.entry != self._entry:
            self._on_lost("taken by another entry")
            return
        if now_ms() < self._renewal_ms:
            return
        if not await self._store.renew(self._lease):
            self._on_lost("its lease has ended")
            return
        self._renewal_ms = now_ms() + RENEWAL_INTERVAL_MS

    def _on_lost(self, reason: str) -> None:
        self._on_event("reader place lost", slot=self._slot, reason=reason)
        self._slot = None
