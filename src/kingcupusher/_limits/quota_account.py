"""Tokens and recent demand of one customer at one entry."""

from __future__ import annotations

from math import ceil, exp, inf

from kingcupusher._limits.quota_terms import QuotaLimit

REPORT_MS = 300.0
"""Requests served without a grant are reported together after this time, to save calls."""
AHEAD_MS = 200.0
"""A call also asks for the tokens that the recent demand needs in this time."""
DEMAND_DECAY_MS = 1_000.0
ADVANCE_FACTOR = 1.5
"""Requests served without a grant may exceed the recent demand by this factor."""


class QuotaAccount:
    """Tokens and recent demand of one customer at this entry.

    ``held`` tokens were granted by the lead and lapse at ``held_until_ms``. ``used`` is what the
    next call reports to the lead, less what it gives back; ``advanced`` counts the requests served
    without a grant since the last call. ``own`` is the part of the entry's own share left at
    ``own_settled_ms``, ``demand`` the decayed number of requests at ``demand_updated_ms``. Requests
    without a token are refused until ``refuse_until_ms``; refused callers come back within
    ``spread_ms`` after it. Until ``unknown_until_ms``, the lead knows no quota of the customer.
    """

    __slots__ = (
        "advanced",
        "demand",
        "demand_updated_ms",
        "held",
        "held_until_ms",
        "limit",
        "own",
        "own_settled_ms",
        "refuse_until_ms",
        "spread_ms",
        "unknown_until_ms",
        "used",
    )

    def __init__(self, limit: QuotaLimit) -> None:
        self.limit = limit
        self.held = 0
        self.held_until_ms = -inf
        self.advanced = 0
        self.used = 0
        self.demand = 0.0
        self.demand_updated_ms = -inf
        self.refuse_until_ms = -inf
        self.spread_ms = 0.0
        self.unknown_until_ms = -inf
        self.own = 0.0
        self.own_settled_ms = -inf

    def count_request(self, now_ms: float) -> None:
        """Count a request of the customer."""
        self.demand = self.demand_per_ms(now_ms) * DEMAND_DECAY_MS + 1.0
        self.demand_updated_ms = now_ms

    def demand_per_ms(self, now_ms: float) -> float:
        """Return the recent requests per millisecond."""
        return (
            self.demand
            * exp(-(now_ms - self.demand_updated_ms) / DEMAND_DECAY_MS)
            / DEMAND_DECAY_MS
        )

    def max_advance(self, now_ms: float) -> int:
        """Return how many requests may be served without a grant."""
        return 1 + ceil(self.demand_per_ms(now_ms) * REPORT_MS * ADVANCE_FACTOR - 0.5)

    def ahead(self, now_ms: float) -> int:
        """Return how many tokens the recent demand needs until the next call."""
        return int(self.demand_per_ms(now_ms) * AHEAD_MS)

    def release_lapsed(self, now_ms: float) -> None:
        """Give back the granted tokens that were not used in time."""
        if self.held and now_ms >= self.held_until_ms:
            self.used -= self.held
            self.held = 0
