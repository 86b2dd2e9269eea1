"""Root of the exception tree."""

from __future__ import annotations


class KingcupusherError(Exception):
    """Base of all errors that this package raises on purpose.

    Each package defines its own subclass and translates the errors of the layer below it.
    """
