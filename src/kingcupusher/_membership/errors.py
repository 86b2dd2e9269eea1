"""Errors of the membership package."""

from __future__ import annotations

from kingcupusher._core import KingcupusherError


class MembershipError(KingcupusherError):
    """Base class of the errors of the membership package."""


class UnknownGroupError(MembershipError):
    """Raised for a group number that does not exist."""
