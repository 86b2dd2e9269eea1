"""Target states at one entry, and the permission to send that follows from them."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from math import inf

from kingcupusher._config import TargetLimits
from kingcupusher._core.target_state import TargetState
from kingcupusher._membership.bounds import DRAIN_RECHECK_MS, REPORT_LAG_MS
from kingcupusher._membership.confirmation import ConfigConfirmation
from kingcupusher._membership.coordinated_targets import (
    CoordinatedTarget,
    CoordinatedTargets,
    DueProbe,
)
from kingcupusher._membership.coordinator import CoordinatorRole
from kingcupusher._membership.interfaces import LoadReport, Vm
from kingcupusher._membership.notices import Emit
from kingcupusher._membership.peer_updates import PeerUpdates
from kingcupusher._membership.peers import EntryId, Peer
from kingcupusher._membership.permissions import SendPermissions
from kingcupusher._membership.record import TargetRecord
from kingcupusher._membership.send_permission import SendPermission
from kingcupusher._membership.states import StateEvent, next_state
from kingcupusher._membership.table_state import TableState
from kingcupusher._peers.messages import Heartbeat, TargetClosedAck, TargetClosedNotice

LEAVING = "leaving"

# Ten minutes of reads without the target; updates on it are obsolete by then.
DISCARD_AFTER_READS = 300

# Unknown states, which later versions of targets may report, count as cold.
EVENT_OF_REPORTED_STATE: dict[str, StateEvent] = {
    "warm": StateEvent.WARM,
    "draining": StateEvent.DRAIN,
}


class TargetTable:
    """Tracks the state of each target and decides whether this entry may use it."""

    __slots__ = ("_active_groups", "_limits", "_peer_updates", "_permissions", "_state")

    def __init__(
        self,
        *,
        confirmation: ConfigConfirmation,
        coordinator_role: CoordinatorRole,
        coordinated_targets: CoordinatedTargets,
        emit: Emit,
    ) -> None:
        self._state = TableState(
            confirmation=confirmation,
            role=coordinator_role,
            coordinated=coordinated_targets,
            emit=emit,
        )
        self._peer_updates = PeerUpdates(self._state)
        self._permissions = SendPermissions(self._state)
        self._limits: Mapping[str, TargetLimits] = {}
        self._active_groups: frozenset[int] = frozenset()

    # -- platform

    def on_vm_list(self, records: Iterable[Vm], *, now_ms: float) -> None:
        """Apply a read of the VM list."""
        vms = {vm.vm_id: vm for vm in records}
        for target_id, vm in vms.items():
            record = self._state.get_or_add(target_id)
            record.service = vm.service
            record.zone = vm.zone
            record.missed_reads = 0
            record.is_leaving = getattr(vm.state, "value", vm.state) == LEAVING
        for target_id in self._state.records.keys() - vms.keys():
            self._on_unlisted(self._state.records[target_id], now_ms)
        self._state.must_reassign = True
        self.advance(now_ms=now_ms)

    def on_limits(self, limits: Mapping[str, TargetLimits]) -> None:
        """Set the target limits of each service."""
        self._limits = limits

    def on_zone_orders(self, zones_out: Collection[str], *, now_ms: float) -> None:
        """Set the zones that are out; their targets must ramp before they open again."""
        self._state.zones_out = frozenset(zones_out)
        for record in self._state.records.values():
            if record.zone in self._state.zones_out:
                record.is_closed_by_zone = True
                record.warm_evidence_ms = -inf
        self.advance(now_ms=now_ms)

    # -- targets

    def on_response(
        self, target_id: str, report: LoadReport | None, *, sent_ms: float, now_ms: float
    ) -> None:
        """Process a response to a request that was sent at ``sent_ms``."""
        record = self._state.records.get(target_id)
        if record is None:
            return
        record.last_response_ms = now_ms
        target = self._state.coordinated_target(record, now_ms)
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
        record = self._state.records.get(target_id)
        if record is None:
            return
        event = self._event_in_report(record, report, sent_ms, now_ms)
        target = self._state.coordinated_target(record, now_ms)
        if event is None or target is None:
            return
        record.last_response_ms = now_ms
        if record.state is TargetState.DRAINING:
            is_late = sent_ms >= record.state_since_ms + DRAIN_RECHECK_MS
            if event is not StateEvent.DRAIN and is_late:
                self._state.coordinated.close(target, StateEvent.RETURN, now_ms=now_ms)
        elif event is StateEvent.WARM:
            self._state.coordinated.confirm_warm(target, now_ms=now_ms)
        elif target.ramp is None or event is StateEvent.DRAIN:
            self._close(record, event, now_ms)

    def on_connection_reset(self, target_id: str, *, sent_ms: float, now_ms: float) -> None:
        """Process a reset of a connection that was last used at ``sent_ms``."""
        record = self._state.records.get(target_id)
        if record is not None and sent_ms >= record.state_since_ms:
            self._close(record, StateEvent.COLD, now_ms)

    def on_refusal(
        self, target_id: str, report: LoadReport | None, *, sent_ms: float, now_ms: float
    ) -> None:
        """Process the refusal of a request that was sent at ``sent_ms``."""
        self.on_failure(target_id, now_ms=now_ms)
        record = self._state.records.get(target_id)
        if record is None:
            return
        event = self._event_in_report(record, report, sent_ms, now_ms)
        is_ramping = record.state is TargetState.RAMPING
        if event is StateEvent.DRAIN or (event is StateEvent.COLD and not is_ramping):
            self._close(record, event, now_ms)

    def on_failure(self, target_id: str, *, now_ms: float) -> None:
        """Process a request that failed at the target or timed out."""
        target = self._state.coordinated.get(target_id)
        if target is not None and target.ramp is not None:
            target.ramp.on_failure(now_ms=now_ms)

    # -- peers

    def on_notice(self, notice: TargetClosedNotice, *, sender: EntryId, now_ms: float) -> None:
        """Apply and acknowledge a peer's notice of an event or of a revocation."""
        self._peer_updates.on_notice(notice, sender=sender, now_ms=now_ms)

    def on_ack(self, ack: TargetClosedAck, *, sender: EntryId) -> None:
        """Process the acknowledgement of a revocation."""
        self._peer_updates.on_ack(ack, sender=sender)

    def on_heartbeat(
        self, heartbeat: Heartbeat, *, peer: Peer, sent_ms: float, now_ms: float
    ) -> None:
        """Apply the target states of a peer; its grants count from ``sent_ms``."""
        self._peer_updates.on_heartbeat(heartbeat, peer=peer, sent_ms=sent_ms, now_ms=now_ms)

    # -- time

    def advance(self, *, now_ms: float) -> None:
        """Update which targets this entry coordinates, and their states."""
        active_groups = self._state.role.active_groups(now_ms=now_ms)
        if active_groups != self._active_groups or self._state.must_reassign:
            self._active_groups = active_groups
            self._state.must_reassign = False
            self._update_coordinated_targets(now_ms)
        for target in self._state.coordinated:
            is_zone_out = target.record.zone in self._state.zones_out
            self._state.coordinated.advance(target, is_zone_out=is_zone_out, now_ms=now_ms)

    def resend_notices(self, *, now_ms: float) -> None:
        """Resend the notices that no coordinator has superseded with a newer update."""
        self._state.notices.resend(self._state.records, now_ms=now_ms)

    def take_due_probes(self, *, now_ms: float) -> list[DueProbe]:
        """Return the due probes; each must be sent before its deadline."""
        if not self._state.confirmation.is_confirmed(now_ms=now_ms):
            return []
        self.advance(now_ms=now_ms)
        return self._state.coordinated.take_due_probes(
            until_ms=self._state.role.active_until_ms(now_ms=now_ms), now_ms=now_ms
        )

    # -- queries

    def state_of(self, target_id: str) -> TargetState:
        """Return the state of a target, ``UNKNOWN`` if it does not exist."""
        record = self._state.records.get(target_id)
        return TargetState.UNKNOWN if record is None else record.state

    def targets_of(self, service: str) -> list[TargetRecord]:
        """Return the listed targets of a service."""
        return [r for r in self._state.records.values() if r.is_listed and r.service == service]

    def send_permission(self, target_id: str, *, now_ms: float) -> SendPermission:
        """Return whether, to what extent and until when this entry may send to a target."""
        return self._permissions.send_permission(target_id, now_ms=now_ms)

    # -- details

    def _on_unlisted(self, record: TargetRecord, now_ms: float) -> None:
        record.missed_reads += 1
        if record.missed_reads > DISCARD_AFTER_READS:
            self._state.coordinated.release(record.target_id, now_ms=now_ms)
            self._state.notices.discard(record.target_id)
            del self._state.records[record.target_id]

    def _update_coordinated_targets(self, now_ms: float) -> None:
        for record in self._state.records.values():
            if record.group not in self._active_groups:
                self._state.coordinated.release(record.target_id, now_ms=now_ms)
            elif record.is_listed and self._state.coordinated.get(record.target_id) is None:
                self._add_coordinated(record, now_ms)

    def _add_coordinated(self, record: TargetRecord, now_ms: float) -> None:
        term = self._state.role.term_of(record.group)
        limits = self._limits.get(record.service, TargetLimits())
        self._state.coordinated.add(record, term=term, limits=limits, now_ms=now_ms)

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
        target = self._state.coordinated.get(record.target_id)
        if target is not None:
            self._state.coordinated.confirm_warm(target, now_ms=now_ms)

    def _close(self, record: TargetRecord, event: StateEvent, now_ms: float) -> None:
        """Close a target after an event detected by this entry, and notify the peers."""
        state = next_state(record.state, event)
        if state is record.state:
            return
        target = self._state.coordinated_target(record, now_ms)
        if target is not None:
            self._state.coordinated.close(target, event, now_ms=now_ms)
            return
        record.set_state(state, now_ms=now_ms)
        record.revoked_epoch = record.epoch
        record.is_drain_unannounced = event is StateEvent.DRAIN
        self._state.notices.broadcast(record, now_ms=now_ms)
