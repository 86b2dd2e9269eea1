"""Errors of the inner protocol."""

from __future__ import annotations

from kingcupusher._core import KingcupusherError


class PeerError(KingcupusherError):
    """Base of the errors of the inner protocol."""


class MessageError(PeerError):
    """Raised when bytes from a peer are not a known message."""


class HandshakeError(PeerError):
    """Raised when the opening handshake of a link fails."""


class LinkClosedError(PeerError):
    """Raised when a link is closed, broken or silent."""
