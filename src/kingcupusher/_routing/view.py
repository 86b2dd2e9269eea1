"""Targets as the router is told of them and as it sees them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Target:
    """A target that a service may use."""

    target_id: str
    zone: str
    slots: int


@dataclass(slots=True, eq=False)
class TargetView:
    """What one entry knows of one target."""

    target_id: str
    zone: str
    slots: int
    in_flight: int = 0
    """Requests of this entry that the target has not answered."""
    others_load: int = 0
    """Requests of other entries at the target, queued or running, by its last report."""
    report_deadline_ms: float = float("-inf")
    """The last report counts until this instant."""
    latency_ms: float = 0.0
    """Moving average of response times; 0 before the first response."""
    next_trial_ms: float = float("-inf")
    """A target that is much slower than the others gets one request when this instant comes."""
    is_slow: bool = False
