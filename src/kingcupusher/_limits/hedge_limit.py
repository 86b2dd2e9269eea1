"""Limit on hedged requests as a share of a service's requests, which holds over the fleet."""

from __future__ import annotations

from random import Random

FLEET_SLACK = 40.0
"""Hedges beyond the share that a small fleet may save up in total."""


class HedgeLimit:
    """Credit of ``share`` hedges for each request; a hedge costs 1.

    An entry saves up one hedge at least, so that one with few requests can use its share. The
    hedges of a window exceed its share of the requests by at most the credit saved before it. The
    first credit is random, so that entries that start together do not hedge together.
    """

    __slots__ = ("_credit", "_share")

    def __init__(self, *, share: float, rng: Random) -> None:
        self._share = share
        self._credit = rng.random()

    def on_request(self, *, entries: int) -> None:
        """Count a request of the service at one of ``entries`` entries."""
        self._credit = min(self._credit + self._share, max(1.0, FLEET_SLACK / entries))

    def try_spend(self) -> bool:
        """Count a hedge and return True if the limit has room for it."""
        # Sums of shares such as 0.05 fall short of 1 by rounding.
        if self._credit < 1.0 - 1e-9:
            return False
        self._credit -= 1.0
        return True

    def refund(self) -> None:
        """Return the credit of a hedge that was not sent."""
        self._credit += 1.0
