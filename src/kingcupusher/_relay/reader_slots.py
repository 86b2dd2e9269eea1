"""The readers' places: a few keys under a lease that entries take by compare-and-swap.

A place says only who reads the store on behalf of others. Two holders at a time, or none, cost
calls to the store and break nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._discovery import Catalog, ChangeSourceError, ReaderSeen

PLACE_COUNT = 3
TTL_MS = 6_000.0
RENEW_MS = 2_000.0
CHECK_S = 0.25
SPREAD_S = 1.0
"""Entries wait a random time of this length before they take a place, so that few try at once."""
OTHER_ZONE_S = 1.5
"""An entry whose zone has a reader leaves a vacant place to other zones for this time."""
RETRY_S = 2.0
NARROW_LINK_S = 3.0
"""An entry with a narrow link leaves a vacant place to others for this time."""
RELAY_LINK_MBPS = 20.0
"""A reader of 80 entries sends 2 Mbit/s of news on average, and several times that in a burst."""


class ReaderSlotStore(Protocol):
    """Where the places are kept."""

    async def list_reader_slots(self) -> list[ReaderSeen]:
        """Return the places that are taken, from a read that may be old."""

    async def acquire_reader_slot(self, reader: ReaderSeen, *, ttl_ms: float) -> int | None:
        """Take the place if it is vacant; return the lease, or None if it was taken."""

    async def renew(self, lease: int) -> bool:
        """Renew ``lease``; return False if it has ended. Raises :class:`ChangeSourceError`."""


class ReaderSlot:
    """Takes and keeps a place when one is vacant."""

    __slots__ = (
        "_address",
        "_catalog",
        "_entry",
        "_lease",
        "_link_delay_s",
        "_on_event",
        "_renew_ms",
        "_rng",
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
        self._link_delay_s = NARROW_LINK_S * min(1.0, RELAY_LINK_MBPS / link_mbps)
        self._rng = rng
        self._on_event = on_event
        self._slot: int | None = None
        self._lease = 0
        self._renew_ms = 0.0

    @property
    def is_held(self) -> bool:
        """Whether this entry reads the store on behalf of others."""
        return self._slot is not None

    async def run(self) -> None:
        """Take a vacant place and renew it until cancelled."""
        while True:
            try:
                await self._step()
            except ChangeSourceError as error:
                self._on_event("reader place not confirmed", reason=str(error))
                await curio.sleep(RETRY_S)
            await curio.sleep(CHECK_S)

    async def _step(self) -> None:
        if self._slot is not None:
            await self._keep()
        elif (own := self._own_place()) is not None:
            await self._adopt(own)
        elif self._catalog.has_routes and self._vacant() is not None:
            zone_delay_s = self._zone_delay_s()
            spread_s = self._rng.random() * SPREAD_S
            await curio.sleep(spread_s + zone_delay_s + self._link_delay_s)
            if self._vacant() is not None:
                await self._take(has_waited=zone_delay_s > 0.0)

    def _own_place(self) -> ReaderSeen | None:
        readers = self._catalog.readers.values()
        return next((reader for reader in readers if reader.entry == self._entry), None)

    async def _adopt(self, place: ReaderSeen) -> None:
        """Go on with the place that this entry held before it restarted."""
        if place.address != self._address or not await self._store.renew(place.lease):
            await curio.sleep(RETRY_S)
            return
        self._slot, self._lease = place.slot, place.lease
        self._renew_ms = now_ms() + RENEW_MS
        self._on_event("reader place resumed", slot=place.slot, lease=place.lease)

    def _vacant(self) -> int | None:
        return next((i for i in range(PLACE_COUNT) if i not in self._catalog.readers), None)

    def _zone_delay_s(self) -> float:
        zones = {reader.zone for reader in self._catalog.readers.values()}
        return OTHER_ZONE_S if self._zone in zones else 0.0

    async def _take(self, *, has_waited: bool) -> None:
        """Take a place, unless the own zone has got a reader meanwhile."""
        taken = await self._store.list_reader_slots()
        self._catalog.apply(taken, now_ms=now_ms())
        slots = {reader.slot for reader in taken}
        free = [i for i in range(PLACE_COUNT) if i not in slots]
        has_reader = self._zone in {reader.zone for reader in taken}
        if not free or (has_reader and not has_waited):
            return
        place = ReaderSeen(free[0], self._entry, self._zone, self._address)
        lease = await self._store.acquire_reader_slot(place, ttl_ms=TTL_MS)
        if lease is None:
            return
        self._slot, self._lease = free[0], lease
        self._renew_ms = now_ms() + RENEW_MS
        self._on_event("reader place taken", slot=free[0], lease=lease)

    async def _keep(self) -> None:
        holder = self._catalog.readers.get(self._slot if self._slot is not None else -1)
        if holder is not None and holder.entry != self._entry:
            self._lose("taken by another entry")
            return
        if now_ms() < self._renew_ms:
            return
        if not await self._store.renew(self._lease):
            self._lose("its lease has ended")
            return
        self._renew_ms = now_ms() + RENEW_MS

    def _lose(self, reason: str) -> None:
        self._on_event("reader place lost", slot=self._slot, reason=reason)
        self._slot = None
