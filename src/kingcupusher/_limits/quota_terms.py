"""Terms of customer quotas that the lead and the other entries share."""

from __future__ import annotations

from msgspec import Struct

WINDOW_S = 5.0
"""A quota limits the requests in any window of this length to five seconds of the rate and a burst,
a tenth more than that, and 20 requests."""
EARNED_SHARE = 0.97
"""Part of the sum of a window that is earned evenly over it, so that a customer with too many
requests gets all of its quota."""
SAVED_SHARE = 0.05
"""Part of the sum of a window that may be saved. Earned and saved tokens stay below the limit by a
margin for shares that are counted twice during a cut."""
EXTRA_BURST = 8.0
"""Added to the saved tokens, since the requests of a customer within its rate are not evenly
spaced. It is less than half of the 20 requests by which any window may exceed a quota."""


class QuotaLimit(Struct, frozen=True):
    """What a customer may send over all entries together."""

    requests_per_s: float
    burst: float

    @property
    def window_sum(self) -> float:
        """Requests that the quota allows in a window."""
        return self.requests_per_s * WINDOW_S + self.burst

    def usable_per_ms(self, share: float) -> float:
        """Return the tokens earned in a millisecond by a ``share`` of the fleet."""
        return self.window_sum * EARNED_SHARE * share / (WINDOW_S * 1000.0)

    def capacity(self, share: float) -> float:
        """Return how many tokens a ``share`` of the fleet may save."""
        return (self.window_sum * SAVED_SHARE + EXTRA_BURST) * share


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
