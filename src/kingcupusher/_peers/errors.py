"""Errors of the protocol between entries."""

from __future__ import annotations

from kingcupusher._core import KingcupusherError


class PeerError(KingcupusherError):
    """Base class of the errors of the protocol between entries."""


class MessageError(PeerError):
    """Raised when data from a peer is not a valid message."""


class HandshakeError(PeerError):
    """Raised when the opening handshake of a link fails."""


class LinkClosedError(PeerError):
    """Raised when a link is closed, fails or times out."""
