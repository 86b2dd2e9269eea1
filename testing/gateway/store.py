"""A store in memory for tests: a revision counter, a history, leases and outages."""

from __future__ import annotations

import curio

from kingcupusher._core import now_ms
from kingcupusher._discovery import (
    ChangeBatch,
    ChangeSourceError,
    HistoryGoneError,
    ReaderSeen,
)


class FakeStore:
    """Implements the sources of a follower and the places of readers."""

    def __init__(self):
        self.revision = 1
        self.events = []
        self.first = 0
        self.picture = {}
        self.call_count = 0
        self.unavailable_for = set()
        self.unresponsive_for = set()
        self.places = {}

    def write(self, key, change):
        """Write ``change`` under ``key``."""
        self.revision += 1
        self.picture[key] = change
        self.events.append((self.revision, change))

    def remove(self, key, change):
        """Remove ``key``; ``change`` says what that means."""
        self.revision += 1
        self.picture.pop(key, None)
        self.events.append((self.revision, change))

    def compact_history(self):
        """Drop the events so far."""
        self.first = self.revision
        self.events = []

    def client(self, entry):
        """Return the calls of one entry."""
        return FakeStoreClient(self, entry)


class FakeStoreClient:
    """One entry's calls."""

    def __init__(self, store, entry):
        self.store = store
        self.entry = entry

    async def _call(self, timeout_ms):
        self.store.call_count += 1
        if self.entry in self.store.unresponsive_for:
            await curio.sleep(timeout_ms / 1000.0)
            raise ChangeSourceError("silent")
        if self.entry in self.store.unavailable_for:
            raise ChangeSourceError("down")

    async def read_all(self, *, timeout_ms):
        """Return the whole picture."""
        await self._call(timeout_ms)
        return ChangeBatch(list(self.store.picture.values()), self.store.revision)

    read_all_stale = read_all

    async def wait_for_changes(self, *, after_revision, wait_ms, timeout_ms):
        """Wait for events after a revision."""
        end_ms = now_ms() + wait_ms
        await self._call(wait_ms + timeout_ms)
        if after_revision < self.store.first:
            raise HistoryGoneError("history gone")
        while self.store.revision == after_revision and now_ms() < end_ms:
            await curio.sleep(0.005)
            if self.entry in self.store.unresponsive_for:
                await curio.sleep(timeout_ms / 1000.0)
                raise ChangeSourceError("silent")
        changes = [change for revision, change in self.store.events if revision > after_revision]
        return ChangeBatch(changes, self.store.revision)

    async def list_reader_slots(self):
        """Return the places that are taken."""
        await self._call(1_000.0)
        return [c for c in self.store.picture.values() if isinstance(c, ReaderSeen)]

    async def acquire_reader_slot(self, reader, *, ttl_ms):
        """Take a place if it is vacant."""
        await self._call(1_000.0)
        if reader.slot in self.store.places:
            return None
        lease = 100 + reader.slot
        self.store.places[reader.slot] = lease
        held = ReaderSeen(reader.slot, reader.entry, reader.zone, reader.address, lease)
        self.store.write(f"reader {reader.slot}", held)
        return lease

    async def renew(self, lease):
        """Return whether the lease lives."""
        await self._call(1_000.0)
        return lease in self.store.places.values()
