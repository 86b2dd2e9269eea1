"""In-process entries that follow one fake store."""

from __future__ import annotations

from random import Random

import curio

from kingcupusher._discovery import Catalog, StoreFollower
from kingcupusher._relay import LeadServer, ReaderSlot, RelayServer, Subscriptions


class DiscoveryEntry:
    """The discovery part of one entry."""

    def __init__(self, name, zone, store, *, address, seeds=(), link_mbps=1_000.0):
        self.name = name
        self.events = []
        self.catalog = Catalog()
        client = store.client(name)
        self.reader_slot = ReaderSlot(
            client,
            self.catalog,
            entry=name,
            zone=zone,
            address=address,
            link_mbps=link_mbps,
            rng=Random(name),
            on_event=self._on_event,
        )
        self.follower = StoreFollower(
            client,
            self.catalog,
            is_reader=lambda: self.reader_slot.is_held,
            on_event=self._on_event,
        )
        self.lead_server = LeadServer()
        relay = RelayServer(
            address, self.follower, self.catalog, entry=name, lead_server=self.lead_server
        )
        subscriptions = Subscriptions(
            self.follower, self.catalog, entry=name, zone=zone, seeds=seeds, on_event=self._on_event
        )
        self._components = (self.follower, self.reader_slot, relay, subscriptions)
        self._tasks = []

    def _on_event(self, event, **fields):
        self.events.append((event, fields))

    async def start(self):
        """Start the tasks of the entry."""
        self._tasks = [await curio.spawn(part.run, daemon=True) for part in self._components]

    async def stop(self):
        """Stop the entry abruptly, as SIGKILL does."""
        for task in self._tasks:
            await task.cancel()
