"""Permission to send requests to a target."""

from __future__ import annotations

from enum import Enum
from math import inf

from msgspec import Struct


class PermissionKind(Enum):
    """Extent to which a target may be used."""

    OPEN = "open"
    RAMP = "ramp"
    DENIED = "denied"


class DenialReason(Enum):
    """Why a target may not be used."""

    UNLISTED = "unlisted"
    ZONE_OUT = "zone out"
    UNCONFIRMED = "unconfirmed"
    LEAVING = "leaving"
    CLOSED = "closed"
    EXPIRED = "grant and evidence expired"


class SendPermission(Struct, frozen=True):
    """A permission to send, valid before ``until_ms``.

    ``max_in_flight`` is how many requests the target may have in flight from this entry; it is set
    for a ramp only. The sender compares ``until_ms`` with the clock immediately before the write.
    """

    kind: PermissionKind
    until_ms: float
    max_in_flight: int | None = None
    denial_reason: DenialReason | None = None

    def is_valid(self, *, now_ms: float) -> bool:
        """Return whether a request may be written now."""
        return self.kind is not PermissionKind.DENIED and now_ms < self.until_ms


def denied(denial_reason: DenialReason) -> SendPermission:
    """Return a denied permission with its reason."""
    return SendPermission(PermissionKind.DENIED, -inf, denial_reason=denial_reason)
