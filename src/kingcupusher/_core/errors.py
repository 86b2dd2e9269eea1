"""Base class of the exceptions."""

from __future__ import annotations


class KingcupusherError(Exception):
    """Base class of all errors that kingcupusher raises.

    Each package defines its own subclass and converts the errors of the layer below it.
    """
