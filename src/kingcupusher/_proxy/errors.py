"""Errors of the request path."""

from __future__ import annotations

from kingcupusher._core import KingcupusherError


class ProxyError(KingcupusherError):
    """Base of the errors of the request path."""


class RejectedError(ProxyError):
    """Raised when a request is rejected before a target is selected."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class NotSentError(ProxyError):
    """Raised when an attempt ends before anything is written to a target."""


class UnknownOutcomeError(ProxyError):
    """Raised when bytes may have been sent and no complete response was received."""


class RefusedError(ProxyError):
    """Raised when a target refused a request without running it."""
