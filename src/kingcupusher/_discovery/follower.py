"""Keeps the catalog up to date from a store that may be down, slow or without history.

A few entries, the readers, follow the store and relay its changes. Other entries read the store
only if no reader has confirmed their state for MAX_CONFIRMATION_AGE_MS, which bounds the delay
caused by a reader that dies, freezes or is partitioned.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import curio
from msgspec import Struct

from kingcupusher._core import KingcupusherError, now_ms
from kingcupusher._discovery.catalog import REREGISTRATION_GRACE_MS, Catalog
from kingcupusher._discovery.changes import Change, StoreReturned
from kingcupusher._discovery.position import StorePosition

WATCH_WAIT_MS = 1_000.0
"""A reader confirms the state at least this often."""
MAX_CONFIRMATION_AGE_MS = 1_600.0
"""State that no reader confirmed for this long is read from the store; a change must be in force
2 s after its write."""
RESPONSE_TIMEOUT_MS = 600.0
MAX_RESPONSE_TIMEOUT_MS = 4_000.0
"""Time that a watch may take beyond its wait; it grows while the store is slow."""
BATCH_PAUSE_MS = 400.0
"""Pause after changes, to get the following ones in one call. A change is due within 2 s."""
RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 1.2
"""Delays after failed calls; the end of an outage must be detected within the 2 s grace period."""
LINKED_RETRY_DELAY_S = 4.0
"""Delay of an entry that gets messages of a reader, which will tell it of the end of an outage."""
READER_SILENCE_MS = 1_500.0
"""A reader sends a message at least every 1.2 s."""
CHECK_INTERVAL_S = 0.1
STALE_READ_AGE_MS = 1_000.0
"""Assumed age of the result of a stale read."""
READER_SEARCH_MS = 2_000.0
"""An entry that has just started looks for a reader for this time before it watches the store,
which costs ten times as much as a stale read. Changes are due 3 s after its start."""
HISTORY_LENGTH = 256
OWN_CALL = "store"
"""Source of a confirmation that no reader relayed."""


class ChangeSourceError(KingcupusherError):
    """Raised when the store gave no usable response."""


class HistoryGoneError(ChangeSourceError):
    """Raised when the store no longer has the history after the given position."""


class ChangeBatch(Struct, frozen=True):
    """Changes and the position up to which they are complete."""

    changes: list[Change]
    position: StorePosition


class ChangeSource(Protocol):
    """The part of the store client that reads changes."""

    async def read_all(self, *, timeout_ms: float) -> ChangeBatch:
        """Return the current full state; raise :class:`ChangeSourceError`."""

    async def read_all_stale(self, *, timeout_ms: float) -> ChangeBatch:
        """Return a full state that may be seconds old; raise :class:`ChangeSourceError`."""

    async def wait_for_changes(
        self, *, after: StorePosition, wait_ms: float, timeout_ms: float
    ) -> ChangeBatch:
        """Return the changes after ``after``, none if the wait ended without any.

        ``timeout_ms`` counts from the end of the wait. Raises :class:`HistoryGoneError`, also
        after a restoration of the store, or another :class:`ChangeSourceError`.
        """


class Update(Struct, frozen=True):
    """Changes for another entry; a full snapshot if ``is_full``."""

    changes: list[Change]
    position: StorePosition
    is_full: bool


class StoreFollower:
    """Applies changes from the store and from readers, and keeps recent ones for relaying."""

    __slots__ = (
        "_catalog",
        "_failing_since_ms",
        "_heard_ms",
        "_history",
        "_is_reader",
        "_must_read_all",
        "_on_event",
        "_reregistration_until_ms",
        "_response_timeout_ms",
        "_retry_delay_s",
        "_search_until_ms",
        "_source",
        "confirmed_ms",
        "position",
        "updated",
    )

    def __init__(
        self,
        source: ChangeSource,
        catalog: Catalog,
        *,
        is_reader: Callable[[], bool],
        on_event: Callable[..., None],
    ) -> None:
        self._source = source
        self._catalog = catalog
        self._is_reader = is_reader
        self._on_event = on_event
        self._failing_since_ms: float | None = None
        self._response_timeout_ms = RESPONSE_TIMEOUT_MS
        self._retry_delay_s = RETRY_DELAY_S
        self._heard_ms = 0.0
        self._history: list[ChangeBatch] = []
        self._reregistration_until_ms = 0.0
        self._must_read_all = False
        self._search_until_ms = 0.0
        self.position: StorePosition | None = None
        self.confirmed_ms = 0.0
        self.updated = curio.Event()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            if self.position is not None and not self._must_read(now_ms()):
                await curio.sleep(CHECK_INTERVAL_S)
                continue
            sent_ms = now_ms()
            try:
                await self._read()
            except HistoryGoneError as error:
                self._on_event("store history lost", position=self.position, reason=str(error))
                self._must_read_all = True
            except ChangeSourceError as error:
                self._record_failure(error, elapsed_ms=now_ms() - sent_ms)
                await curio.sleep(self._retry_delay_s)

    def _must_read(self, now_ms: float) -> bool:
        if self._is_reader() or self._must_read_all:
            return True
        if now_ms < self._search_until_ms:
            return False
        return now_ms - self.confirmed_ms > MAX_CONFIRMATION_AGE_MS

    async def _read(self) -> None:
        sent_ms = now_ms()
        if self.position is None:
            # The first state may be old, as the watch that follows returns the missing changes.
            batch = await self._source.read_all_stale(timeout_ms=self._response_timeout_ms)
            if self.position is None:
                self._search_until_ms = now_ms() + READER_SEARCH_MS
                await self._apply_read(batch, confirmed_ms=sent_ms - STALE_READ_AGE_MS)
            return
        if self._must_read_all:
            batch = await self._source.read_all(timeout_ms=self._response_timeout_ms)
            await self._apply_read(batch, confirmed_ms=sent_ms)
            return
        paused_ms = min(BATCH_PAUSE_MS, max(0.0, sent_ms - self.confirmed_ms))
        wait_ms = WATCH_WAIT_MS - paused_ms
        batch = await self._source.wait_for_changes(
            after=self.position, wait_ms=wait_ms, timeout_ms=self._response_timeout_ms
        )
        # An empty response confirms the state until at least the end of the wait.
        self._record_success(now_ms() if batch.changes else sent_ms + wait_ms)
        if batch.position > self.position:
            changes = self._with_store_returned(batch.changes)
            await self._apply_update(Update(changes, batch.position, is_full=False))
        # Subscribers need this confirmation before their last one expires.
        await self.updated.set()
        if batch.changes:
            await curio.sleep(BATCH_PAUSE_MS / 1000.0)

    async def _apply_read(self, batch: ChangeBatch, *, confirmed_ms: float) -> None:
        self._record_success(confirmed_ms)
        await self._apply_update(Update(batch.changes, batch.position, is_full=True))

    # -- updates from readers

    async def on_update(self, update: Update) -> None:
        """Apply an update from a reader; its confirmation follows."""
        if self.position is None or update.position > self.position:
            await self._apply_update(update)

    def on_confirmation(self, *, position: StorePosition, confirmed_ms: float, reader: str) -> None:
        """Record that the store confirmed the state up to ``position`` to ``reader``."""
        self._heard_ms = now_ms()
        if self.position is not None and position <= self.position:
            self._confirm(confirmed_ms, source=reader)

    def lacks_update(self, position: StorePosition | None) -> bool:
        """Return whether an entry at ``position`` lacks changes that this entry has."""
        return self.position is not None and (position is None or position < self.position)

    def update_after(self, position: StorePosition | None) -> Update | None:
        """Return the update for an entry at ``position``, None if it lacks nothing."""
        if self.position is None or not self.lacks_update(position):
            return None
        if position is None or not self._history or self._history[0].position > position:
            return Update(self._catalog.snapshot(), self.position, is_full=True)
        newer = [batch for batch in self._history if batch.position > position]
        changes = [change for batch in newer for change in batch.changes]
        return Update(changes, self.position, is_full=False)

    # -- details

    def _with_store_returned(self, changes: list[Change]) -> list[Change]:
        """Prepend ``StoreReturned`` after an outage: removed registrations may only have lapsed."""
        return [StoreReturned(), *changes] if now_ms() < self._reregistration_until_ms else changes

    async def _apply_update(self, update: Update) -> None:
        self._check_restoration(update.position)
        if update.is_full:
            self._catalog.replace(update.changes, now_ms=now_ms())
            self._history = [ChangeBatch([], update.position)]
        else:
            self._catalog.apply(update.changes, now_ms=now_ms())
            self._history.append(ChangeBatch(update.changes, update.position))
            del self._history[:-HISTORY_LENGTH]
        self.position = update.position
        self._must_read_all = False
        await self.updated.set()

    def _check_restoration(self, position: StorePosition) -> None:
        """Treat a restoration like the end of an outage, even if no call to the store failed."""
        before = self.position
        if before is not None and position.restorations > before.restorations:
            self._on_event("store restored", position=position, before=before)
            self._start_reregistration()

    def _start_reregistration(self) -> None:
        """Expect targets to register again: removed registrations may only have lapsed."""
        self._catalog.apply([StoreReturned()], now_ms=now_ms())
        self._reregistration_until_ms = now_ms() + REREGISTRATION_GRACE_MS

    def _confirm(self, confirmed_ms: float, *, source: str) -> None:
        """Log which source confirmed the state after a time without a confirmation."""
        before_ms = self.confirmed_ms
        self.confirmed_ms = max(before_ms, min(confirmed_ms, now_ms()))
        oldest_ms = now_ms() - MAX_CONFIRMATION_AGE_MS
        if before_ms < oldest_ms <= self.confirmed_ms:
            unconfirmed_ms = round(now_ms() - before_ms) if before_ms else None
            self._on_event("state confirmed", source=source, unconfirmed_ms=unconfirmed_ms)

    def _record_success(self, confirmed_ms: float) -> None:
        self._confirm(confirmed_ms, source=OWN_CALL)
        self._response_timeout_ms = max(RESPONSE_TIMEOUT_MS, self._response_timeout_ms / 2.0)
        self._retry_delay_s = RETRY_DELAY_S
        if self._failing_since_ms is None:
            return
        outage_ms = now_ms() - self._failing_since_ms
        self._failing_since_ms = None
        # An unresponsive store is detected late: a short failure may be the end of a long outage.
        self._start_reregistration()
        self._on_event("store regained", outage_ms=round(outage_ms))

    def _record_failure(self, error: ChangeSourceError, *, elapsed_ms: float) -> None:
        self._response_timeout_ms = min(MAX_RESPONSE_TIMEOUT_MS, self._response_timeout_ms * 1.5)
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms()
            self._on_event("store lost", position=self.position, reason=str(error))
        elif self._is_reader():
            self._retry_delay_s = RETRY_DELAY_S
        elif now_ms() - self._heard_ms < READER_SILENCE_MS:
            self._retry_delay_s = LINKED_RETRY_DELAY_S
        else:
            self._retry_delay_s = min(MAX_RETRY_DELAY_S, self._retry_delay_s * 1.5)
        self._on_event(
            "store call failed",
            reason=str(error),
            elapsed_ms=round(elapsed_ms),
            next_timeout_ms=round(self._response_timeout_ms),
            retry_delay_ms=round(self._retry_delay_s * 1000.0),
            is_reader=self._is_reader(),
            reader_message_age_ms=round(now_ms() - self._heard_ms) if self._heard_ms else None,
        )
