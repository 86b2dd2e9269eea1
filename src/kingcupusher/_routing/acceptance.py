"""How good a place must be for a request to take it, instead of waiting for a better one."""

from __future__ import annotations

GOOD_COST = 1.35
"""A target at its usual speed that is not crowded; others make the request slower."""
FAIR_COST = 2.2
"""A target at its usual speed whose last slot is taken; better than being refused."""
HOLD_SHARE = 0.35
"""Share of the time that is left for which a request waits for a fair place."""
WORK_SHARE = 0.4
"""First estimate of the usual response time as a share of the objective."""
WORK_GAIN = 0.05
OVERDUE_FACTOR = 2.5
"""One response in a hundred takes longer than this many times the expected time."""


class Patience:
    """When one request takes which place. All times are on the clock of the process."""

    __slots__ = ("hold_end_ms", "objective_end_ms")

    def __init__(
        self, *, received_ms: float, now_ms: float, objective_ms: float, deadline_ms: float
    ) -> None:
        self.objective_end_ms = received_ms + objective_ms
        self.hold_end_ms = now_ms + max(0.0, deadline_ms - now_ms) * HOLD_SHARE

    def accepts(self, cost: float, *, is_last: bool = False) -> bool:
        """Return whether a place of expected slowness ``cost`` is good enough.

        With ``is_last`` the request is refused otherwise.
        """
        return cost <= (FAIR_COST if is_last else GOOD_COST)

    def is_in_time(self, *, work_ms: float, now_ms: float) -> bool:
        """Return whether the objective can still be met at a good place."""
        return now_ms + work_ms <= self.objective_end_ms


class WorkEstimate:
    """Usual response time of a route's requests, learnt from responses."""

    __slots__ = ("work_ms",)

    def __init__(self, *, objective_ms: float) -> None:
        self.work_ms = objective_ms * WORK_SHARE

    def overdue_ms(self, *, cost: float) -> float:
        """Return after how long the response from a place of ``cost`` is unusually late."""
        return self.work_ms * max(cost, 1.0) * OVERDUE_FACTOR

    def on_response(self, *, elapsed_ms: float, cost: float) -> None:
        """Note a response that came from a place of expected slowness ``cost``."""
        self.work_ms += (elapsed_ms / max(cost, 1.0) - self.work_ms) * WORK_GAIN
