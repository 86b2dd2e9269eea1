"""Responses of the administration interface, and its protocol for controlling an entry."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct


class TargetStatus(Struct, frozen=True, kw_only=True):
    """State of one target at this entry; ``reason`` gives why requests may or may not be sent."""

    target_id: str
    service: str
    zone: str
    state: str
    reason: str
    in_flight: int


class StatusReport(Struct, frozen=True, kw_only=True):
    """State of one entry."""

    vm_id: str
    zone: str
    seat: int | None
    ready: bool
    draining: bool
    config_version: int
    config_age_ms: float
    zones_out: list[str]
    platform_reachable: bool
    confirmed: bool
    groups: list[int]
    peers_heard: list[int]
    peer_bytes_sent: int
    peer_bytes_received: int
    requests_in_flight: int
    targets: list[TargetStatus]


class ZoneUpdateResult(Struct, frozen=True, kw_only=True):
    """Result of a zone update; ``in_force`` is True only if the store has accepted it."""

    in_force: bool
    version: int
    message: str


class EntryControl(Protocol):
    """Operations of an entry that the administration interface exposes."""

    def status(self) -> StatusReport:
        """Return the state of the entry."""
        ...

    def is_ready(self) -> bool:
        """Return whether the platform's balancer should send callers here."""
        ...

    def start_drain(self) -> None:
        """Begin a graceful shutdown."""
        ...

    async def set_zone_state(self, zone: str, *, out: bool) -> ZoneUpdateResult:
        """Take a zone out of service or bring it back."""
        ...

    def render_metrics(self) -> bytes:
        """Return the metrics in Prometheus text format."""
        ...
