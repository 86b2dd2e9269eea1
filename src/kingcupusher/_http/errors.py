"""Errors of HTTP connections."""

from __future__ import annotations

from kingcupusher._core import KingcupusherError


class HttpError(KingcupusherError):
    """Base of the errors of HTTP connections."""


class ConnectError(HttpError):
    """Raised when a connection could not be opened; nothing was sent."""


class ConnectTimeoutError(ConnectError):
    """Raised when a connection was not opened before the deadline."""


class PoolLimitError(ConnectError):
    """Raised when a pool has reached its limit of open connections."""


class ExchangeError(HttpError):
    """Raised when a connection failed after the request may have been sent."""


class ResetError(ExchangeError):
    """Raised when the peer closed or reset the connection before a complete response."""


class ResponseTooLargeError(ExchangeError):
    """Raised when a response exceeds its limit or the memory for responses."""


class DeadlineError(ExchangeError):
    """Raised when the deadline of an exchange passed."""


class CallerDisconnectedError(HttpError):
    """Raised when the caller closed its connection."""


class BadRequestError(HttpError):
    """Raised when a request is rejected; ``status`` is the status code of the response.

    ``retry_after_ms`` tells the caller when to come back, None if it need not.
    """

    def __init__(self, status: int, reason: str, *, retry_after_ms: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.retry_after_ms = retry_after_ms
