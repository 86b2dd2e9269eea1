"""In-process entries with a store whose faults a test sets."""

from __future__ import annotations

import curio

from kingcupusher._core import now_ms
from kingcupusher._discovery import RoutesPublished
from standins.processes import AddressPool
from testing.gateway.discovery_entry import DiscoveryEntry
from testing.gateway.fixture import route_table
from testing.gateway.store import FakeStore

ADDRESSES = AddressPool()
"""Clusters that run at the same time must not choose the same port before they listen."""


class Cluster:
    """Several entries and their store in one curio event loop."""

    entry_class = DiscoveryEntry

    def __init__(self, count, zones):
        self.store = FakeStore()
        self.store.write("routes", RoutesPublished(route_table()))
        self.zones = {f"e{i}": f"z{i % zones}" for i in range(count)}
        self.addresses = {}
        self.members = {}
        self.running = set()
        self.link_mbps = {}
        self.seeds = ()

    async def start_all(self):
        """Start all entries and wait for three readers that have confirmed the state to all."""
        for name in self.zones:
            self.addresses[name] = ADDRESSES.allocate()
        for name in self.zones:
            await self.start(name)
        assert await self.wait_for(lambda: len(self.readers()) == 3), self.readers()
        await curio.sleep(1.0)

    async def stop_all(self):
        """Kill the running entries."""
        for name in list(self.running):
            await self.stop(name)

    async def start(self, name):
        """Start the entry ``name``."""
        address = self.addresses.setdefault(name, ADDRESSES.allocate())
        self.members[name] = self.entry_class(
            name,
            self.zones[name],
            self.store,
            address=address,
            link_mbps=self.link_mbps.get(name, 1_000.0),
            seeds=[self.addresses[seed] for seed in self.seeds if seed != name],
        )
        self.running.add(name)
        await self.members[name].start()

    async def stop(self, name):
        """Kill the entry ``name``."""
        self.running.discard(name)
        await self.members[name].stop()

    def readers(self):
        """Return the running entries that hold a reader slot."""
        return sorted(name for name in self.running if self.members[name].reader_slot.is_held)

    async def wait_for(self, condition, *, within_ms=6_000.0):
        """Return whether ``condition`` became true in time."""
        end_ms = now_ms() + within_ms
        while not condition() and now_ms() < end_ms:
            await curio.sleep(0.01)
        return condition()
