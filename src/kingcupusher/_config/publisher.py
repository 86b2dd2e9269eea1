"""Publishing of changes by compare-and-swap, with a true answer to each publisher."""

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
    Stored,
    read_stored_document,
    write_stored,
)
from kingcupusher._platform import (
    ConflictError,
    PlatformUnavailableError,
    RequestRejectedError,
    UnknownOutcomeError,
)

ATTEMPTS = 12
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0


async def pause_before(attempt: int) -> None:
    """Wait for a random time that grows with each attempt, so that racing publishers spread."""
    longest_s = min(FIRST_PAUSE_S * 2**attempt, LONGEST_PAUSE_S)
    await curio.sleep(random.uniform(0.0, longest_s))


def wall_clock_ms() -> int:
    """Return the wall clock in milliseconds."""
    return time.time_ns() // 1_000_000


def new_publication_id() -> str:
    """Return an identifier that no other publication has."""
    return secrets.token_hex(8)


class Publisher:
    """Publishes changes of the configuration document to the key-value service."""

    __slots__ = ("_attempts", "_new_id", "_pause", "_store", "_wall_ms")

    def __init__(
        self,
        store: ConfigStore,
        *,
        attempts: int = ATTEMPTS,
        new_id: Callable[[], str] = new_publication_id,
        pause: Callable[[int], Awaitable[None]] = pause_before,
        wall_ms: Callable[[], int] = wall_clock_ms,
    ) -> None:
        self._store = store
        self._attempts = attempts
        self._new_id = new_id
        self._pause = pause
        self._wall_ms = wall_ms

    async def read(self) -> ConfigDocument:
        """Return the stored document; an empty one of version 0 if there is none."""
        return (await read_stored_document(self._store)).document

    async def publish(self, services: Iterable[Service]) -> PublishResult:
        """Add or replace ``services``; raise MergeError if they do not fit into the document."""
        return await self._publish(ServiceChange(list(services)))

    async def set_zone_state(self, zone: str, *, out: bool) -> PublishResult:
        """Take ``zone`` out or in."""
        return await self._publish(ZoneChange(zone, out))

    async def _publish(self, change: Change) -> PublishResult:
        publication = _Publication(self._store, change, self._new_id(), self._wall_ms())
        for attempt in range(self._attempts):
            outcome = await publication.attempt()
            if outcome is not None:
                return publication.result(outcome)
            await self._pause(attempt)
        return publication.result(publication.last_failure)


class _Publication:
    """Progress of one publication over several attempts with the same publication id.

    With one id for all attempts, finding it in the document proves that one took effect.
    """

    __slots__ = (
        "_at_ms",
        "_base",
        "_change",
        "_publication_id",
        "_raced_items",
        "_store",
        "_unresolved",
        "_version",
        "last_failure",
    )

    def __init__(self, store: ConfigStore, change: Change, publication_id: str, at_ms: int) -> None:
        self._store = store
        self._change = change
        self._publication_id = publication_id
        self._at_ms = at_ms
        self._base: ConfigDocument | None = None
        self._version: int | None = None
        self._raced_items: list[str] = []
        self._unresolved = False
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
        """Read, merge and write once; return None if another attempt may succeed."""
        try:
            return await self._read_and_write()
        except (ConfigError, RequestRejectedError):
            if self._unresolved:
                return PublishOutcome.UNKNOWN
            raise

    async def _read_and_write(self) -> PublishOutcome | None:
        try:
            stored = await read_stored_document(self._store)
        except PlatformUnavailableError:
            return self._retry_after(PublishOutcome.UNAVAILABLE)
        self._version = stored.document.version
        if self._is_recorded_in(stored.document):
            return PublishOutcome.IN_FORCE
        after = self._change.apply(stored.document, self._publication_id, self._at_ms)
        if after is stored.document:
            return PublishOutcome.UNCHANGED
        if self._lost_race(stored.document):
            return self._ended(PublishOutcome.RACED)
        self._base = stored.document
        return await self._write(stored, after)

    async def _write(self, stored: Stored, after: ConfigDocument) -> PublishOutcome | None:
        try:
            await write_stored(self._store, after, replacing=stored)
        except ConflictError:
            return self._retry_after(PublishOutcome.BUSY)
        except PlatformUnavailableError:
            return self._retry_after(PublishOutcome.UNAVAILABLE)
        except UnknownOutcomeError:
            self._unresolved = True
            return self._retry_after(PublishOutcome.UNKNOWN)
        self._version = after.version
        return PublishOutcome.IN_FORCE

    def _is_recorded_in(self, document: ConfigDocument) -> bool:
        return any(entry.publication_id == self._publication_id for entry in document.history)

    def _lost_race(self, document: ConfigDocument) -> bool:
        """Return whether others changed an item of this publication since the attempt before."""
        if self._base is not None:
            self._raced_items = raced_items(self._change, self._base, document)
        return bool(self._raced_items)

    def _retry_after(self, outcome: PublishOutcome) -> PublishOutcome | None:
        """Record the outcome to report if there is no other attempt."""
        self.last_failure = self._ended(outcome)
        return None

    def _ended(self, outcome: PublishOutcome) -> PublishOutcome:
        """Return ``outcome``, or UNKNOWN if an earlier write may still have taken effect.

        A store that was rewound after that write no longer shows it, while entries that saw it
        keep it and write it back.
        """
        return PublishOutcome.UNKNOWN if self._unresolved else outcome
