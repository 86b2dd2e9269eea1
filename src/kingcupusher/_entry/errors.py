"""Errors of the entry process."""

from __future__ import annotations

from kingcupusher._core import KingcupusherError


class EntryError(KingcupusherError):
    """Base of the errors that end an entry process."""


class SeatLostError(EntryError):
    """Raised when another entry took the seat after this entry's lease had ended."""
