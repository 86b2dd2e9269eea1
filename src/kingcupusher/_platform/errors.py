"""Errors of the platform's services."""

from __future__ import annotations

from kingcupusher._core import KingcupusherError


class PlatformError(KingcupusherError):
    """Base class of the errors of the key-value service and the VM list."""


class PlatformUnavailableError(PlatformError):
    """Raised when a call failed and is known to have had no effect."""


class UnknownOutcomeError(PlatformError):
    """Raised when a write may or may not have taken effect."""


class ConflictError(PlatformError):
    """Raised when a key does not have the expected revision; nothing was written."""


class LeaseLostError(PlatformError):
    """Raised when a lease has ended, which removes its keys."""


class RequestRejectedError(PlatformError):
    """Raised when the platform rejects a call as invalid, for example a value that is too large."""


class NotFoundError(RequestRejectedError):
    """Raised when the requested item does not exist."""
