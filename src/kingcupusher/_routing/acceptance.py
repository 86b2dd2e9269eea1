"""Acceptance of targets by cost, the expected response time relative to the usual one."""

from __future__ import annotations

MAX_GOOD_COST = 1.35
"""Accepts targets at their usual speed with free slots; others slow the request down."""
MAX_FAIR_COST = 2.2
"""Also accepts a target at its usual speed whose last slot is taken, instead of a refusal."""
MAX_LARGE_RESPONSE_COST = 4.0
"""A request for a large response rather waits at a slow target of its zone than crosses zones."""
LARGE_RESPONSE_OBJECTIVE_SHARE = 0.5
"""Share of the latency objective that such a target may take at its usual speed."""
MAX_WAIT_SHARE = 0.35
"""Share of the time to its deadline for which a request waits for a target."""
INITIAL_OBJECTIVE_SHARE = 0.4
"""Initial estimate of the typical response time as a share of the latency objective."""
EWMA_WEIGHT = 0.05
RECENT_EWMA_WEIGHT = 0.3
"""An entry gets few requests for large responses, so their average must follow the first ones."""


class AcceptanceCriteria:
    """Decides which targets a request accepts and how long it waits.

    ``max_own_zone_cost`` is the highest cost at which it accepts a target of its own zone with a
    free slot.
    """

    __slots__ = ("max_own_zone_cost", "objective_end_ms", "wait_until_ms")

    def __init__(
        self,
        *,
        received_ms: float,
        now_ms: float,
        objective_ms: float,
        deadline_ms: float,
        max_own_zone_cost: float = MAX_GOOD_COST,
    ) -> None:
        self.max_own_zone_cost = max_own_zone_cost
        self.objective_end_ms = received_ms + objective_ms
        self.wait_until_ms = now_ms + max(0.0, deadline_ms - now_ms) * MAX_WAIT_SHARE

    def accepts(
        self, cost: float, *, is_free_in_own_zone: bool = False, is_last: bool = False
    ) -> bool:
        """Return whether a target of this ``cost`` is good enough.

        ``is_free_in_own_zone`` marks a target of the own zone with a free slot. ``is_last`` marks
        the last check: the request is refused unless it accepts a target.
        """
        if is_free_in_own_zone and cost <= self.max_own_zone_cost:
            return True
        return cost <= (MAX_FAIR_COST if is_last else MAX_GOOD_COST)

    def can_meet_objective(self, *, typical_ms: float, now_ms: float) -> bool:
        """Return whether the latency objective can still be met at the usual speed."""
        return now_ms + typical_ms <= self.objective_end_ms


def large_response_cost(*, objective_ms: float, recent_ms: float) -> float:
    """Return up to which cost a target of the own zone is good enough for a large response."""
    affordable = LARGE_RESPONSE_OBJECTIVE_SHARE * objective_ms / max(1.0, recent_ms)
    return max(MAX_GOOD_COST, min(MAX_LARGE_RESPONSE_COST, affordable))


class ResponseTimeEstimate:
    """Moving average of the response time of a route's requests, normalized by cost."""

    __slots__ = ("recent_ms", "typical_ms")

    def __init__(self, *, objective_ms: float) -> None:
        self.typical_ms = objective_ms * INITIAL_OBJECTIVE_SHARE
        self.recent_ms = self.typical_ms

    def on_response(self, *, elapsed_ms: float, cost: float) -> None:
        """Record the time of a response from a target of this ``cost``."""
        usual_ms = elapsed_ms / max(cost, 1.0)
        self.typical_ms += (usual_ms - self.typical_ms) * EWMA_WEIGHT
        self.recent_ms += (usual_ms - self.recent_ms) * RECENT_EWMA_WEIGHT
