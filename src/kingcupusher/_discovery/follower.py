"""Keeps the catalog up to date from a store that may be down, slow or without history.

A few entries, the readers, follow the store and relay its changes. Other entries read the store
only if no reader has confirmed their state for MAX_CONFIRMATION_AGE_MS, which bounds the delay
caused by a reader that dies, freezes or is partitioned.
"""

from __future__ import annotations

from collections.abc import Callable
from math import floor

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.heartbeats import DEFAULT_HEARTBEAT_MS
from kingcupusher._discovery.catalog import Catalog
from kingcupusher._discovery.change_history import ChangeHistory
from kingcupusher._discovery.change_source import (
    CallEnd,
    ChangeBatch,
    ChangeSource,
    ChangeSourceError,
    HistoryGoneError,
    Update,
)
from kingcupusher._discovery.changes import REREGISTRATION_GRACE_MS, StoreReturned
from kingcupusher._discovery.position import NO_POSITION, StorePosition
from kingcupusher._discovery.response_timeout import ResponseTimeout
from kingcupusher._discovery.store_availability import (
    StoreAvailability,
    StoreEvent,
    StoreState,
)
from kingcupusher._discovery.store_probes import StoreProbes, probe_interval_ms

WATCH_WAIT_MS = 1_000.0
"""A reader confirms the state at least this often."""
MAX_CONFIRMATION_AGE_MS = 1_600.0
"""State that no reader confirmed for this long is read from the store; a change must be in force
2 s after its write."""
BATCH_PAUSE_MS = 400.0
"""Pause after changes, to get the following ones in one call. A change is due within 2 s."""
READER_SILENCE_MS = 1_500.0
"""A reader sends a message at least every 1.2 s."""
CHECK_INTERVAL_S = 0.1
UNCONFIRMED_MS = 0.0
"""A stale read confirms nothing: its result may be seconds old."""
READER_SEARCH_MS = 2_000.0
"""An entry that has just started looks for a reader for this time before it watches the store,
which costs ten times as much as a stale read. Changes are due 3 s after its start."""
GRACE_STEP_MS = 100.0
OWN_CALL = "store"
"""Source of a confirmation that no reader relayed."""


class StoreFollower:
    """Applies changes from the store and from readers, and keeps recent ones for relaying."""

    __slots__ = (
        "_availability",
        "_catalog",
        "_heard_ms",
        "_history",
        "_is_reader",
        "_must_read_all",
        "_on_event",
        "_probes",
        "_search_until_ms",
        "_source",
        "_timeout",
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
        heartbeat_ms: float = DEFAULT_HEARTBEAT_MS,
    ) -> None:
        self._source = source
        self._catalog = catalog
        self._is_reader = is_reader
        self._on_event = on_event
        self._availability = StoreAvailability(heartbeat_ms=heartbeat_ms)
        self._timeout = ResponseTimeout()
        self._probes = StoreProbes(source, on_failure=self._record_failure)
        self._heard_ms = 0.0
        self._history = ChangeHistory(NO_POSITION)
        self._must_read_all = False
        self._search_until_ms = 0.0
        self.position: StorePosition | None = None
        self.confirmed_ms = UNCONFIRMED_MS
        self.updated = curio.Event()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        self._search_until_ms = now_ms() + READER_SEARCH_MS
        while True:
            if not self._must_read():
                await curio.sleep(CHECK_INTERVAL_S)
                continue
            sent_ms = now_ms()
            try:
                await self._read()
            except HistoryGoneError as error:
                self._on_event("store history lost", position=self.position, reason=str(error))
                self._must_read_all = True
            except ChangeSourceError as error:
                self._record_failure(error, now_ms() - sent_ms)
                if self._is_in_doubt():
                    await curio.sleep(CHECK_INTERVAL_S)
                    continue
                self._timeout.lengthen()
                await self._probes.run(
                    interval_ms=self._probe_interval_ms, is_needed=self._must_read
                )

    def _must_read(self) -> bool:
        if self.position is None or self._is_reader() or self._must_read_all:
            return True
        if now_ms() < self._search_until_ms:
            return False
        return now_ms() - self.confirmed_ms > MAX_CONFIRMATION_AGE_MS

    def _probe_interval_ms(self) -> float:
        is_linked = now_ms() - self._heard_ms < READER_SILENCE_MS
        return probe_interval_ms(is_reader=self._is_reader(), is_linked=is_linked)

    async def _read(self) -> None:
        sent_ms = now_ms()
        if self.position is None:
            # The first state may be old, as the watch that follows returns the missing changes.
            batch = await self._source.read_all_stale(timeout_ms=self._timeout.ms)
            if self.position is None:
                await self._apply_read(batch, confirmed_ms=UNCONFIRMED_MS)
            return
        if self._must_read_all:
            batch = await self._source.read_all(timeout_ms=self._timeout.ms)
            await self._apply_read(batch, confirmed_ms=sent_ms)
            return
        wait_ms = self._wait_ms(sent_ms)
        batch = await self._source.wait_for_changes(
            after=self.position, wait_ms=wait_ms, timeout_ms=self._timeout.ms
        )
        # An empty response confirms the state until at least the end of the wait.
        self._record_success(now_ms() if batch.changes else sent_ms + wait_ms)
        if batch.position > self.position:
            await self._apply_update(Update(batch.changes, batch.position, is_full=False))
        # Subscribers need this confirmation before their last one expires.
        await self.updated.set()
        if batch.changes:
            await curio.sleep(BATCH_PAUSE_MS / 1000.0)

    def _wait_ms(self, sent_ms: float) -> float:
        """Return how long the store may wait for changes, 0 if its last call failed."""
        if self._timeout.is_longer or self._is_in_doubt():
            return 0.0
        paused_ms = min(BATCH_PAUSE_MS, max(0.0, sent_ms - self.confirmed_ms))
        return WATCH_WAIT_MS - paused_ms

    async def _apply_read(self, batch: ChangeBatch, *, confirmed_ms: float) -> None:
        self._record_success(confirmed_ms)
        await self._apply_update(Update(batch.changes, batch.position, is_full=True))

    def gauges(self) -> dict[str, float]:
        """Return the age and position of the state, and the memory of the recent changes."""
        position = self.position or NO_POSITION
        return {
            "news_age_ms": now_ms() - self.confirmed_ms,
            "change_history_bytes": self._history.size_bytes,
            "store_restorations": position.restorations,
            "store_revision": position.revision,
        }

    # -- updates from readers

    async def on_update(self, update: Update) -> None:
        """Apply an update from a reader; its confirmation follows."""
        if self.position is None or update.position > self.position:
            await self._apply_update(update)

    def on_confirmation(
        self,
        *,
        position: StorePosition,
        confirmed_ms: float,
        reader: str,
        grace_left_ms: float = 0.0,
    ) -> None:
        """Record that the store confirmed the state up to ``position`` to ``reader``.

        ``grace_left_ms`` is how long lapsed registrations may be renewed as far as it knows.
        """
        if self.position is None:
            # The sender has no state either; it would have sent it first.
            return
        self._heard_ms = now_ms()
        self._expect_renewals(grace_left_ms)
        if position <= self.position:
            self._confirm(confirmed_ms, source=reader)
            self._end_outage_known_to(reader)

    def lacks_update(self, position: StorePosition | None) -> bool:
        """Return whether an entry at ``position`` lacks changes that this entry has."""
        return self.position is not None and (position is None or position < self.position)

    def update_after(self, position: StorePosition | None) -> Update | None:
        """Return the update for an entry at ``position``, None if it lacks nothing."""
        if self.position is None or not self.lacks_update(position):
            return None
        kept = None if position is None else self._history.after(position)
        changes = self._catalog.snapshot() if kept is None else kept
        if grace_left_ms := self.grace_left_ms:
            changes = [StoreReturned(grace_left_ms), *changes]
        return Update(changes, self.position, is_full=kept is None)

    @property
    def grace_left_ms(self) -> float:
        """How long lapsed registrations may still be renewed, in steps for common updates.

        It is rounded down, so that entries that tell each other do not prolong it.
        """
        left_ms = self._catalog.grace_left_ms(now_ms=now_ms())
        return floor(left_ms / GRACE_STEP_MS) * GRACE_STEP_MS

    # -- details

    async def _apply_update(self, update: Update) -> None:
        self._check_restoration(update.position)
        if update.is_full:
            self._catalog.replace(update.changes, now_ms=now_ms())
            self._history = ChangeHistory(update.position)
        else:
            self._catalog.apply(update.changes, now_ms=now_ms())
            self._history.append(update.changes, update.position)
        self.position = update.position
        self._must_read_all = False
        await self.updated.set()

    def _check_restoration(self, position: StorePosition) -> None:
        """Treat a restoration like the end of an outage, even if no call to the store failed."""
        before = self.position
        if before is not None and position.restorations > before.restorations:
            self._on_event("store restored", position=position, before=before)
            self._expect_renewals()

    def _expect_renewals(self, grace_left_ms: float = REREGISTRATION_GRACE_MS) -> None:
        """Expect targets to register again: removed registrations may only have lapsed."""
        if grace_left_ms > 0.0:
            self._catalog.apply([StoreReturned(grace_left_ms)], now_ms=now_ms())

    def _confirm(self, confirmed_ms: float, *, source: str) -> None:
        """Log which source confirmed the state after a time without a confirmation."""
        before_ms = self.confirmed_ms
        self.confirmed_ms = max(before_ms, min(confirmed_ms, now_ms()))
        oldest_ms = now_ms() - MAX_CONFIRMATION_AGE_MS
        if before_ms < oldest_ms <= self.confirmed_ms:
            unconfirmed_ms = round(now_ms() - before_ms) if before_ms else None
            self._on_event("state confirmed", source=source, unconfirmed_ms=unconfirmed_ms)

    def _end_outage_known_to(self, reader: str) -> None:
        """End an outage whose end ``reader`` knows; it has told the time for renewals."""
        event = self._availability.on_confirmation(confirmed_ms=self.confirmed_ms)
        if event is StoreEvent.OUTAGE_ENDED:
            self._log_regained(reader)

    def _record_success(self, confirmed_ms: float) -> None:
        event = self._record_end(CallEnd.ANSWERED)
        self._confirm(confirmed_ms, source=OWN_CALL)
        self._timeout.shorten()
        if event is StoreEvent.OUTAGE_ENDED:
            # An unresponsive store is detected late: a short failure may end a long outage.
            self._expect_renewals()
        if event in (StoreEvent.OUTAGE_ENDED, StoreEvent.REACHED_AGAIN):
            self._log_regained(OWN_CALL)

    def _record_failure(self, error: ChangeSourceError, elapsed_ms: float) -> None:
        if self._record_end(error.end) is StoreEvent.OUTAGE_BEGAN:
            self._on_event("store lost", position=self.position, reason=str(error))
        self._log_failed_call(error, elapsed_ms)

    def _record_end(self, end: CallEnd) -> StoreEvent:
        return self._availability.on_call(end, confirmed_ms=self.confirmed_ms, now_ms=now_ms())

    def _is_in_doubt(self) -> bool:
        return self._availability.state(now_ms=now_ms()) is StoreState.IN_DOUBT

    def _log_regained(self, source: str) -> None:
        outage_ms = round(now_ms() - self._availability.failing_since_ms)
        self._on_event("store regained", outage_ms=outage_ms, source=source)

    def _log_failed_call(self, error: ChangeSourceError, elapsed_ms: float) -> None:
        self._on_event(
            "store call failed",
            reason=str(error),
            elapsed_ms=round(elapsed_ms),
            probe_interval_ms=round(self._probe_interval_ms()),
            is_reader=self._is_reader(),
            reader_message_age_ms=round(now_ms() - self._heard_ms) if self._heard_ms else None,
        )
