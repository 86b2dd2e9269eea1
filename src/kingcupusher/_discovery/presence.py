"""Registration of an entry, so that the entries can divide the bounds that they share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import curio

from kingcupusher._core import now_ms
from kingcupusher._discovery.catalog import Catalog
from kingcupusher._discovery.follower import SourceError

TTL_MS = 300_000.0
RENEW_S = 100.0
RETRY_S = 2.0


class PresenceStore(Protocol):
    """Where entries register."""

    async def register(self, entry: str, *, ttl_ms: float) -> int:
        """Register ``entry`` under a new lease and return it; raise :class:`SourceError`."""

    async def renew(self, lease: int) -> bool:
        """Renew ``lease``; return False if it has ended. Raises :class:`SourceError`."""

    def lease_of(self, entry: str) -> int | None:
        """Return the lease under which ``entry`` was last seen registered."""


class Presence:
    """Keeps one entry registered."""

    __slots__ = ("_catalog", "_entry", "_lease", "_on_event", "_store")

    def __init__(
        self,
        store: PresenceStore,
        catalog: Catalog,
        *,
        entry: str,
        on_event: Callable[..., None],
    ) -> None:
        self._store = store
        self._catalog = catalog
        self._entry = entry
        self._on_event = on_event
        self._lease: int | None = None

    async def run(self) -> None:
        """Register once the store was read, and renew until cancelled.

        A process that restarts takes over the lease of the one before it, which saves a write
        that every entry would be told of.
        """
        while not self._catalog.is_complete:
            await curio.sleep(RETRY_S / 10.0)
        self._lease = self._store.lease_of(self._entry)
        while True:
            try:
                await self._keep()
            except SourceError as error:
                self._on_event("registration failed", reason=str(error))
                await curio.sleep(RETRY_S)
            else:
                await curio.sleep(RENEW_S)

    async def _keep(self) -> None:
        if self._lease is not None and await self._store.renew(self._lease):
            return
        self._lease = await self._store.register(self._entry, ttl_ms=TTL_MS)
        self._on_event("registered", lease=self._lease, at_ms=round(now_ms()))
