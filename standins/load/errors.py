"""Errors of the load tool."""

from __future__ import annotations

from standins.errors import StandinError


class LoadError(StandinError):
    """Base class of the errors of the load tool."""


class NotSentError(LoadError):
    """Raised when no byte of a request was sent."""


class NoResponseError(LoadError):
    """Raised when a connection closes before a response head, or a response is late."""


class TruncatedError(LoadError):
    """Raised when a connection closes in the middle of a response."""
