"""Target table of one entry: evidence in, right to send out."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from math import inf

from kingcupusher._config import TargetLimits
from kingcupusher._core.target_state import TargetState
from kingcupusher._membership.bounds import (
    DRAIN_RECHECK_MS,
    GRANT_MS,
    REPORT_LAG_MS,
)
from kingcupusher._membership.confirmation import ConfigConfirmation
from kingcupusher._membership.coordinator import CoordinatorRole
from kingcupusher._membership.duties import DueProbe, Duties, Duty
from kingcupusher._membership.groups import group_of
from kingcupusher._membership.notices import Emit, PendingNotices
from kingcupusher._membership.peers import EntryId, Grant, Peer
from kingcupusher._membership.ports import Report, Vm
from kingcupusher._membership.record import TargetRecord
from kingcupusher._membership.rights import DenialReason, PermissionKind, SendPermission, denied
from kingcupusher._membership.states import Sign, next_state
from kingcupusher._peers.messages import (
    Heartbeat,
    TargetClosedAck,
    TargetClosedNotice,
    TargetStateUpdate,
)

LEAVING = "leaving"

# Ten minutes of reads without the target; its statements are of no use to anybody by then.
FORGET_READS = 300

CLOSED_STATES = frozenset(
    {TargetState.COLD, TargetState.RAMPING, TargetState.DRAINING, TargetState.GONE}
)
LEAVING_STATES = frozenset({TargetState.DRAINING, TargetState.GONE})

# A state that a later version of the targets may report is handled like a cold start.
SIGN_OF_REPORT: dict[str, Sign] = {"warm": Sign.WARM, "draining": Sign.DRAIN}


class TargetTable:
    """Knows the state of each target and decides whether this entry may use it."""

    __slots__ = (
        "_acting",
        "_confirmation",
        "_duties",
        "_emit",
        "_is_list_changed",
        "_limits",
        "_notices",
        "_records",
        "_rule",
        "_zones_out",
    )

    def __init__(
        self,
        *,
        confirmation: ConfigConfirmation,
        rule: CoordinatorRole,
        duties: Duties,
        emit: Emit,
    ) -> None:
        self._confirmation = confirmation
        self._rule = rule
        self._duties = duties
        self._emit = emit
        self._records: dict[str, TargetRecord] = {}
        self._notices = PendingNotices(emit)
        self._limits: Mapping[str, TargetLimits] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._acting: frozenset[int] = frozenset()
        self._is_list_changed = False

    # -- what the platform says

    def on_vm_list(self, records: Iterable[Vm], *, now_ms: float) -> None:
        """Take over a reading of the VM list."""
        vms = {vm.vm_id: vm for vm in records}
        for target_id, vm in vms.items():
            record = self._record(target_id)
            record.service = vm.service
            record.zone = vm.zone
            record.absent_reads = 0
            record.is_leaving = getattr(vm.state, "value", vm.state) == LEAVING
        for target_id in self._records.keys() - vms.keys():
            self._on_absent(self._records[target_id], now_ms)
        self._is_list_changed = True
        self.advance(now_ms=now_ms)

    def on_limits(self, limits: Mapping[str, TargetLimits]) -> None:
        """Take over what the targets of each service can bear."""
        self._limits = limits

    def on_zone_orders(self, zones_out: Collection[str], *, now_ms: float) -> None:
        """Take over the zones that are out; their targets must ramp before they are open again."""
        self._zones_out = frozenset(zones_out)
        for record in self._records.values():
            if record.zone in self._zones_out:
                record.is_zone_closed = True
                record.evidence_ms = -inf
        self.advance(now_ms=now_ms)

    # -- what targets say

    def on_response(
        self, target_id: str, report: Report | None, *, sent_ms: float, now_ms: float
    ) -> None:
        """Note a response to a request that was sent at ``sent_ms``."""
        record = self._records.get(target_id)
        if record is None:
            return
        record.last_direct_ms = now_ms
        duty = self._acting_duty(record, now_ms)
        sign = self._read(record, report, sent_ms, now_ms)
        if sign is None:
            return
        if duty is not None and duty.ramp is not None:
            self._on_ramp_response(duty, sign, sent_ms, now_ms)
        elif sign is Sign.WARM:
            self._on_warm(record, sent_ms, now_ms)
        elif sent_ms >= record.since_ms or sign is Sign.DRAIN:
            self._close(record, sign, now_ms)

    def on_probe_response(
        self, target_id: str, report: Report, *, sent_ms: float, now_ms: float
    ) -> None:
        """Note the response to a probe; it proves less than the response to a request."""
        record = self._records.get(target_id)
        if record is None:
            return
        sign = self._read(record, report, sent_ms, now_ms)
        duty = self._acting_duty(record, now_ms)
        if sign is None or duty is None:
            return
        record.last_direct_ms = now_ms
        if record.state is TargetState.DRAINING:
            if sign is not Sign.DRAIN and sent_ms >= record.since_ms + DRAIN_RECHECK_MS:
                self._duties.close(duty, Sign.RETURN, now_ms=now_ms)
        elif sign is Sign.WARM:
            self._duties.confirm_warm(duty, now_ms=now_ms)
        elif duty.ramp is None or sign is Sign.DRAIN:
            self._close(record, sign, now_ms)

    def on_connection_reset(self, target_id: str, *, sent_ms: float, now_ms: float) -> None:
        """Note a connection that the target reset; ``sent_ms`` is its last use."""
        record = self._records.get(target_id)
        if record is not None and sent_ms >= record.since_ms:
            self._close(record, Sign.COLD, now_ms)

    def on_refusal(
        self, target_id: str, report: Report | None, *, sent_ms: float, now_ms: float
    ) -> None:
        """Note that the target refused a request that was sent at ``sent_ms``."""
        self.on_failure(target_id, now_ms=now_ms)
        record = self._records.get(target_id)
        if record is None:
            return
        sign = self._read(record, report, sent_ms, now_ms)
        is_ramping = record.state is TargetState.RAMPING
        if sign is Sign.DRAIN or (sign is Sign.COLD and not is_ramping):
            self._close(record, sign, now_ms)

    def on_failure(self, target_id: str, *, now_ms: float) -> None:
        """Note a request that the target failed or did not answer in time."""
        duty = self._duties.of(target_id)
        if duty is not None and duty.ramp is not None:
            duty.ramp.on_failure(now_ms=now_ms)

    # -- what peers say

    def on_notice(self, notice: TargetClosedNotice, *, sender: EntryId, now_ms: float) -> None:
        """Apply a sign that a peer saw, or a revocation, and acknowledge it."""
        record = self._record(notice.target_id)
        if notice.boot_id is None or notice.boot_id != record.previous_boot_id:
            self._apply_notice(record, notice, now_ms)
        acknowledged = max(record.epoch, notice.epoch)
        self._emit(sender.seat, TargetClosedAck(record.target_id, acknowledged))

    def on_ack(self, ack: TargetClosedAck, *, sender: EntryId) -> None:
        """Note an acknowledgement of a revocation."""
        self._duties.on_ack(ack.target_id, sender, ack.epoch)

    def on_heartbeat(
        self, heartbeat: Heartbeat, *, peer: Peer, sent_ms: float, now_ms: float
    ) -> None:
        """Apply the statements of a peer; its grants count from ``sent_ms``."""
        if heartbeat.base_list_version > peer.seen_version:
            # Changes to a list that this process never saw; the peer learns so from our echo.
            return
        if heartbeat.base_list_version == 0:
            # Targets that a whole list omits keep the old object, which nobody refreshes.
            peer.grant = Grant()
        for entry in heartbeat.targets:
            self._on_statement(entry, peer, now_ms)
        peer.seen_version = heartbeat.list_version
        peer.grant.deadline_ms = max(peer.grant.deadline_ms, sent_ms + GRANT_MS)

    # -- time

    def advance(self, *, now_ms: float) -> None:
        """Begin and end duties as the coordinator rule says, and move targets on."""
        acting = self._rule.acting(now_ms=now_ms)
        if acting != self._acting or self._is_list_changed:
            self._acting = acting
            self._is_list_changed = False
            self._assign_duties(now_ms)
        for duty in self._duties:
            is_zone_out = duty.record.zone in self._zones_out
            self._duties.advance(duty, is_zone_out=is_zone_out, now_ms=now_ms)

    def repeat_notices(self, *, now_ms: float) -> None:
        """Send signs again that no coordinator has answered with a newer statement."""
        self._notices.repeat(self._records, now_ms=now_ms)

    def take_due_probes(self, *, now_ms: float) -> list[DueProbe]:
        """Return the probes that are due now; each must be sent before its deadline."""
        if not self._confirmation.is_confirmed(now_ms=now_ms):
            return []
        self.advance(now_ms=now_ms)
        return self._duties.take_due_probes(
            until_ms=self._rule.until_ms(now_ms=now_ms), now_ms=now_ms
        )

    # -- answers

    def state_of(self, target_id: str) -> TargetState:
        """Return the state of a target, ``UNKNOWN`` if there is no such target."""
        record = self._records.get(target_id)
        return TargetState.UNKNOWN if record is None else record.state

    def targets_of(self, service: str) -> list[TargetRecord]:
        """Return the listed targets of a service."""
        return [r for r in self._records.values() if r.is_listed and r.service == service]

    def send_permission(self, target_id: str, *, now_ms: float) -> SendPermission:
        """Return whether, how far and how long this entry may send work to a target."""
        record = self._records.get(target_id)
        if record is None or not record.is_listed:
            return denied(DenialReason.UNLISTED)
        confirmed_until_ms = self._confirmation.until_ms(now_ms=now_ms)
        if now_ms >= confirmed_until_ms:
            return denied(DenialReason.UNCONFIRMED)
        if record.zone in self._zones_out:
            return denied(DenialReason.ZONE_OUT)
        if record.is_leaving or record.state in LEAVING_STATES:
            return denied(DenialReason.LEAVING)
        return self._right_by_state(record, confirmed_until_ms, now_ms)

    def _right_by_state(
        self, record: TargetRecord, confirmed_until_ms: float, now_ms: float
    ) -> SendPermission:
        duty = self._duties.of(record.target_id)
        if duty is not None and not self._rule.acts_for(record.group, now_ms=now_ms):
            duty = None
        if record.state is TargetState.OPEN:
            until_ms = self._open_until_ms(record, duty, now_ms)
            if now_ms >= until_ms:
                return denied(DenialReason.EXPIRED)
            return SendPermission(PermissionKind.OPEN, min(until_ms, confirmed_until_ms))
        if duty is None or duty.ramp is None:
            return denied(DenialReason.CLOSED)
        until_ms = min(self._rule.until_ms(now_ms=now_ms), confirmed_until_ms)
        return SendPermission(PermissionKind.RAMP, until_ms, duty.allowance(now_ms=now_ms))

    def _open_until_ms(self, record: TargetRecord, duty: Duty | None, now_ms: float) -> float:
        if duty is not None and duty.verify_until_ms is None:
            return self._rule.until_ms(now_ms=now_ms)
        if now_ms < record.grant_until_ms:
            return record.grant_until_ms
        # An entry that is neither registered nor part of an outage that most entries see may be
        # unknown to the coordinator, which then could not ask it to give up its evidence.
        registered_until_ms = min(self._rule.lease_until_ms, record.ungranted_until_ms)
        outage_until_ms = self._confirmation.outage_until_ms(now_ms=now_ms)
        return min(record.evidence_until_ms, max(registered_until_ms, outage_until_ms))

    # -- details

    def _record(self, target_id: str) -> TargetRecord:
        record = self._records.get(target_id)
        if record is None:
            record = TargetRecord(target_id, group_of(target_id))
            self._records[target_id] = record
        return record

    def _on_absent(self, record: TargetRecord, now_ms: float) -> None:
        record.absent_reads += 1
        if record.absent_reads > FORGET_READS:
            self._duties.end(record.target_id, now_ms=now_ms)
            self._notices.forget(record.target_id)
            del self._records[record.target_id]

    def _assign_duties(self, now_ms: float) -> None:
        for record in self._records.values():
            if record.group not in self._acting:
                self._duties.end(record.target_id, now_ms=now_ms)
            elif record.is_listed and self._duties.of(record.target_id) is None:
                self._begin(record, now_ms)

    def _acting_duty(self, record: TargetRecord, now_ms: float) -> Duty | None:
        """Return the duty for a target; one that this entry may not act on any more ends."""
        duty = self._duties.of(record.target_id)
        if duty is None or self._rule.acts_for(record.group, now_ms=now_ms):
            return duty
        self._duties.end(record.target_id, now_ms=now_ms)
        self._is_list_changed = True
        return None

    def _begin(self, record: TargetRecord, now_ms: float) -> None:
        term = self._rule.term_of(record.group)
        limits = self._limits.get(record.service, TargetLimits())
        self._duties.begin(record, term=term, limits=limits, now_ms=now_ms)

    def _read(
        self, record: TargetRecord, report: Report | None, sent_ms: float, now_ms: float
    ) -> Sign | None:
        """Return the sign in a report; None if it is not about the target's present process.

        A boot id that changed closes the target.
        """
        if report is None:
            return None
        sign = SIGN_OF_REPORT.get(report.state, Sign.COLD)
        if report.boot_id == record.boot_id:
            return sign
        if sent_ms < record.boot_since_ms or report.boot_id == record.previous_boot_id:
            return None
        is_restart = record.boot_id is not None
        record.adopt_boot(report.boot_id, now_ms=now_ms)
        if sign is Sign.DRAIN:
            self._close(record, sign, now_ms)
        elif is_restart:
            self._on_restart(record, now_ms)
        return sign

    def _on_restart(self, record: TargetRecord, now_ms: float) -> None:
        sign = Sign.RETURN if record.state is TargetState.DRAINING else Sign.COLD
        if not (sign is Sign.RETURN and record.is_leaving):
            self._close(record, sign, now_ms)

    def _on_ramp_response(self, duty: Duty, sign: Sign, sent_ms: float, now_ms: float) -> None:
        if sign is Sign.DRAIN:
            self._close(duty.record, sign, now_ms)
        elif sign is Sign.COLD and sent_ms > duty.warm_ms:
            # It was warm and turned cold again: the ramp starts over.
            self._close(duty.record, sign, now_ms)
        elif duty.ramp is not None and sent_ms >= duty.record.since_ms + REPORT_LAG_MS:
            # An earlier report may lag behind the cold start.
            if sign is Sign.WARM:
                duty.warm_ms = min(duty.warm_ms, sent_ms)
            duty.ramp.on_success(now_ms=now_ms)

    def _on_warm(self, record: TargetRecord, sent_ms: float, now_ms: float) -> None:
        if record.state is not TargetState.OPEN or sent_ms < record.since_ms:
            return
        record.evidence_ms = max(record.evidence_ms, sent_ms)
        duty = self._duties.of(record.target_id)
        if duty is not None:
            self._duties.confirm_warm(duty, now_ms=now_ms)

    def _close(self, record: TargetRecord, sign: Sign, now_ms: float) -> None:
        """Close a target by a sign that this entry saw itself, and tell the peers."""
        state = next_state(record.state, sign)
        if state is record.state:
            return
        duty = self._acting_duty(record, now_ms)
        if duty is not None:
            self._duties.close(duty, sign, now_ms=now_ms)
            return
        record.move(state, now_ms=now_ms)
        record.closed_epoch = record.epoch
        record.is_drain_untold = sign is Sign.DRAIN
        self._notices.tell(record, now_ms=now_ms)

    def _apply_notice(
        self, record: TargetRecord, notice: TargetClosedNotice, now_ms: float
    ) -> None:
        is_restart = notice.boot_id != record.boot_id and notice.boot_id is not None
        duty = self._acting_duty(record, now_ms)
        if duty is not None:
            # A drain lasts until the process ends, so it matters even if the sender's knowledge of
            # the statements is old.
            is_drain = notice.state in LEAVING_STATES
            is_known_boot = notice.boot_id == record.boot_id
            if notice.epoch >= record.epoch or is_restart or (is_drain and is_known_boot):
                record.adopt_boot(notice.boot_id, now_ms=now_ms)
                self._duties.close(duty, Sign.DRAIN if is_drain else Sign.COLD, now_ms=now_ms)
        elif notice.epoch >= record.epoch and notice.state in CLOSED_STATES:
            record.adopt_boot(notice.boot_id, now_ms=now_ms)
            self._shut(record, notice.state, notice.epoch, now_ms)

    def _on_statement(self, entry: TargetStateUpdate, peer: Peer, now_ms: float) -> None:
        record = self._record(entry.target_id)
        if self._acting_duty(record, now_ms) is not None:
            return
        if entry.state is TargetState.UNKNOWN:
            if record.grant is peer.grant:
                record.drop_grant()
        elif entry.epoch < record.epoch:
            # Shows a sender whose epochs count from too low which one it has to exceed.
            self._emit(peer.identity.seat, TargetClosedAck(record.target_id, record.epoch))
        elif record.is_drain_untold and _ignores_drain(record, entry):
            record.epoch = record.closed_epoch = entry.epoch
            self._notices.tell(record, now_ms=now_ms)
            self._emit(peer.identity.seat, TargetClosedAck(record.target_id, entry.epoch))
        elif entry.state is TargetState.OPEN:
            self._on_open_statement(record, entry, peer, now_ms)
        else:
            record.adopt_boot(entry.boot_id, now_ms=now_ms)
            self._shut(record, entry.state, entry.epoch, now_ms)
            self._emit(peer.identity.seat, TargetClosedAck(record.target_id, entry.epoch))

    def _on_open_statement(
        self, record: TargetRecord, entry: TargetStateUpdate, peer: Peer, now_ms: float
    ) -> None:
        if entry.epoch <= record.closed_epoch:
            return
        is_newer = entry.epoch > record.epoch
        record.epoch = entry.epoch
        if entry.boot_id is not None and entry.boot_id == record.previous_boot_id:
            # The coordinator has not learnt of the restart that this entry saw.
            record.closed_epoch = entry.epoch
            self._notices.tell(record, now_ms=now_ms)
            return
        record.adopt_boot(entry.boot_id, now_ms=now_ms)
        record.move(TargetState.OPEN, now_ms=now_ms)
        record.drop_grant()
        record.grant = peer.grant
        if is_newer:
            record.is_zone_closed = record.zone in self._zones_out

    def _shut(self, record: TargetRecord, state: TargetState, epoch: int, now_ms: float) -> None:
        record.epoch = epoch
        record.closed_epoch = max(record.closed_epoch, epoch)
        record.is_drain_untold = False
        record.move(state, now_ms=now_ms)


def _ignores_drain(record: TargetRecord, entry: TargetStateUpdate) -> bool:
    """Return whether a coordinator made a statement before it learnt of the drain seen here."""
    return entry.state not in LEAVING_STATES and entry.boot_id == record.boot_id
