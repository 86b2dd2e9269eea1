"""Errors of this package."""

from __future__ import annotations

from kingcupusher._core.errors import KingcupusherError


class LimitsError(KingcupusherError):
    """Raised when a limit is set to an invalid value."""
