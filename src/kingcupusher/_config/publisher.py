"""Publishing of changes by compare-and-swap, with a true answer to each publisher."""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Awaitable, Callable, Iterable
from enum import Enum
from typing import Protocol

import curio
from msgspec import Struct

from kingcupusher._config.document import (
    SERVICE_ITEM,
    ZONE_ITEM,
    item_content,
    merge_services,
    with_zone_order,
)
from kingcupusher._config.errors import MergeError
from kingcupusher._config.model import ConfigDocument, Service
from kingcupusher._config.stored import ConfigStore, Stored, read_stored, write_stored
from kingcupusher._platform import ConflictError, PlatformUnavailableError, UnknownOutcomeError

ATTEMPTS = 12
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0


class Outcome(Enum):
    """What a publisher can truly say about its change.

    ``IN_FORCE``: the store accepted it. ``UNCHANGED``: the store says the same already.
    ``RACED``, ``BUSY`` and ``UNAVAILABLE``: nothing was changed, because others changed the same
    items, because others came first each time, or because the store did not respond.
    ``UNKNOWN``: a write was sent and what became of it cannot be told.
    """

    IN_FORCE = "in-force"
    UNCHANGED = "unchanged"
    RACED = "raced"
    BUSY = "busy"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class PublishResult(Struct, frozen=True, kw_only=True):
    """Outcome of one publication.

    ``version`` is the version in force that the publisher saw last, None if it saw none.
    ``raced_items`` are items that others changed in the meantime.
    """

    outcome: Outcome
    publication_id: str
    version: int | None
    items: list[str]
    raced_items: list[str] = []


class Change(Protocol):
    """A change that can be applied to whichever document turns out to be in force."""

    @property
    def items(self) -> list[str]:
        """Items that the change sets."""

    def apply(self, document: ConfigDocument, publication_id: str, at_ms: int) -> ConfigDocument:
        """Return the next version, or ``document`` itself if it says the same already."""


class ServiceChange(Struct, frozen=True):
    """Adds or replaces services."""

    services: list[Service]

    @property
    def items(self) -> list[str]:
        """Items that the change sets."""
        return sorted(SERVICE_ITEM + service.name for service in self.services)

    def apply(self, document: ConfigDocument, publication_id: str, at_ms: int) -> ConfigDocument:
        """Return the next version, or ``document`` itself if it says the same already."""
        return merge_services(document, self.services, publication_id=publication_id, at_ms=at_ms)


class ZoneChange(Struct, frozen=True):
    """Takes a zone out or in."""

    zone: str
    out: bool

    @property
    def items(self) -> list[str]:
        """Items that the change sets."""
        return [ZONE_ITEM + self.zone]

    def apply(self, document: ConfigDocument, publication_id: str, at_ms: int) -> ConfigDocument:
        """Return the next version, or ``document`` itself if it says the same already."""
        return with_zone_order(
            document, self.zone, out=self.out, publication_id=publication_id, at_ms=at_ms
        )


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
        return (await read_stored(self._store)).document

    async def publish(self, services: Iterable[Service]) -> PublishResult:
        """Add or replace ``services``; raise MergeError if they do not fit into the document."""
        return await self._publish(ServiceChange(list(services)))

    async def order_zone(self, zone: str, *, out: bool) -> PublishResult:
        """Take ``zone`` out or in."""
        return await self._publish(ZoneChange(zone, out))

    async def _publish(self, change: Change) -> PublishResult:
        attempt = _Attempt(self._store, change, self._new_id(), self._wall_ms())
        for number in range(self._attempts):
            outcome = await attempt.run()
            if outcome is not None:
                return attempt.result(outcome)
            await self._pause(number)
        return attempt.result(attempt.last_failure)


class _Attempt:
    """Progress of one publication over several tries with the same publication id.

    The id stays the same so that at most one of the tries takes effect as this publication.
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
        self.last_failure = Outcome.UNAVAILABLE

    def result(self, outcome: Outcome) -> PublishResult:
        """Return the result to report for ``outcome``."""
        return PublishResult(
            outcome=outcome,
            publication_id=self._publication_id,
            version=self._version,
            items=self._change.items,
            raced_items=self._raced_items,
        )

    async def run(self) -> Outcome | None:
        """Read, merge and write once; return None if another try may succeed."""
        try:
            stored = await read_stored(self._store)
        except PlatformUnavailableError:
            return self._retry_after(Outcome.UNAVAILABLE)
        self._version = stored.document.version
        if self._is_recorded_in(stored.document):
            return Outcome.IN_FORCE
        try:
            after = self._change.apply(stored.document, self._publication_id, self._at_ms)
        except MergeError:
            if self._unresolved:
                return Outcome.UNKNOWN
            raise
        if after is stored.document:
            return Outcome.UNCHANGED
        if self._lost_race(stored.document):
            return self._ended(Outcome.RACED)
        self._base = stored.document
        return await self._write(stored, after)

    async def _write(self, stored: Stored, after: ConfigDocument) -> Outcome | None:
        try:
            await write_stored(self._store, after, replacing=stored)
        except ConflictError:
            return self._retry_after(Outcome.BUSY)
        except PlatformUnavailableError:
            return self._retry_after(Outcome.UNAVAILABLE)
        except UnknownOutcomeError:
            self._unresolved = True
            return self._retry_after(Outcome.UNKNOWN)
        self._version = after.version
        return Outcome.IN_FORCE

    def _is_recorded_in(self, document: ConfigDocument) -> bool:
        return any(entry.publication_id == self._publication_id for entry in document.history)

    def _lost_race(self, document: ConfigDocument) -> bool:
        """Return whether others changed an item of this publication since the first try."""
        if self._base is None:
            return False
        before = self._base
        self._raced_items = [
            item
            for item in self._change.items
            if item_content(before, item) != item_content(document, item)
        ]
        return bool(self._raced_items)

    def _retry_after(self, outcome: Outcome) -> Outcome | None:
        """Record the outcome to report if there is no other try."""
        self.last_failure = self._ended(outcome)
        return None

    def _ended(self, outcome: Outcome) -> Outcome:
        """Return ``outcome``, or UNKNOWN if an earlier write may still have taken effect.

        A store that was rewound after that write no longer shows it, while entries that saw it
        keep it and write it back.
        """
        return Outcome.UNKNOWN if self._unresolved else outcome
