"""In-memory store for tests, with revisions, history, leases and simulated outages."""

from __future__ import annotations

from collections import Counter

import curio
import msgspec

from kingcupusher._core import now_ms
from kingcupusher._discovery import (
    ChangeBatch,
    ChangeSourceError,
    HistoryGoneError,
    RateLimitedError,
    ReaderGone,
    ReaderSeen,
    RolloutOrder,
    RolloutOrdered,
    RolloutPhaseSeen,
    StorePosition,
    WaitCutError,
)

STALE_READ_PRICE = 0.1
"""Price of a stale read; that of a call is 1."""


class FakeStore:
    """Implements the change source of a store follower and the reader slots."""

    def __init__(self):
        self.restorations = 1
        self.revision = 1
        self.events = []
        self.oldest_revision = 0
        self.contents = {}
        self.call_count = 0
        self.prices_by_entry = Counter()
        self.unavailable_for = set()
        self.unresponsive_for = set()
        self.slot_leases = {}
        self.watching_entries = set()
        self.stale_batch = None
        self.loses_responses = False
        self.cut_count = 0
        self.rate_limited_for = set()

    def write(self, key, change):
        """Write ``change`` under ``key``."""
        self.revision += 1
        self.contents[key] = change
        self.events.append((self.revision, change))

    def order_rollout(self, version, *, duration_ms):
        """Order the rollout of ``version`` for the service ``s``."""
        order = RolloutOrder(
            service="s",
            target_version=version,
            duration_ms=duration_ms,
            revision=self.revision + 1,
        )
        self.write("order s", RolloutOrdered(order))

    def remove(self, key, change):
        """Remove ``key`` and record ``change`` as the event."""
        self.revision += 1
        self.contents.pop(key, None)
        self.events.append((self.revision, change))

    @property
    def position(self):
        """Return the position of the latest change."""
        return StorePosition(self.restorations, self.revision)

    def copy(self):
        """Return a copy for ``restore``."""
        return self.revision, list(self.events), dict(self.contents), dict(self.slot_leases)

    def serve_old_copies(self):
        """Return the present contents to all stale reads from now on."""
        self.stale_batch = ChangeBatch(list(self.contents.values()), self.position)

    def lapse_reader_slots(self):
        """End the leases of all reader slots."""
        self.slot_leases.clear()
        held = [change for change in self.contents.values() if isinstance(change, ReaderSeen)]
        for reader in held:
            self.remove(f"reader {reader.slot}", ReaderGone(reader.slot))

    def restore(self, copy):
        """Return to the content of ``copy``; what was written since is lost."""
        self.restorations += 1
        self.revision, self.events, self.contents, self.slot_leases = copy

    def compact_history(self):
        """Drop the events so far."""
        self.oldest_revision = self.revision
        self.events = []

    def cut_watches(self):
        """End the watches that wait, without a response."""
        self.cut_count += 1

    def client(self, entry):
        """Return the client of one entry."""
        return FakeStoreClient(self, entry)


class FakeStoreClient:
    """Client of one entry."""

    def __init__(self, store, entry):
        self.store = store
        self.entry = entry

    async def _call(self, timeout_ms, *, price=1.0):
        self.store.call_count += 1
        self.store.prices_by_entry[self.entry] += price
        if self.entry in self.store.unresponsive_for:
            await curio.sleep(timeout_ms / 1000.0)
            raise ChangeSourceError("the store does not respond")
        if self.entry in self.store.rate_limited_for:
            raise RateLimitedError("too many calls")
        if self.entry in self.store.unavailable_for:
            raise ChangeSourceError("the store is unavailable")

    async def read_all(self, *, timeout_ms):
        """Return all contents."""
        await self._call(timeout_ms)
        return ChangeBatch(list(self.store.contents.values()), self.store.position)

    async def read_all_stale(self, *, timeout_ms):
        """Return all contents, or the older ones that a test set."""
        batch = await self.read_all(timeout_ms=timeout_ms)
        return self.store.stale_batch or batch

    async def probe(self, *, timeout_ms):
        """Make a call without a result."""
        await self._call(timeout_ms, price=STALE_READ_PRICE)

    async def wait_for_changes(self, *, after, wait_ms, timeout_ms):
        """Wait for events after a position."""
        end_ms = now_ms() + wait_ms
        self.store.watching_entries.add(self.entry)
        await self._call(wait_ms + timeout_ms)
        cut_count = self.store.cut_count
        while self.store.position == after and now_ms() < end_ms:
            await curio.sleep(0.005)
            if self.store.cut_count > cut_count:
                raise WaitCutError("the store ended the wait")
            if self.entry in self.store.unresponsive_for:
                await curio.sleep(timeout_ms / 1000.0)
                raise ChangeSourceError("the store does not respond")
        is_known = self.store.oldest_revision <= after.revision <= self.store.revision
        if not is_known or after.restorations != self.store.restorations:
            raise HistoryGoneError("the store does not have this history")
        changes = [change for revision, change in self.store.events if revision > after.revision]
        return ChangeBatch(changes, self.store.position)

    async def list_reader_slots(self):
        """Return the reader slots that are held."""
        await self._call(1_000.0)
        return [c for c in self.store.contents.values() if isinstance(c, ReaderSeen)]

    async def acquire_reader_slot(self, reader, *, ttl_ms):
        """Acquire a reader slot unless it is held."""
        await self._call(1_000.0)
        if reader.slot in self.store.slot_leases:
            return None
        lease = 100 + reader.slot
        self.store.slot_leases[reader.slot] = lease
        held = ReaderSeen(reader.slot, reader.entry, reader.zone, reader.address, lease)
        self.store.write(f"reader {reader.slot}", held)
        return lease

    async def create_lease(self, *, ttl_ms):
        """Return a lease that never ends."""
        del ttl_ms
        await self._call(1_000.0)
        return 1

    async def write_crash(self, crash, *, lease):
        """Write evidence on a request that ends targets."""
        del lease
        await self._call(1_000.0)
        self.store.write(f"crash {crash.fingerprint} {crash.target_id}", crash)
        return True

    async def remove_crash(self, crash):
        """Remove evidence."""
        await self._call(1_000.0)
        self.store.remove(f"crash {crash.fingerprint} {crash.target_id}", crash)

    async def write_rollout(self, state):
        """Write a phase unless it or the order has changed; the response may be lost."""
        await self._call(600.0)
        store = self.store
        before = store.contents.get(f"rollout {state.service}")
        order = store.contents.get(f"order {state.service}")
        is_current = (before.state.revision if before else 0) == state.revision
        if not is_current or order is None or order.order.revision != state.order_revision:
            return False
        written = msgspec.structs.replace(state, revision=store.revision + 1)
        store.write(f"rollout {state.service}", RolloutPhaseSeen(written))
        if store.loses_responses:
            raise ChangeSourceError("the response was lost")
        return True

    async def renew(self, lease):
        """Return whether the lease exists."""
        await self._call(1_000.0)
        return lease in self.store.slot_leases.values()
