"""Terms of customer quotas that the lead and the other entries share."""

from __future__ import annotations

from msgspec import Struct

USED_SHARE = 0.93
"""Used part of rate and burst; the margin covers shares that are counted twice during a cut."""
EXTRA_BURST = 10.0
"""Added to each burst, since the requests of a customer within its rate are not evenly spaced. It
is half of the 20 requests by which any window may exceed a quota."""


class QuotaLimit(Struct, frozen=True):
    """What a customer may send over all entries together."""

    requests_per_s: float
    burst: float

    def usable_per_ms(self, share: float) -> float:
        """Return the tokens earned in a millisecond by a ``share`` of the fleet."""
        return self.requests_per_s * USED_SHARE * share / 1000.0

    def capacity(self, share: float) -> float:
        """Return how many tokens a ``share`` of the fleet may save."""
        return (self.burst * USED_SHARE + EXTRA_BURST) * share


class TokenWish(Struct, array_like=True, frozen=True):
    """Tokens that an entry wants for a customer.

    ``used`` is what it took without a grant since its last call, less what it gives back.
    """

    customer: str
    used: int
    wanted: int


class TokenAnswer(Struct, array_like=True, frozen=True):
    """Reply to a wish; if less was granted, the entry refuses for ``refuse_ms``.

    The callers that were refused lately need another ``spread_ms`` of the quota.
    """

    granted: int
    refuse_ms: int = 0
    spread_ms: int = 0
