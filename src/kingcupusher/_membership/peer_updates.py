"""Applies what peers send about targets: notices, acknowledgements and heartbeats."""

from __future__ import annotations

from kingcupusher._core.target_state import TargetState
from kingcupusher._membership.bounds import GRANT_VALIDITY_MS
from kingcupusher._membership.peers import EntryId, Grant, Peer
from kingcupusher._membership.record import TargetRecord
from kingcupusher._membership.states import StateEvent
from kingcupusher._membership.table_state import LEAVING_STATES, TableState
from kingcupusher._peers.messages import (
    Heartbeat,
    TargetClosedAck,
    TargetClosedNotice,
    TargetStateUpdate,
)

CLOSED_STATES = LEAVING_STATES | {TargetState.COLD, TargetState.RAMPING}


class PeerUpdates:
    """Changes the state of targets by messages of peers."""

    __slots__ = ("_state",)

    def __init__(self, state: TableState) -> None:
        self._state = state

    def on_notice(self, notice: TargetClosedNotice, *, sender: EntryId, now_ms: float) -> None:
        """Apply and acknowledge a peer's notice of an event or of a revocation."""
        record = self._state.get_or_add(notice.target_id)
        if notice.boot_id is None or notice.boot_id != record.previous_boot_id:
            self._apply_notice(record, notice, now_ms)
        acknowledged = max(record.epoch, notice.epoch)
        self._state.emit(sender.seat, TargetClosedAck(record.target_id, acknowledged))

    def on_ack(self, ack: TargetClosedAck, *, sender: EntryId) -> None:
        """Process the acknowledgement of a revocation."""
        self._state.coordinated.on_ack(ack.target_id, sender, ack.epoch)

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

    def _apply_notice(
        self, record: TargetRecord, notice: TargetClosedNotice, now_ms: float
    ) -> None:
        is_restart = notice.boot_id != record.boot_id and notice.boot_id is not None
        target = self._state.coordinated_target(record, now_ms)
        if target is not None:
            # A drain lasts until the process ends, so it applies even if the sender has not seen
            # the latest update.
            is_drain = notice.state in LEAVING_STATES
            is_known_boot = notice.boot_id == record.boot_id
            if notice.epoch >= record.epoch or is_restart or (is_drain and is_known_boot):
                record.update_boot_id(notice.boot_id, now_ms=now_ms)
                self._state.coordinated.close(
                    target, StateEvent.DRAIN if is_drain else StateEvent.COLD, now_ms=now_ms
                )
        elif notice.epoch >= record.epoch and notice.state in CLOSED_STATES:
            record.update_boot_id(notice.boot_id, now_ms=now_ms)
            self._set_closed(record, notice.state, notice.epoch, now_ms)

    def _on_state_update(self, update: TargetStateUpdate, peer: Peer, now_ms: float) -> None:
        record = self._state.get_or_add(update.target_id)
        if self._state.coordinated_target(record, now_ms) is not None:
            return
        if update.state is TargetState.UNKNOWN:
            if record.grant is peer.grant:
                record.drop_grant()
        elif update.epoch < record.epoch:
            # Informs a coordinator whose epochs start too low which epoch it has to exceed.
            self._state.emit(peer.identity.seat, TargetClosedAck(record.target_id, record.epoch))
        elif record.is_drain_unannounced and _predates_drain(record, update):
            record.epoch = record.revoked_epoch = update.epoch
            self._state.notices.broadcast(record, now_ms=now_ms)
            self._state.emit(peer.identity.seat, TargetClosedAck(record.target_id, update.epoch))
        elif update.state is TargetState.OPEN:
            self._on_open_update(record, update, peer, now_ms)
        else:
            record.update_boot_id(update.boot_id, now_ms=now_ms)
            self._set_closed(record, update.state, update.epoch, now_ms)
            self._state.emit(peer.identity.seat, TargetClosedAck(record.target_id, update.epoch))

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
            self._state.notices.broadcast(record, now_ms=now_ms)
            return
        record.update_boot_id(update.boot_id, now_ms=now_ms)
        record.set_state(TargetState.OPEN, now_ms=now_ms)
        record.drop_grant()
        record.grant = peer.grant
        if is_newer:
            record.is_closed_by_zone = record.zone in self._state.zones_out

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
