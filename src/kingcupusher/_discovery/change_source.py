"""Interface of a store whose changes an entry follows."""

from __future__ import annotations

from enum import Enum
from typing import ClassVar, Protocol

from msgspec import Struct

from kingcupusher._core import KingcupusherError
from kingcupusher._discovery.changes import Change
from kingcupusher._discovery.position import StorePosition


class CallEnd(Enum):
    """How a call to the store ended."""

    ANSWERED = "answered"
    CUT_WHILE_WAITING = "cut while waiting"
    RATE_LIMITED = "rate-limited"
    FAILED = "failed"


class ChangeSourceError(KingcupusherError):
    """Raised when the store gave no usable response."""

    end: ClassVar[CallEnd] = CallEnd.FAILED


class WaitCutError(ChangeSourceError):
    """Raised when the store ended a call that waited for changes without a response."""

    end = CallEnd.CUT_WHILE_WAITING


class RateLimitedError(ChangeSourceError):
    """Raised when the store responded that too many calls are made."""

    end = CallEnd.RATE_LIMITED


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

    async def probe(self, *, timeout_ms: float) -> None:
        """Make a small call; raise :class:`ChangeSourceError` if it fails."""

    async def wait_for_changes(
        self, *, after: StorePosition, wait_ms: float, timeout_ms: float
    ) -> ChangeBatch:
        """Return the changes after ``after``, none if the wait ended without any.

        ``timeout_ms`` counts from the end of the wait. Raises :class:`HistoryGoneError`, also
        after a restoration of the store, :class:`WaitCutError` if the store ended the wait, or
        another :class:`ChangeSourceError`.
        """


class Update(Struct, frozen=True):
    """Changes for another entry; a full snapshot if ``is_full``."""

    changes: list[Change]
    position: StorePosition
    is_full: bool
