"""State that the hedges of an entry share."""

from __future__ import annotations

from random import Random

from kingcupusher._limits.hedge_limit import HedgeLimit
from kingcupusher._routing.hedging import OverdueShare, RelativeTimes


class HedgeState:
    """Limits and recent response times that the hedges of an entry share."""

    __slots__ = ("_limits", "_overdue_shares", "_relative_times", "_rng", "_share")

    def __init__(self, *, percent: float, rng: Random) -> None:
        self._share = percent / 100.0
        self._rng = rng
        self._limits: dict[str, HedgeLimit] = {}
        self._overdue_shares: dict[str, OverdueShare] = {}
        self._relative_times: dict[str, RelativeTimes] = {}

    def limit(self, service: str) -> HedgeLimit:
        """Return the limit on hedges of ``service``."""
        limit = self._limits.get(service)
        if limit is None:
            limit = self._limits[service] = HedgeLimit(share=self._share, rng=self._rng)
        return limit

    def overdue_share(self, service: str) -> OverdueShare:
        """Return the share of overdue responses of ``service``."""
        return self._overdue_shares.setdefault(service, OverdueShare())

    def relative_times(self, route: str) -> RelativeTimes:
        """Return the recent response times of ``route``."""
        return self._relative_times.setdefault(route, RelativeTimes())
