"""Quotas of one entry, parts of the limits that a target sets for all entries together."""

from __future__ import annotations

from kingcupusher._limits.send_window import RETENTION_MS, SendQuota
from kingcupusher._limits.shares import EntryRank

COLD_WINDOW_MS = 1_000.0
RATE_WINDOW_MS = 4_000.0
"""Long enough that a target with a low rate can be shared by several entries."""
DELAY_MARGIN_MS = 100.0
"""Requests may arrive this much closer together than they were sent."""


def cold_quota(requests: int, rank: EntryRank) -> SendQuota:
    """Return the quota of a target in cold start that takes ``requests`` in each second."""
    return SendQuota(rank.share(requests), COLD_WINDOW_MS + DELAY_MARGIN_MS)


def rate_quota(requests_per_s: float, rank: EntryRank) -> SendQuota:
    """Return the quota of a target that takes ``requests_per_s``.

    The window is longer for a rate of less than one request in ``RATE_WINDOW_MS``.
    """
    per_ms = requests_per_s / 1000.0
    window_ms = RATE_WINDOW_MS if per_ms <= 0.0 else max(RATE_WINDOW_MS, 1.0 / per_ms)
    window_ms = min(window_ms, RETENTION_MS - DELAY_MARGIN_MS)
    # The small addition keeps 0.1 / s * 10 s from being rounded down to 0 requests.
    total = int(per_ms * window_ms + 1e-6)
    return SendQuota(rank.share(total), window_ms + DELAY_MARGIN_MS)
