"""Errors of the limits."""

from __future__ import annotations

from kingcupusher._core.errors import KingcupusherError


class LimitsError(KingcupusherError):
    """Raised when a limit is set to a value that it cannot have."""
