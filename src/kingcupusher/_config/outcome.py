"""What a publisher is told about its change."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class PublishOutcome(Enum):
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

    outcome: PublishOutcome
    publication_id: str
    version: int | None
    items: list[str]
    raced_items: list[str] = []
