"""Target states at one entry, and the permission to send that follows from them."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from math import inf

from kingcupusher._config import TargetLimits
from kingcupusher._core.target_state import TargetState
from kingcupusher._membership.bounds import DRAIN_RECHECK_MS, GRANT_VALIDITY_MS, REPORT_LAG_MS
from kingcupusher._membership.confirmation import ConfigConfirmation
from kingcupusher._membership.coordinated_targets import (
    CoordinatedTarget,
    CoordinatedTargets,
    DueProbe,
)
from kingcupusher._membership.coordinator import CoordinatorRole
from kingcupusher._membership.groups import group_of
from kingcupusher._membership.interfaces import LoadReport, Vm
from kingcupusher._membership.notices import Emit, PendingNotices
from kingcupusher._membership.peers import EntryId, Grant, Peer
from kingcupusher._membership.record import TargetRecord
from kingcupusher._membership.send_permission import (
    DenialReason,
    PermissionKind,
    SendPermission,
    denied,
)
from kingcupusher._membership.states import StateEvent, next_state
from kingcupusher._peers.messages import (
    Heartbeat,
    TargetClosedAck,
    TargetClosedNotice,
    TargetStateUpdate,
)

LEAVING = "leaving"

# Ten minutes of reads without the target; updates on it are obsolete by then.
DISCARD_AFTER_READS = 300

CLOSED_STATES = frozenset(
    {TargetState.COLD, TargetState.RAMPING, TargetState.DRAINING, TargetState.GONE}
)
LEAVING_STATES = frozenset({TargetState.DRAINING, TargetState.GONE})

# Unknown states, which later versions of targets may report, count as cold.
EVENT_OF_REPORTED_STATE: dict[str, StateEvent] = {
    "warm": StateEvent.WARM,
    "draining": StateEvent.DRAIN,
}


class TargetTable:
    """Tracks the state of each target and decides whether this entry may use it."""

    __slots__ = (
        "_active_groups",
        "_confirmation",
        "_coordinated",
        "_emit",
        "_limits",
        "_must_reassign",
        "_notices",
        "_records",
        "_role",
        "_zones_out",
    )

    def __init__(
        self,
        *,
        confirmation: ConfigConfirmation,
        coordinator_role: CoordinatorRole,
        coordinated_targets: CoordinatedTargets,
        emit: Emit,
    ) -> None:
        self._confirmation = confirmation
        self._role = coordinator_role
        self._coordinated = coordinated_targets
        self._emit = emit
        self._records: dict[str, TargetRecord] = {}
        self._notices = PendingNotices(emit)
        self._limits: Mapping[str, TargetLimits] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._active_groups: frozenset[int] = frozenset()
        self._must_reassign = False

    # -- platform

    def on_vm_list(self, records: Iterable[Vm], *, now_ms: float) -> None:
        """Apply a read of the VM list."""
        vms = {vm.vm_id: vm for vm in records}
        for target_id, vm in vms.items():
            record = self._get_or_add(target_id)
            record.service = vm.service
            record.zone = vm.zone
            record.missed_reads = 0
            record.is_leaving = getattr(vm.state, "value", vm.state) == LEAVING
        for target_id in self._records.keys() - vms.keys():
            self._on_unlisted(self._records[target_id], now_ms)
        self._must_reassign = True
        self.advance(now_ms=now_ms)

    def on_limits(self, limits: Mapping[str, TargetLimits]) -> None:
        """Set the target limits of each service."""
        self._limits = limits

    def on_zone_orders(self, zones_out: Collection[str], *, now_ms: float) -> None:
        """Set the zones that are out; their targets must ramp before they open again."""
        self._zones_out = frozenset(zones_out)
        for record in self._records.values():
            if record.zone in self._zones_out:
                record.is_closed_by_zone = True
                record.warm_evidence_ms = -inf
        self.advance(now_ms=now_ms)

    # -- targets

    def on_response(
        self, target_id: str, report: LoadReport | None, *, sent_ms: float, now_ms: float
    ) -> None:
        """Process a response to a request that was sent at ``sent_ms``."""
        record = self._records.get(target_id)
        if record is None:
            return
        record.last_response_ms = now_ms
        target = self._coordinated_target(record, now_ms)
        event = self._event_in_report(record, report, sent_ms, now_ms)
        if event is None:
            return
        if target is not None and target.ramp is not None:
            self._on_ramp_response(target, event, sent_ms, now_ms)
        elif event is StateEvent.WARM:
            self._on_warm_response(record, sent_ms, now_ms)
        elif sent_ms >= record.state_since_ms or event is StateEvent.DRAIN:
            self._close(record, event, now_ms)

    def on_probe_response(
        self, target_id: str, report: LoadReport, *, sent_ms: float, now_ms: float
    ) -> None:
        """Process a probe response, which proves less than the response to a request."""
        record = self._records.get(target_id)
        if record is None:
            return
        event = self._event_in_report(record, report, sent_ms, now_ms)
        target = self._coordinated_target(record, now_ms)
        if event is None or target is None:
            return
        record.last_response_ms = now_ms
        if record.state is TargetState.DRAINING:
            if (
                event is not StateEvent.DRAIN
                and sent_ms >= record.state_since_ms + DRAIN_RECHECK_MS
            ):
                self._coordinated.close(target, StateEvent.RETURN, now_ms=now_ms)
        elif event is StateEvent.WARM:
            self._coordinated.confirm_warm(target, now_ms=now_ms)
        elif target.ramp is None or event is StateEvent.DRAIN:
            self._close(record, event, now_ms)

    def on_connection_reset(self, target_id: str, *, sent_ms: float, now_ms: float) -> None:
        """Process a reset of a connection that was last used at ``sent_ms``."""
        record = self._records.get(target_id)
        if record is not None and sent_ms >= record.state_since_ms:
            self._close(record, StateEvent.COLD, now_ms)

    def on_refusal(
        self, target_id: str, report: LoadReport | None, *, sent_ms: float, now_ms: float
    ) -> None:
        """Process the refusal of a request that was sent at ``sent_ms``."""
        self.on_failure(target_id, now_ms=now_ms)
        record = self._records.get(target_id)
        if record is None:
            return
        event = self._event_in_report(record, report, sent_ms, now_ms)
        is_ramping = record.state is TargetState.RAMPING
        if event is StateEvent.DRAIN or (event is StateEvent.COLD and not is_ramping):
            self._close(record, event, now_ms)

    def on_failure(self, target_id: str, *, now_ms: float) -> None:
        """Process a request that failed at the target or timed out."""
        target = self._coordinated.get(target_id)
        if target is not None and target.ramp is not None:
            target.ramp.on_failure(now_ms=now_ms)

    # -- peers

    def on_notice(self, notice: TargetClosedNotice, *, sender: EntryId, now_ms: float) -> None:
        """Apply and acknowledge a peer's notice of an event or of a revocation."""
        record = self._get_or_add(notice.target_id)
        if notice.boot_id is None or notice.boot_id != record.previous_boot_id:
            self._apply_notice(record, notice, now_ms)
        acknowledged = max(record.epoch, notice.epoch)
        self._emit(sender.seat, TargetClosedAck(record.target_id, acknowledged))

    def on_ack(self, ack: TargetClosedAck, *, sender: EntryId) -> None:
        """Process the acknowledgement of a revocation."""
        self._coordinated.on_ack(ack.target_id, sender, ack.epoch)

    def on_heartbeat(
        self, heartbeat: Heartbeat, *, peer: Peer, sent_ms: float, now_ms: float
    ) -> None:
        """Apply the target states of a peer; its grants count from ``sent_ms``."""
        if heartbeat.base_list_version > peer.applied_list_version:
            # The changes are relative to a list that this process lacks; our next heartbeat shows
            # that to the peer.
            return
        if heartbeat.base_list_version == 0:
            # Targets missing in a full list keep the old grant, which is no longer renewed.
            peer.grant = Grant()
        for update in heartbeat.targets:
            self._on_state_update(update, peer, now_ms)
        peer.applied_list_version = heartbeat.list_version
        peer.grant.deadline_ms = max(peer.grant.deadline_ms, sent_ms + GRANT_VALIDITY_MS)

    # -- time

    def advance(self, *, now_ms: float) -> None:
        """Update which targets this entry coordinates, and their states."""
        active_groups = self._role.active_groups(now_ms=now_ms)
        if active_groups != self._active_groups or self._must_reassign:
            self._active_groups = active_groups
            self._must_reassign = False
            self._update_coordinated_targets(now_ms)
        for target in self._coordinated:
            is_zone_out = target.record.zone in self._zones_out
            self._coordinated.advance(target, is_zone_out=is_zone_out, now_ms=now_ms)

    def resend_notices(self, *, now_ms: float) -> None:
        """Resend the notices that no coordinator has superseded with a newer update."""
        self._notices.resend(self._records, now_ms=now_ms)

    def take_due_probes(self, *, now_ms: float) -> list[DueProbe]:
        """Return the due probes; each must be sent before its deadline."""
        if not self._confirmation.is_confirmed(now_ms=now_ms):
            return []
        self.advance(now_ms=now_ms)
        return self._coordinated.take_due_probes(
            until_ms=self._role.active_until_ms(now_ms=now_ms), now_ms=now_ms
        )

    # -- queries

    def state_of(self, target_id: str) -> TargetState:
        """Return the state of a target, ``UNKNOWN`` if it does not exist."""
        record = self._records.get(target_id)
        return TargetState.UNKNOWN if record is None else record.state

    def targets_of(self, service: str) -> list[TargetRecord]:
        """Return the listed targets of a service."""
        return [r for r in self._records.values() if r.is_listed and r.service == service]

    def send_permission(self, target_id: str, *, now_ms: float) -> SendPermission:
        """Return whether, to what extent and until when this entry may send to a target."""
        record = self._records.get(target_id)
        if record is None or not record.is_listed:
            return denied(DenialReason.UNLISTED)
        confirmed_until_ms = self._confirmation.confirmed_until_ms(now_ms=now_ms)
        if now_ms >= confirmed_until_ms:
            return denied(DenialReason.UNCONFIRMED)
        if record.zone in self._zones_out:
            return denied(DenialReason.ZONE_OUT)
        if record.is_leaving or record.state in LEAVING_STATES:
            return denied(DenialReason.LEAVING)
        return self._permission_by_state(record, confirmed_until_ms, now_ms)

    def _permission_by_state(
        self, record: TargetRecord, confirmed_until_ms: float, now_ms: float
    ) -> SendPermission:
        target = self._coordinated.get(record.target_id)
        if target is not None and not self._role.is_active_for(record.group, now_ms=now_ms):
            target = None
        if record.state is TargetState.OPEN:
            until_ms = self._open_until_ms(record, target, now_ms)
            if now_ms >= until_ms:
                return denied(DenialReason.EXPIRED)
            return SendPermission(PermissionKind.OPEN, min(until_ms, confirmed_until_ms))
        if target is None or target.ramp is None:
            return denied(DenialReason.CLOSED)
        until_ms = min(self._role.active_until_ms(now_ms=now_ms), confirmed_until_ms)
        return SendPermission(PermissionKind.RAMP, until_ms, target.max_in_flight(now_ms=now_ms))

    def _open_until_ms(
        self, record: TargetRecord, target: CoordinatedTarget | None, now_ms: float
    ) -> float:
        if target is not None and target.verify_until_ms is None:
            return self._role.active_until_ms(now_ms=now_ms)
        if now_ms < record.grant_until_ms:
            return record.grant_until_ms
        # The coordinator may have no record of an entry that is neither registered nor part of an
        # outage seen by most entries, and so could not revoke the permission.
        registered_until_ms = min(
            self._role.lease_expires_ms, record.evidence_without_grant_until_ms
        )
        outage_until_ms = self._confirmation.outage_until_ms(now_ms=now_ms)
        return min(record.warm_evidence_until_ms, max(registered_until_ms, outage_until_ms))

    # -- details

    def _get_or_add(self, target_id: str) -> TargetRecord:
        record = self._records.get(target_id)
        if record is None:
            record = TargetRecord(target_id, group_of(target_id))
            self._records[target_id] = record
        return record

    def _on_unlisted(self, record: TargetRecord, now_ms: float) -> None:
        record.missed_reads += 1
        if record.missed_reads > DISCARD_AFTER_READS:
            self._coordinated.release(record.target_id, now_ms=now_ms)
            self._notices.discard(record.target_id)
            del self._records[record.target_id]

    def _update_coordinated_targets(self, now_ms: float) -> None:
        for record in self._records.values():
            if record.group not in self._active_groups:
                self._coordinated.release(record.target_id, now_ms=now_ms)
            elif record.is_listed and self._coordinated.get(record.target_id) is None:
                self._add_coordinated(record, now_ms)

    def _coordinated_target(self, record: TargetRecord, now_ms: float) -> CoordinatedTarget | None:
        """Return the coordinated target; release it if this entry is no longer its coordinator."""
        target = self._coordinated.get(record.target_id)
        if target is None or self._role.is_active_for(record.group, now_ms=now_ms):
            return target
        self._coordinated.release(record.target_id, now_ms=now_ms)
        self._must_reassign = True
        return None

    def _add_coordinated(self, record: TargetRecord, now_ms: float) -> None:
        term = self._role.term_of(record.group)
        limits = self._limits.get(record.service, TargetLimits())
        self._coordinated.add(record, term=term, limits=limits, now_ms=now_ms)

    def _event_in_report(
        self, record: TargetRecord, report: LoadReport | None, sent_ms: float, now_ms: float
    ) -> StateEvent | None:
        """Return the event in a report, None if it is not from the target's current process.

        A changed boot id closes the target.
        """
        if report is None:
            return None
        event = EVENT_OF_REPORTED_STATE.get(report.state, StateEvent.COLD)
        if report.boot_id == record.boot_id:
            return event
        if sent_ms < record.boot_since_ms or report.boot_id == record.previous_boot_id:
            return None
        is_restart = record.boot_id is not None
        record.update_boot_id(report.boot_id, now_ms=now_ms)
        if event is StateEvent.DRAIN:
            self._close(record, event, now_ms)
        elif is_restart:
            self._on_restart(record, now_ms)
        return event

    def _on_restart(self, record: TargetRecord, now_ms: float) -> None:
        event = StateEvent.RETURN if record.state is TargetState.DRAINING else StateEvent.COLD
        if not (event is StateEvent.RETURN and record.is_leaving):
            self._close(record, event, now_ms)

    def _on_ramp_response(
        self, target: CoordinatedTarget, event: StateEvent, sent_ms: float, now_ms: float
    ) -> None:
        if event is StateEvent.DRAIN:
            self._close(target.record, event, now_ms)
        elif event is StateEvent.COLD and sent_ms > target.warm_sent_ms:
            # The target was warm and turned cold again, so the ramp starts over.
            self._close(target.record, event, now_ms)
        elif target.ramp is not None and sent_ms >= target.record.state_since_ms + REPORT_LAG_MS:
            # Reports on earlier requests may lag behind the cold start.
            if event is StateEvent.WARM:
                target.warm_sent_ms = min(target.warm_sent_ms, sent_ms)
            target.ramp.on_success(now_ms=now_ms)

    def _on_warm_response(self, record: TargetRecord, sent_ms: float, now_ms: float) -> None:
        if record.state is not TargetState.OPEN or sent_ms < record.state_since_ms:
            return
        record.warm_evidence_ms = max(record.warm_evidence_ms, sent_ms)
        target = self._coordinated.get(record.target_id)
        if target is not None:
            self._coordinated.confirm_warm(target, now_ms=now_ms)

    def _close(self, record: TargetRecord, event: StateEvent, now_ms: float) -> None:
        """Close a target after an event detected by this entry, and notify the peers."""
        state = next_state(record.state, event)
        if state is record.state:
            return
        target = self._coordinated_target(record, now_ms)
        if target is not None:
            self._coordinated.close(target, event, now_ms=now_ms)
            return
        record.set_state(state, now_ms=now_ms)
        record.revoked_epoch = record.epoch
        record.is_drain_unannounced = event is StateEvent.DRAIN
        self._notices.broadcast(record, now_ms=now_ms)

    def _apply_notice(
        self, record: TargetRecord, notice: TargetClosedNotice, now_ms: float
    ) -> None:
        is_restart = notice.boot_id != record.boot_id and notice.boot_id is not None
        target = self._coordinated_target(record, now_ms)
        if target is not None:
            # A drain lasts until the process ends, so it applies even if the sender has not seen
            # the latest update.
            is_drain = notice.state in LEAVING_STATES
            is_known_boot = notice.boot_id == record.boot_id
            if notice.epoch >= record.epoch or is_restart or (is_drain and is_known_boot):
                record.update_boot_id(notice.boot_id, now_ms=now_ms)
                self._coordinated.close(
                    target, StateEvent.DRAIN if is_drain else StateEvent.COLD, now_ms=now_ms
                )
        elif notice.epoch >= record.epoch and notice.state in CLOSED_STATES:
            record.update_boot_id(notice.boot_id, now_ms=now_ms)
            self._set_closed(record, notice.state, notice.epoch, now_ms)

    def _on_state_update(self, update: TargetStateUpdate, peer: Peer, now_ms: float) -> None:
        record = self._get_or_add(update.target_id)
        if self._coordinated_target(record, now_ms) is not None:
            return
        if update.state is TargetState.UNKNOWN:
            if record.grant is peer.grant:
                record.drop_grant()
        elif update.epoch < record.epoch:
            # Informs a coordinator whose epochs start too low which epoch it has to exceed.
            self._emit(peer.identity.seat, TargetClosedAck(record.target_id, record.epoch))
        elif record.is_drain_unannounced and _predates_drain(record, update):
            record.epoch = record.revoked_epoch = update.epoch
            self._notices.broadcast(record, now_ms=now_ms)
            self._emit(peer.identity.seat, TargetClosedAck(record.target_id, update.epoch))
        elif update.state is TargetState.OPEN:
            self._on_open_update(record, update, peer, now_ms)
        else:
            record.update_boot_id(update.boot_id, now_ms=now_ms)
            self._set_closed(record, update.state, update.epoch, now_ms)
            self._emit(peer.identity.seat, TargetClosedAck(record.target_id, update.epoch))

    def _on_open_update(
        self, record: TargetRecord, update: TargetStateUpdate, peer: Peer, now_ms: float
    ) -> None:
        if update.epoch <= record.revoked_epoch:
            return
        is_newer = update.epoch > record.epoch
        record.epoch = update.epoch
        if update.boot_id is not None and update.boot_id == record.previous_boot_id:
            # The coordinator has not yet received the restart that this entry detected.
            record.revoked_epoch = update.epoch
            self._notices.broadcast(record, now_ms=now_ms)
            return
        record.update_boot_id(update.boot_id, now_ms=now_ms)
        record.set_state(TargetState.OPEN, now_ms=now_ms)
        record.drop_grant()
        record.grant = peer.grant
        if is_newer:
            record.is_closed_by_zone = record.zone in self._zones_out

    def _set_closed(
        self, record: TargetRecord, state: TargetState, epoch: int, now_ms: float
    ) -> None:
        record.epoch = epoch
        record.revoked_epoch = max(record.revoked_epoch, epoch)
        record.is_drain_unannounced = False
        record.set_state(state, now_ms=now_ms)


def _predates_drain(record: TargetRecord, update: TargetStateUpdate) -> bool:
    """Return whether the coordinator sent an update before it learned of the drain."""
    return update.state not in LEAVING_STATES and update.boot_id == record.boot_id
