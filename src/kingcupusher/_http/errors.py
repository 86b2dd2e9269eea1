"""Errors of HTTP connections."""

from __future__ import annotations

from kingcupusher._core import KingcupusherError


class HttpError(KingcupusherError):
    """Base of the errors of HTTP connections."""


class ConnectError(HttpError):
    """Raised when no connection could be opened, so that nothing was sent."""


class ConnectTimeoutError(ConnectError):
    """Raised when a connection was not opened in time."""


class PoolLimitError(ConnectError):
    """Raised when a pool already holds as many open connections as it may."""


class ExchangeError(HttpError):
    """Raised when a connection failed after the request may have been sent."""


class ResetError(ExchangeError):
    """Raised when the peer closed or reset the connection before its message was complete."""


class DeadlineError(ExchangeError):
    """Raised when the deadline of an exchange passed."""


class CallerGoneError(HttpError):
    """Raised when the caller closed its connection."""


class BadRequestError(HttpError):
    """Raised when a caller's message is refused; ``status`` is the response to give."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
