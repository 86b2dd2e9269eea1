"""Target states, zone orders and the permission to send requests to a target."""

from __future__ import annotations

from kingcupusher._core.target_state import TargetState
from kingcupusher._membership.confirmation import ConfigConfirmation
from kingcupusher._membership.coordinated_targets import DueProbe
from kingcupusher._membership.coordinator import CoordinatorRole
from kingcupusher._membership.errors import MembershipError, UnknownGroupError
from kingcupusher._membership.groups import GROUP_COUNT, group_of
from kingcupusher._membership.member import Membership, OutgoingMessage
from kingcupusher._membership.peers import EntryId
from kingcupusher._membership.record import TargetRecord
from kingcupusher._membership.send_permission import DenialReason, PermissionKind, SendPermission
from kingcupusher._membership.table import TargetTable

__all__ = [
    "GROUP_COUNT",
    "ConfigConfirmation",
    "CoordinatorRole",
    "DenialReason",
    "EntryId",
    "Membership",
    "MembershipError",
    "OutgoingMessage",
    "DueProbe",
    "PermissionKind",
    "SendPermission",
    "TargetRecord",
    "TargetState",
    "TargetTable",
    "UnknownGroupError",
    "group_of",
]
