"""Operations of an entry that its administration interface exposes."""

from __future__ import annotations

from kingcupusher._admin import StatusReport, TargetStatus, ZoneUpdateResult
from kingcupusher._config import Publisher, PublishOutcome
from kingcupusher._core import now_ms
from kingcupusher._core.signal_event import SignalEvent
from kingcupusher._entry.components import EntryComponents
from kingcupusher._membership import PermissionKind
from kingcupusher._observe.status_metrics import render_status_metrics


class AdminControl:
    """Implements the operations of the administration interface on the components."""

    def __init__(self, components: EntryComponents, stop: SignalEvent) -> None:
        self._components = components
        self._stop = stop
        self.is_draining = False

    def is_ready(self) -> bool:
        """Return whether the platform's balancer should send callers to this entry."""
        components = self._components
        if self.is_draining or not components.config.document.version:
            return False
        return components.membership.confirmation.is_confirmed(now_ms=now_ms())

    def start_drain(self) -> None:
        """Begin a graceful shutdown."""
        self.is_draining = True
        self._stop.set()
        self._components.membership.start_draining()

    async def set_zone_state(self, zone: str, *, out: bool) -> ZoneUpdateResult:
        """Take a zone out of service or bring it back."""
        result = await Publisher(self._components.store).set_zone_state(zone, out=out)
        in_force = result.outcome in (PublishOutcome.IN_FORCE, PublishOutcome.UNCHANGED)
        return ZoneUpdateResult(
            in_force=in_force, version=result.version or 0, message=result.outcome.value
        )

    def status(self) -> StatusReport:
        """Return the state of the entry."""
        components = self._components
        current_ms = now_ms()
        confirmation = components.membership.confirmation
        peer_reports = components.membership.peers.reports(since_ms=current_ms - 1_000.0)
        return StatusReport(
            vm_id=components.settings.vm_id,
            zone=components.settings.zone,
            seat=components.reservation.member.seat,
            ready=self.is_ready(),
            draining=self.is_draining,
            config_version=components.config.document.version,
            config_age_ms=current_ms - components.config.activated_ms,
            zones_out=components.config.document.zones_out,
            platform_reachable=confirmation.is_platform_reachable(now_ms=current_ms),
            confirmed=confirmation.is_confirmed(now_ms=current_ms),
            groups=components.registration.held_groups,
            peers_heard=sorted(peer_reports),
            peer_bytes_sent=components.transport.counters.sent_bytes,
            peer_bytes_received=components.transport.counters.received_bytes,
            requests_in_flight=components.load_balancer.in_flight,
            targets=self._targets(current_ms),
        )

    def render_metrics(self) -> bytes:
        """Return the metrics in Prometheus text format."""
        return render_status_metrics(self.status())

    def _targets(self, current_ms: float) -> list[TargetStatus]:
        target_table = self._components.membership.target_table
        statuses = []
        for service in self._components.config.document.services:
            for record in target_table.targets_of(service):
                permission = target_table.send_permission(record.target_id, now_ms=current_ms)
                is_denied = permission.kind is PermissionKind.DENIED
                reason = (
                    permission.denial_reason.value
                    if is_denied and permission.denial_reason
                    else permission.kind.value
                )
                statuses.append(
                    TargetStatus(
                        target_id=record.target_id,
                        service=service,
                        zone=record.zone,
                        state=record.state.name.lower(),
                        reason=reason,
                        in_flight=self._components.load_balancer.in_flight_at(record.target_id),
                    )
                )
        return statuses
