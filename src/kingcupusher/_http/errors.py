"""Errors of HTTP connections."""

from __future__ import annotations

from kingcupusher._core import KingcupusherError


class HttpError(KingcupusherError):
    """Base of the errors of HTTP connections."""


class ConnectError(HttpError):
    """Raised when no connection could be opened, so that nothing was sent."""


class ExchangeError(HttpError):
    """Raised when a connection failed after the request may have been sent."""


class DeadlineError(ExchangeError):
    """Raised when the deadline of an exchange passed."""
