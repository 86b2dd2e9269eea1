"""Publishes configuration changes by compare-and-swap and reports what is certain about them."""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Awaitable, Callable, Iterable

import curio

from kingcupusher._config.changes import Change, ServiceChange, ZoneChange, raced_items
from kingcupusher._config.errors import ConfigError
from kingcupusher._config.model import ConfigDocument, Service
from kingcupusher._config.outcome import PublishOutcome, PublishResult
from kingcupusher._config.stored_document import (
    ConfigStore,
    StoredDocument,
    read_stored_document,
    write_stored_document,
)
from kingcupusher._platform import (
    ConflictError,
    PlatformUnavailableError,
    RequestRejectedError,
    UnknownOutcomeError,
)

MAX_ATTEMPTS = 12
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


async def back_off(attempt: int) -> None:
    """Sleep for a random time with exponential growth, which spreads racing publishers."""
    max_backoff_s = min(INITIAL_BACKOFF_S * 2**attempt, MAX_BACKOFF_S)
    await curio.sleep(random.uniform(0.0, max_backoff_s))


def wall_clock_ms() -> int:
    """Return the wall clock in milliseconds."""
    return time.time_ns() // 1_000_000


def new_publication_id() -> str:
    """Return a random identifier of a publication."""
    return secrets.token_hex(8)


class Publisher:
    """Publishes changes of the configuration document to the key-value service."""

    __slots__ = ("_back_off", "_max_attempts", "_new_id", "_store", "_wall_ms")

    def __init__(
        self,
        store: ConfigStore,
        *,
        max_attempts: int = MAX_ATTEMPTS,
        new_id: Callable[[], str] = new_publication_id,
        back_off: Callable[[int], Awaitable[None]] = back_off,
        wall_ms: Callable[[], int] = wall_clock_ms,
    ) -> None:
        self._store = store
        self._max_attempts = max_attempts
        self._new_id = new_id
        self._back_off = back_off
        self._wall_ms = wall_ms

    async def read(self) -> ConfigDocument:
        """Return the stored document; an empty one of version 0 if there is none."""
        return (await read_stored_document(self._store)).document

    async def publish(self, services: Iterable[Service]) -> PublishResult:
        """Add or replace ``services``; raise MergeError if they conflict with the document."""
        return await self._publish(ServiceChange(list(services)))

    async def set_zone_state(self, zone: str, *, out: bool) -> PublishResult:
        """Take ``zone`` out of service or bring it back."""
        return await self._publish(ZoneChange(zone, out))

    async def _publish(self, change: Change) -> PublishResult:
        operation = _PublishOperation(self._store, change, self._new_id(), self._wall_ms())
        for attempt in range(self._max_attempts):
            outcome = await operation.attempt()
            if outcome is not None:
                return operation.result(outcome)
            await self._back_off(attempt)
        return operation.result(operation.last_failure)


class _PublishOperation:
    """One publication over several attempts with the same publication id.

    Finding the id in the stored document proves that one of the attempts took effect.
    """

    __slots__ = (
        "_at_ms",
        "_change",
        "_last_read",
        "_may_have_written",
        "_publication_id",
        "_raced_items",
        "_store",
        "_version",
        "last_failure",
    )

    def __init__(self, store: ConfigStore, change: Change, publication_id: str, at_ms: int) -> None:
        self._store = store
        self._change = change
        self._publication_id = publication_id
        self._at_ms = at_ms
        self._last_read: ConfigDocument | None = None
        self._version: int | None = None
        self._raced_items: list[str] = []
        self._may_have_written = False
        self.last_failure = PublishOutcome.UNAVAILABLE

    def result(self, outcome: PublishOutcome) -> PublishResult:
        """Return the result to report for ``outcome``."""
        return PublishResult(
            outcome=outcome,
            publication_id=self._publication_id,
            version=self._version,
            items=self._change.items,
            raced_items=self._raced_items,
        )

    async def attempt(self) -> PublishOutcome | None:
        """Read, merge and write once; return None if a retry may succeed."""
        try:
            return await self._read_merge_and_write()
        except (ConfigError, RequestRejectedError):
            if self._may_have_written:
                return PublishOutcome.UNKNOWN
            raise

    async def _read_merge_and_write(self) -> PublishOutcome | None:
        try:
            stored = await read_stored_document(self._store)
        except PlatformUnavailableError:
            return self._record_failure(PublishOutcome.UNAVAILABLE)
        self._version = stored.document.version
        if self._is_recorded_in(stored.document):
            return PublishOutcome.IN_FORCE
        after = self._change.apply(stored.document, self._publication_id, self._at_ms)
        if after is stored.document:
            return PublishOutcome.UNCHANGED
        if self._has_raced(stored.document):
            return self._final_outcome(PublishOutcome.RACED)
        self._last_read = stored.document
        return await self._write(stored, after)

    async def _write(self, stored: StoredDocument, after: ConfigDocument) -> PublishOutcome | None:
        try:
            await write_stored_document(self._store, after, replacing=stored)
        except ConflictError:
            return self._record_failure(PublishOutcome.BUSY)
        except PlatformUnavailableError:
            return self._record_failure(PublishOutcome.UNAVAILABLE)
        except UnknownOutcomeError:
            self._may_have_written = True
            return self._record_failure(PublishOutcome.UNKNOWN)
        self._version = after.version
        return PublishOutcome.IN_FORCE

    def _is_recorded_in(self, document: ConfigDocument) -> bool:
        return any(
            publication.publication_id == self._publication_id for publication in document.history
        )

    def _has_raced(self, document: ConfigDocument) -> bool:
        """Return whether another publisher changed an item of this one since the last attempt."""
        if self._last_read is not None:
            self._raced_items = raced_items(self._change, self._last_read, document)
        return bool(self._raced_items)

    def _record_failure(self, outcome: PublishOutcome) -> PublishOutcome | None:
        """Record the outcome to report if no retry follows."""
        self.last_failure = self._final_outcome(outcome)
        return None

    def _final_outcome(self, outcome: PublishOutcome) -> PublishOutcome:
        """Return ``outcome``, or UNKNOWN if an earlier write may still have taken effect.

        After a rewind of the store the write is missing there, while entries that have read it
        keep it and write it back.
        """
        return PublishOutcome.UNKNOWN if self._may_have_written else outcome
