"""Metrics in Prometheus text format."""

from __future__ import annotations

from collections import Counter as Tally
from collections.abc import Sequence
from typing import Protocol


class TargetLike(Protocol):
    """The fields of a target's status that metrics use."""

    @property
    def service(self) -> str:
        """Service of the target."""
        ...

    @property
    def state(self) -> str:
        """State of the target."""
        ...


class StatusLike(Protocol):
    """The fields of an entry's status that metrics use."""

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        ...

    @property
    def confirmed(self) -> bool:
        """Whether new work may be sent at all."""
        ...

    @property
    def platform_reachable(self) -> bool:
        """Whether the key-value service responds."""
        ...

    @property
    def config_version(self) -> int:
        """Version of the configuration in force."""
        ...

    @property
    def config_age_ms(self) -> float:
        """Time since that version came into force."""
        ...

    @property
    def requests_in_flight(self) -> int:
        """Requests at targets."""
        ...

    @property
    def peer_bytes_sent(self) -> int:
        """Bytes sent to other entries."""
        ...

    @property
    def peer_bytes_received(self) -> int:
        """Bytes received from other entries."""
        ...

    @property
    def targets(self) -> Sequence[TargetLike]:
        """Targets with their states."""
        ...


GAUGES = (
    ("ready", "Whether the balancer should send callers here."),
    ("confirmed", "Whether new work may be sent."),
    ("platform_reachable", "Whether the key-value service responds."),
    ("config_version", "Version of the configuration in force."),
    ("config_age_ms", "Time since the configuration in force was taken over."),
    ("requests_in_flight", "Requests that targets have not answered."),
)
COUNTERS = (
    ("peer_bytes_sent", "Bytes sent to other entries."),
    ("peer_bytes_received", "Bytes received from other entries."),
)


def render_status_metrics(status: StatusLike) -> bytes:
    """Return the metrics of ``status``.

    aioprometheus is imported on the first call: it costs 8 MB resident, which an entry that
    nobody scrapes need not pay.
    """
    from aioprometheus import Counter, Gauge
    from aioprometheus.collectors import Registry
    from aioprometheus.renderer import render as render_registry

    registry = Registry()
    for name, text in GAUGES:
        Gauge(f"kingcupusher_{name}", text, registry=registry).set({}, float(getattr(status, name)))
    for name, text in COUNTERS:
        Counter(f"kingcupusher_{name}_total", text, registry=registry).set(
            {}, float(getattr(status, name))
        )
    targets = Gauge("kingcupusher_targets", "Targets by service and state.", registry=registry)
    for (service, state), count in Tally((t.service, t.state) for t in status.targets).items():
        targets.set({"service": service, "state": state}, count)
    content, _headers = render_registry(registry, ["text/plain"])
    return bytes(content)
