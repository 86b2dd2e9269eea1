"""Metrics of an entry's status in Prometheus text format."""

from __future__ import annotations

from collections import Counter as ValueCounter
from collections.abc import Sequence
from typing import Protocol


class TargetStatusLike(Protocol):
    """The fields of a target's status that metrics use."""

    @property
    def service(self) -> str:
        """Service of the target."""
        ...

    @property
    def state(self) -> str:
        """State of the target."""
        ...


class EntryStatusLike(Protocol):
    """The fields of an entry's status that metrics use."""

    @property
    def ready(self) -> bool:
        """Whether the platform's balancer should send callers to this entry."""
        ...

    @property
    def confirmed(self) -> bool:
        """Whether new requests may be sent to targets."""
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
        """Time since this version came into force."""
        ...

    @property
    def requests_in_flight(self) -> int:
        """Requests whose response is not complete."""
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
    def targets(self) -> Sequence[TargetStatusLike]:
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


def render_status_metrics(status: EntryStatusLike) -> bytes:
    """Return the metrics of ``status``.

    aioprometheus is imported on the first call, since it takes 8 MB of resident memory, which an
    entry without a scraper does not need.
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
    for (service, state), count in ValueCounter(
        (t.service, t.state) for t in status.targets
    ).items():
        targets.set({"service": service, "state": state}, count)
    content, _headers = render_registry(registry, ["text/plain"])
    return bytes(content)
