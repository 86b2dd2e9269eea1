"""Errors of the request path."""

from __future__ import annotations

from kingcupusher._core import KingcupusherError


class ProxyError(KingcupusherError):
    """Base of the errors of the request path."""


class RejectedError(ProxyError):
    """Raised when a request is refused before any target was considered."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class NotSentError(ProxyError):
    """Raised when an attempt ended before anything was written to a target."""


class UnknownOutcomeError(ProxyError):
    """Raised when bytes may have left and no complete response came."""


class RefusedError(ProxyError):
    """Raised when a target said that it did not run the request."""
