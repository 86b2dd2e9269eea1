"""Bounds that the whole fleet keeps together, as the platform sets them."""

from __future__ import annotations

from msgspec import Struct


class FleetLimits(Struct, frozen=True, kw_only=True):
    """Bounds summed over all entries, and times that the platform allows.

    ``cold_overshoot`` multiplies the request rate that a cold target bears; ``grace_period_ms`` is
    the time from SIGTERM to SIGKILL. ``probes_per_s`` bounds the questions that one target
    gets.
    """

    retry_ratio: float = 0.2
    retry_window_ms: float = 10_000.0
    retry_slack: float = 0.0
    cold_overshoot: float = 1.0
    probes_per_s: float = 10.0
    grace_period_ms: float = 6_000.0
