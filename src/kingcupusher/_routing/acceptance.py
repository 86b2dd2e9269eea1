"""Acceptance of targets by cost, the expected response time relative to the usual one."""

from __future__ import annotations

MAX_GOOD_COST = 1.35
"""Accepts targets at their usual speed with free slots; others slow the request down."""
MAX_FAIR_COST = 2.2
"""Also accepts a target at its usual speed whose last slot is taken, instead of a refusal."""
MAX_WAIT_SHARE = 0.35
"""Share of the time to its deadline for which a request waits for a target."""
INITIAL_OBJECTIVE_SHARE = 0.4
"""Initial estimate of the typical response time as a share of the latency objective."""
EWMA_WEIGHT = 0.05


class AcceptanceCriteria:
    """Decides which targets a request accepts and how long it waits; uses the process clock."""

    __slots__ = ("wait_until_ms", "objective_end_ms")

    def __init__(
        self, *, received_ms: float, now_ms: float, objective_ms: float, deadline_ms: float
    ) -> None:
        self.objective_end_ms = received_ms + objective_ms
        self.wait_until_ms = now_ms + max(0.0, deadline_ms - now_ms) * MAX_WAIT_SHARE

    def accepts(self, cost: float, *, is_last: bool = False) -> bool:
        """Return whether a target of this ``cost`` is good enough.

        ``is_last`` marks the last check: the request is refused unless it accepts a target.
        """
        return cost <= (MAX_FAIR_COST if is_last else MAX_GOOD_COST)

    def can_meet_objective(self, *, typical_ms: float, now_ms: float) -> bool:
        """Return whether the latency objective can still be met at the usual speed."""
        return now_ms + typical_ms <= self.objective_end_ms


class ResponseTimeEstimate:
    """Moving average of the response time of a route's requests, normalized by cost."""

    __slots__ = ("typical_ms",)

    def __init__(self, *, objective_ms: float) -> None:
        self.typical_ms = objective_ms * INITIAL_OBJECTIVE_SHARE

    def on_response(self, *, elapsed_ms: float, cost: float) -> None:
        """Record the time of a response from a target of this ``cost``."""
        self.typical_ms += (elapsed_ms / max(cost, 1.0) - self.typical_ms) * EWMA_WEIGHT
