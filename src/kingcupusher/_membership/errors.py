"""Errors of the membership rules."""

from __future__ import annotations

from kingcupusher._core import KingcupusherError


class MembershipError(KingcupusherError):
    """Base of the errors of the membership rules."""


class UnknownGroupError(MembershipError):
    """Raised for a group number that does not exist."""
