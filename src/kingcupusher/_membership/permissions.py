"""Permission to send to a target, which follows from the states of the table."""

from __future__ import annotations

from kingcupusher._core.target_state import TargetState
from kingcupusher._membership.coordinated_targets import CoordinatedTarget
from kingcupusher._membership.record import TargetRecord
from kingcupusher._membership.send_permission import (
    DenialReason,
    PermissionKind,
    SendPermission,
    denied,
)
from kingcupusher._membership.table_state import LEAVING_STATES, TableState


class SendPermissions:
    """Decides whether this entry may send to a target."""

    __slots__ = ("_state",)

    def __init__(self, state: TableState) -> None:
        self._state = state

    def send_permission(self, target_id: str, *, now_ms: float) -> SendPermission:
        """Return whether, to what extent and until when this entry may send to a target."""
        record = self._state.records.get(target_id)
        if record is None or not record.is_listed:
            return denied(DenialReason.UNLISTED)
        confirmed_until_ms = self._state.confirmation.confirmed_until_ms(now_ms=now_ms)
        if now_ms >= confirmed_until_ms:
            return denied(DenialReason.UNCONFIRMED)
        if record.zone in self._state.zones_out:
            return denied(DenialReason.ZONE_OUT)
        if record.is_leaving or record.state in LEAVING_STATES:
            return denied(DenialReason.LEAVING)
        return self._permission_by_state(record, confirmed_until_ms, now_ms)

    def _permission_by_state(
        self, record: TargetRecord, confirmed_until_ms: float, now_ms: float
    ) -> SendPermission:
        target = self._state.coordinated.get(record.target_id)
        if target is not None and not self._state.role.is_active_for(record.group, now_ms=now_ms):
            target = None
        if record.state is TargetState.OPEN:
            until_ms = self._open_until_ms(record, target, now_ms)
            if now_ms >= until_ms:
                return denied(DenialReason.EXPIRED)
            return SendPermission(PermissionKind.OPEN, min(until_ms, confirmed_until_ms))
        if target is None or target.ramp is None:
            return denied(DenialReason.CLOSED)
        until_ms = min(self._state.role.active_until_ms(now_ms=now_ms), confirmed_until_ms)
        return SendPermission(PermissionKind.RAMP, until_ms, target.max_in_flight(now_ms=now_ms))

    def _open_until_ms(
        self, record: TargetRecord, target: CoordinatedTarget | None, now_ms: float
    ) -> float:
        if target is not None and target.verify_until_ms is None:
            return self._state.role.active_until_ms(now_ms=now_ms)
        if now_ms < record.grant_until_ms:
            return record.grant_until_ms
        # The coordinator may have no record of an entry that is neither registered nor part of an
        # outage seen by most entries, and so could not revoke the permission.
        registered_until_ms = min(
            self._state.role.lease_expires_ms, record.evidence_without_grant_until_ms
        )
        outage_until_ms = self._state.confirmation.outage_until_ms(now_ms=now_ms)
        return min(record.warm_evidence_until_ms, max(registered_until_ms, outage_until_ms))
