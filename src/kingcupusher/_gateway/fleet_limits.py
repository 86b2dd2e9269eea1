"""Limits that the platform sets for all entries together."""

from __future__ import annotations

from msgspec import Struct


class FleetLimits(Struct, frozen=True, kw_only=True):
    """Limits summed over all entries, and the grace period of a process.

    ``cold_overshoot`` multiplies the request rate of cold targets; ``grace_period_ms`` is the time
    from SIGTERM to SIGKILL. ``probes_per_s`` limits the load probes of one target.
    """

    retry_ratio: float = 0.2
    retry_window_ms: float = 10_000.0
    retry_slack: float = 0.0
    cold_overshoot: float = 1.0
    probes_per_s: float = 10.0
    grace_period_ms: float = 6_000.0
