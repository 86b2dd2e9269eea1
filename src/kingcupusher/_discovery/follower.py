"""Keeps the catalog up to date from a store that may be down, slow or without history.

A few entries, the readers, follow the store itself and hand the news on. The others read the
store only when no reader has confirmed the news for some time, so that a reader that dies,
freezes or is cut off delays nobody for longer than that.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import curio
from msgspec import Struct

from kingcupusher._core import KingcupusherError, now_ms
from kingcupusher._discovery.catalog import RETURN_GRACE_MS, Catalog
from kingcupusher._discovery.changes import Change, StoreReturned

WATCH_MS = 1_000.0
"""A reader confirms the news at least this often."""
STALE_MS = 1_600.0
"""News that no reader confirmed for this long are read from the store; a change must be in
force 2 s after it was written."""
CONFIRM_MS = 600.0
MAX_CONFIRM_MS = 4_000.0
"""How long after its wait a watch may be answered; it grows while the store is slow."""
PAUSE_MS = 400.0
"""Pause after news; what changes meanwhile comes in one call. A change is due after 2 s."""
RETRY_S = 0.3
MAX_RETRY_S = 1.2
"""Pauses after failed calls; a store that is back must be noticed within its 2 s of grace."""
CHECK_S = 0.1
CHEAP_READ_AGE_MS = 1_000.0
"""Age that a picture from a cheap read is taken to have; it leaves 0.6 s to find a reader."""
HISTORY_LENGTH = 256


class ChangeSourceError(KingcupusherError):
    """Raised when the store gave no usable answer."""


class HistoryGoneError(ChangeSourceError):
    """Raised when the store no longer has the history after the given revision."""


class ChangeBatch(Struct, frozen=True):
    """Changes and the revision up to which they are complete."""

    changes: list[Change]
    revision: int


class ChangeSource(Protocol):
    """Where the news comes from."""

    async def read_all(self, *, timeout_ms: float) -> ChangeBatch:
        """Return the whole picture as it is now; raise :class:`ChangeSourceError`."""

    async def read_all_stale(self, *, timeout_ms: float) -> ChangeBatch:
        """Return a whole picture that may be seconds old; raise :class:`ChangeSourceError`."""

    async def wait_for_changes(
        self, *, after_revision: int, wait_ms: float, timeout_ms: float
    ) -> ChangeBatch:
        """Return what changed after ``after_revision``, empty if nothing did in time.

        ``timeout_ms`` counts from the end of the wait. Raises :class:`HistoryGoneError` if the
        history is gone, and :class:`ChangeSourceError`.
        """


class Update(Struct, frozen=True):
    """News for another entry; a whole picture if ``is_whole``."""

    changes: list[Change]
    revision: int
    is_whole: bool


class StoreFollower:
    """Applies news from the store and from readers, and keeps the latest to hand them on."""

    __slots__ = (
        "_catalog",
        "_confirm_ms",
        "_failing_since_ms",
        "_has_read",
        "_history",
        "_is_reader",
        "_mark_until_ms",
        "_on_event",
        "_retry_s",
        "_source",
        "confirmed_ms",
        "news",
        "revision",
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
        self._confirm_ms = CONFIRM_MS
        self._retry_s = RETRY_S
        self._has_read = False
        self._history: list[ChangeBatch] = []
        self._mark_until_ms = 0.0
        self.revision: int | None = None
        self.confirmed_ms = 0.0
        self.news = curio.Event()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self.revision is not None and not self._must_read(now_ms()):
                await curio.sleep(CHECK_S)
                continue
            try:
                await self._read()
            except HistoryGoneError as error:
                self._on_event("store history lost", revision=self.revision, reason=str(error))
                self.revision = None
            except ChangeSourceError as error:
                self._note_failure(error)
                await curio.sleep(self._retry_s)

    def _must_read(self, now_ms: float) -> bool:
        return self._is_reader() or now_ms - self.confirmed_ms > STALE_MS

    async def _read(self) -> None:
        sent_ms = now_ms()
        if self.revision is None:
            # The first picture may be old: the watch that follows brings what it lacks.
            read = self._source.read_all if self._has_read else self._source.read_all_stale
            snapshot = await read(timeout_ms=self._confirm_ms)
            self._note_success(sent_ms if self._has_read else sent_ms - CHEAP_READ_AGE_MS)
            await self._take(Update(snapshot.changes, snapshot.revision, is_whole=True))
            self._has_read = True
            return
        paused_ms = min(PAUSE_MS, max(0.0, sent_ms - self.confirmed_ms))
        wait_ms = WATCH_MS - paused_ms
        snapshot = await self._source.wait_for_changes(
            after_revision=self.revision, wait_ms=wait_ms, timeout_ms=self._confirm_ms
        )
        # An empty answer proves that nothing changed until it was given; take the careful end.
        self._note_success(now_ms() if snapshot.changes else sent_ms + wait_ms)
        if snapshot.revision > self.revision:
            changes = self._marked(snapshot.changes)
            await self._take(Update(changes, snapshot.revision, is_whole=False))
        # Those who listen must hear of the confirmation before theirs is stale.
        await self.news.set()
        if snapshot.changes:
            await curio.sleep(PAUSE_MS / 1000.0)

    # -- news from readers

    async def on_update(self, update: Update, *, confirmed_ms: float) -> None:
        """Take over news from a reader who had them confirmed at ``confirmed_ms``."""
        if self.revision is None or update.revision > self.revision:
            await self._take(update)
        self.confirmed_ms = max(self.confirmed_ms, confirmed_ms)

    def on_confirmation(self, *, revision: int, confirmed_ms: float) -> None:
        """Note that a reader had its news up to ``revision`` confirmed."""
        if self.revision is not None and revision <= self.revision:
            self.confirmed_ms = max(self.confirmed_ms, confirmed_ms)

    def update_after(self, revision: int | None) -> Update | None:
        """Return what another entry that knows ``revision`` lacks, or None if nothing."""
        if self.revision is None or (revision is not None and revision >= self.revision):
            return None
        if revision is None or not self._history or self._history[0].revision > revision:
            return Update(self._catalog.snapshot(), self.revision, is_whole=True)
        newer = [snapshot for snapshot in self._history if snapshot.revision > revision]
        changes = [change for snapshot in newer for change in snapshot.changes]
        return Update(changes, self.revision, is_whole=False)

    # -- details

    def _marked(self, changes: list[Change]) -> list[Change]:
        """Let those who get the news from here know that registrations may only have lapsed."""
        return [StoreReturned(), *changes] if now_ms() < self._mark_until_ms else changes

    async def _take(self, update: Update) -> None:
        if update.is_whole:
            self._catalog.replace(update.changes, now_ms=now_ms())
            self._history = [ChangeBatch([], update.revision)]
        else:
            self._catalog.apply(update.changes, now_ms=now_ms())
            self._history.append(ChangeBatch(update.changes, update.revision))
            del self._history[:-HISTORY_LENGTH]
        self.revision = update.revision
        await self.news.set()

    def _note_success(self, confirmed_ms: float) -> None:
        self.confirmed_ms = max(self.confirmed_ms, min(confirmed_ms, now_ms()))
        self._confirm_ms = max(CONFIRM_MS, self._confirm_ms / 2.0)
        self._retry_s = RETRY_S
        if self._failing_since_ms is None:
            return
        outage_ms = now_ms() - self._failing_since_ms
        self._failing_since_ms = None
        # A silent store is noticed late, so that a short failure may end a long outage.
        self._catalog.apply([StoreReturned()], now_ms=now_ms())
        self._mark_until_ms = now_ms() + RETURN_GRACE_MS
        self._on_event("store regained", outage_ms=round(outage_ms))

    def _note_failure(self, error: ChangeSourceError) -> None:
        self._confirm_ms = min(MAX_CONFIRM_MS, self._confirm_ms * 1.5)
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms()
            self._on_event("store lost", revision=self.revision, reason=str(error))
        elif self._is_reader():
            self._retry_s = RETRY_S
        else:
            self._retry_s = min(MAX_RETRY_S, self._retry_s * 1.5)
