"""Outcome of a publication."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class PublishOutcome(Enum):
    """What is certain about a change when its publication ends.

    ``IN_FORCE``: the store accepted it. ``UNCHANGED``: the stored document contains it already.
    ``RACED``, ``BUSY`` and ``UNAVAILABLE``: nothing was changed, because another publisher changed
    the same items, because each write lost a compare-and-swap, or because the store did not
    respond. ``UNKNOWN``: a write was sent and may or may not have taken effect.
    """

    IN_FORCE = "in-force"
    UNCHANGED = "unchanged"
    RACED = "raced"
    BUSY = "busy"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class PublishResult(Struct, frozen=True, kw_only=True):
    """Outcome of one publication, with the items of the change.

    ``version`` is the last version that the publisher read or wrote, None if there was none.
    ``raced_items`` are the items that other publishers changed in the meantime.
    """

    outcome: PublishOutcome
    publication_id: str
    version: int | None
    items: list[str]
    raced_items: list[str] = []
