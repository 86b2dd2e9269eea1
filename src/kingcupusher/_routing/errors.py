"""Errors of target selection."""

from __future__ import annotations

from kingcupusher._core.errors import KingcupusherError


class RoutingError(KingcupusherError):
    """Base of the errors of this package."""


class InvalidLoadReportError(RoutingError):
    """Raised when a load report header cannot be parsed."""


class UnknownTargetError(RoutingError):
    """Raised when an event names a target that the router does not have."""
