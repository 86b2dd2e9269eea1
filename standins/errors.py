"""Base error of the stand-ins."""

from __future__ import annotations

from kingcupusher._core import KingcupusherError


class StandinError(KingcupusherError):
    """Base class of the errors of the stand-ins."""
