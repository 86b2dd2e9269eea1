"""Keeps the catalog up to date from a store that may be down, slow or without history."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import curio
from msgspec import Struct

from kingcupusher._core import KingcupusherError, now_ms
from kingcupusher._discovery.catalog import Catalog
from kingcupusher._discovery.changes import Change

WATCH_MS = 1_800.0
"""A watch that hangs because the store went silent must be noticed within 3 s of its return."""
CONFIRM_MS = 800.0
MAX_CONFIRM_MS = 4_000.0
"""How long after its wait a watch may be answered; it grows while the store is slow."""
PAUSE_S = 0.25
"""Pause between watches; news of one moment then comes in one call. Drains allow 2 s."""
RETRY_S = 0.3
"""Pause after a failed call; a store that is back must be noticed within its 2 s of grace."""


class SourceError(KingcupusherError):
    """Raised when the store gave no usable answer."""


class SourceReset(SourceError):
    """Raised when the store no longer has the history after the given revision."""


class Snapshot(Struct, frozen=True):
    """Changes and the revision up to which they are complete."""

    changes: list[Change]
    revision: int


class Source(Protocol):
    """Where the news comes from."""

    async def read_all(self, *, timeout_ms: float) -> Snapshot:
        """Return the whole picture; raise :class:`SourceError`."""

    async def wait_for_changes(
        self, *, after_revision: int, wait_ms: float, timeout_ms: float
    ) -> Snapshot:
        """Return what changed after ``after_revision``, empty if nothing did in time.

        ``timeout_ms`` counts from the end of the wait. Raises :class:`SourceReset` if the history is gone and :class:`SourceError`.
        """


class Follower:
    """Reads the whole picture once and then follows the changes."""

    __slots__ = (
        "_catalog",
        "_confirm_ms",
        "_failing_since_ms",
        "_on_event",
        "_source",
        "revision",
        "seen_ms",
    )

    def __init__(
        self, source: Source, catalog: Catalog, *, on_event: Callable[..., None]
    ) -> None:
        self._source = source
        self._catalog = catalog
        self._on_event = on_event
        self._failing_since_ms: float | None = None
        self._confirm_ms = CONFIRM_MS
        self.revision: int | None = None
        self.seen_ms = 0.0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
            except SourceReset as error:
                self._on_event("store history lost", revision=self.revision, reason=str(error))
                self.revision = None
            except SourceError as error:
                self._note_failure(error)
                await curio.sleep(RETRY_S)

    async def _step(self) -> None:
        if self.revision is None:
            snapshot = await self._source.read_all(timeout_ms=self._confirm_ms)
            self._note_success()
            self._catalog.replace(snapshot.changes, now_ms=now_ms())
        else:
            snapshot = await self._source.wait_for_changes(
                after_revision=self.revision, wait_ms=WATCH_MS, timeout_ms=self._confirm_ms
            )
            self._note_success()
            self._catalog.apply(snapshot.changes, now_ms=now_ms())
        self.revision = snapshot.revision
        if snapshot.changes:
            await curio.sleep(PAUSE_S)

    def _note_success(self) -> None:
        self.seen_ms = now_ms()
        self._confirm_ms = max(CONFIRM_MS, self._confirm_ms / 2.0)
        if self._failing_since_ms is None:
            return
        outage_ms = self.seen_ms - self._failing_since_ms
        self._failing_since_ms = None
        # A silent store is noticed late, so that a short failure may end a long outage.
        self._catalog.on_source_return(now_ms=self.seen_ms)
        self._on_event("store regained", outage_ms=round(outage_ms))

    def _note_failure(self, error: SourceError) -> None:
        self._confirm_ms = min(MAX_CONFIRM_MS, self._confirm_ms * 1.5)
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms()
            self._on_event("store lost", revision=self.revision, reason=str(error))
