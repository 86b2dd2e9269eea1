"""Quotas of all customers on the lead: token buckets, filled with the shares of linked entries."""

from __future__ import annotations

from collections.abc import Mapping
from math import exp, floor, inf

from kingcupusher._limits.quota_terms import EXTRA_BURST, QuotaLimit, TokenAnswer, TokenWish

ENTRIES_ASSUMED_BY_LEAD = 32
"""Number of entries while neither the list of entries nor a caller states it."""
MAX_UNKNOWN_SHARE = 0.6
"""Largest share while the number of entries is unknown: up to three leads may be linked then."""
SCARCE_LEVEL = 0.5
"""Below this part of its capacity, entries ask for tokens of a customer before they use them."""
SCARCE_CACHE_MS = 25.0
"""The scarce customers are kept for this time, since finding them settles every bucket."""
MIN_REFUSE_MS = 150.0
MAX_REFUSE_MS = 1_000.0
MAX_SPREAD_MS = 3_000.0
BACKLOG_DECAY_MS = 1_000.0
NEW_POOL_MS = 5_000.0
"""A younger pool knows nothing of the tokens that an earlier lead granted in the same window."""
MAX_DEBT = 2.0
"""Largest debt of a customer in units of its full capacity; reports beyond it are not counted."""


def pool_share(linked: int, live: int | None) -> float:
    """Return the share of the fleet that ``linked`` entries contribute.

    ``live`` is the number of live entries, None if it is unknown.
    """
    if live is None:
        return min(MAX_UNKNOWN_SHARE, linked / ENTRIES_ASSUMED_BY_LEAD)
    return min(1.0, linked / max(1, live))


class _Bucket:
    """Token bucket of one customer; ``backlog`` is the decayed number of refused tokens."""

    __slots__ = ("backlog", "level", "limit", "settled_ms")

    def __init__(self, limit: QuotaLimit, *, level: float, now_ms: float) -> None:
        self.limit = limit
        self.level = level
        self.backlog = 0.0
        self.settled_ms = now_ms

    def settle(self, share: float, *, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self.settled_ms)
        earned = elapsed_ms * self.limit.usable_per_ms(share)
        self.level = min(self.limit.capacity(share), self.level + earned)
        self.backlog *= exp(-elapsed_ms / BACKLOG_DECAY_MS)
        self.settled_ms = now_ms

    def charge(self, used: int, share: float) -> None:
        # Entries report to a new lead before all are linked, so the debt does not depend on them.
        debt = MAX_DEBT * self.limit.capacity(1.0)
        self.level = max(-debt, min(self.limit.capacity(share), self.level - used))


class QuotaPool:
    """Grants the tokens of the entries that are linked to this lead; it starts empty.

    A customer that is added later begins with a small burst, so that it is not refused at first.
    """

    __slots__ = ("_buckets", "_scarce", "_scarce_until_ms", "_share", "_since_ms")

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._share = 0.0
        self._since_ms: float | None = None
        self._scarce: list[str] = []
        self._scarce_until_ms = -inf

    def set_limits(self, limits: Mapping[str, QuotaLimit], *, now_ms: float) -> None:
        """Apply the limits in force; tokens beyond a lower burst are lost at once."""
        if self._since_ms is None:
            self._since_ms = now_ms
        is_new = now_ms < self._since_ms + NEW_POOL_MS
        level = 0.0 if is_new else EXTRA_BURST * self._share
        self._buckets = {
            name: self._buckets.get(name) or _Bucket(limit, level=level, now_ms=now_ms)
            for name, limit in limits.items()
        }
        self._scarce_until_ms = -inf
        for name, bucket in self._buckets.items():
            bucket.settle(self._share, now_ms=now_ms)
            bucket.limit = limits[name]
            bucket.settle(self._share, now_ms=now_ms)

    def set_share(self, share: float, *, now_ms: float) -> None:
        """Apply another share of the fleet; tokens beyond a smaller one are lost at once."""
        if share == self._share:
            return
        for bucket in self._buckets.values():
            bucket.settle(self._share, now_ms=now_ms)
            bucket.settle(share, now_ms=now_ms)
        self._share = share

    def answer(self, wish: TokenWish, *, now_ms: float) -> TokenAnswer | None:
        """Charge what was used and grant what is left; None if the customer has no quota here."""
        bucket = self._buckets.get(wish.customer)
        if bucket is None:
            return None
        bucket.settle(self._share, now_ms=now_ms)
        bucket.charge(wish.used, self._share)
        granted = max(0, min(wish.wanted, floor(bucket.level)))
        bucket.level -= granted
        missing = max(0, wish.wanted - granted)
        if not missing:
            return TokenAnswer(granted)
        bucket.backlog += missing
        per_ms = bucket.limit.usable_per_ms(self._share)
        next_ms = (1.0 - bucket.level) / per_ms if per_ms else MAX_REFUSE_MS
        spread_ms = bucket.backlog / per_ms if per_ms else MAX_SPREAD_MS
        return TokenAnswer(
            granted,
            refuse_ms=int(min(MAX_REFUSE_MS, max(MIN_REFUSE_MS, next_ms))),
            spread_ms=int(min(MAX_SPREAD_MS, spread_ms)),
        )

    def scarce_customers(self, *, now_ms: float) -> list[str]:
        """Return the customers whose tokens must be asked for before they are used."""
        if now_ms >= self._scarce_until_ms:
            levels = self.levels(now_ms=now_ms)
            self._scarce = [
                name
                for name, bucket in self._buckets.items()
                if levels[name] < SCARCE_LEVEL * bucket.limit.capacity(self._share)
            ]
            self._scarce_until_ms = now_ms + SCARCE_CACHE_MS
        return self._scarce

    def levels(self, *, now_ms: float) -> dict[str, float]:
        """Return the tokens left for each customer, negative in debt."""
        for bucket in self._buckets.values():
            bucket.settle(self._share, now_ms=now_ms)
        return {name: bucket.level for name, bucket in self._buckets.items()}
