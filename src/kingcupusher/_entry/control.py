"""Operations of the entry that the administration interface exposes."""

from __future__ import annotations

from kingcupusher._admin import StatusReport, TargetStatus, ZoneUpdateResult
from kingcupusher._config import Publisher, PublishOutcome
from kingcupusher._core import now_ms
from kingcupusher._core.signal_event import SignalEvent
from kingcupusher._entry.parts import EntryParts
from kingcupusher._membership import PermissionKind
from kingcupusher._observe.status_metrics import render_status_metrics


class Control:
    """Answers the administration interface from the parts of the entry."""

    def __init__(self, parts: EntryParts, stop: SignalEvent) -> None:
        self._parts = parts
        self._stop = stop
        self.is_draining = False

    def is_ready(self) -> bool:
        """Return whether the platform's balancer should send callers here."""
        parts = self._parts
        if self.is_draining or not parts.config.document.version:
            return False
        return parts.membership.confirmation.is_confirmed(now_ms=now_ms())

    def start_drain(self) -> None:
        """Begin a graceful shutdown."""
        self.is_draining = True
        self._stop.set()
        self._parts.membership.start_draining()

    async def set_zone_state(self, zone: str, *, out: bool) -> ZoneUpdateResult:
        """Take a zone out of service or bring it back."""
        result = await Publisher(self._parts.store).set_zone_state(zone, out=out)
        in_force = result.outcome in (PublishOutcome.IN_FORCE, PublishOutcome.UNCHANGED)
        return ZoneUpdateResult(
            in_force=in_force, version=result.version or 0, message=result.outcome.value
        )

    def status(self) -> StatusReport:
        """Return the state of the entry."""
        parts = self._parts
        current_ms = now_ms()
        confirmation = parts.membership.confirmation
        heard = parts.membership.peers.reports(since_ms=current_ms - 1_000.0)
        return StatusReport(
            vm_id=parts.settings.vm_id,
            zone=parts.settings.zone,
            seat=parts.seat.member.seat,
            ready=self.is_ready(),
            draining=self.is_draining,
            config_version=parts.config.document.version,
            config_age_ms=current_ms - parts.config.since_ms,
            zones_out=parts.config.document.zones_out,
            platform_reachable=confirmation.is_platform_reachable(now_ms=current_ms),
            confirmed=confirmation.is_confirmed(now_ms=current_ms),
            groups=parts.registration.held_groups,
            peers_heard=sorted(heard),
            peer_bytes_sent=parts.transport.counters.sent_bytes,
            peer_bytes_received=parts.transport.counters.received_bytes,
            requests_in_flight=parts.directory.in_flight,
            targets=self._targets(current_ms),
        )

    def render_metrics(self) -> bytes:
        """Return the metrics in Prometheus text format."""
        return render_status_metrics(self.status())

    def _targets(self, current_ms: float) -> list[TargetStatus]:
        table = self._parts.membership.target_table
        found = []
        for service in self._parts.config.document.services:
            for record in table.targets_of(service):
                right = table.send_permission(record.target_id, now_ms=current_ms)
                is_denied = right.kind is PermissionKind.DENIED
                reason = (
                    right.denial_reason.value
                    if is_denied and right.denial_reason
                    else right.kind.value
                )
                found.append(
                    TargetStatus(
                        target_id=record.target_id,
                        service=service,
                        zone=record.zone,
                        state=record.state.name.lower(),
                        reason=reason,
                        in_flight=self._parts.directory.in_flight_at(record.target_id),
                    )
                )
        return found
