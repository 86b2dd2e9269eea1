"""Errors of the load tool."""

from __future__ import annotations

from standins.errors import StandinError


class LoadError(StandinError):
    """Base of the errors of the load tool."""


class NotSentError(LoadError):
    """Raised when no byte of a request was sent."""


class NoResponseError(LoadError):
    """Raised when a connection ended, or the caller stopped waiting, before a response head."""


class TruncatedError(LoadError):
    """Raised when a response ended before it was whole."""
