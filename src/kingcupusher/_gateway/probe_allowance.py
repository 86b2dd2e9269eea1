"""Load probes that an entry may send, and how far recent readings replace them."""

from __future__ import annotations

from kingcupusher._core import now_ms
from kingcupusher._gateway.target_clients import TargetClient
from kingcupusher._limits.probe_shares import probe_shares
from kingcupusher._limits.token_bucket import TokenBucket
from kingcupusher._routing.reading_reuse import MAX_REUSE_AGE_MS, max_reuse_age_ms

RATE_SHARE = 0.85
"""Used share of the probe rate; the margin covers the full token buckets of new entries."""
BURST_S = 12.0
"""Unused probes are saved for load peaks, since the limit applies to the daily average."""


class ProbeAllowance:
    """Counts the probes of one entry, in total for each service and for each target."""

    __slots__ = ("_near_count", "_probes_per_s", "_service_tokens")

    def __init__(self, *, probes_per_s: float, near_count: int) -> None:
        self._probes_per_s = probes_per_s * RATE_SHARE
        self._near_count = near_count
        self._service_tokens: dict[str, TokenBucket] = {}

    def share(self, service: str, *, entries: int, targets: int) -> float:
        """Set the rate of probes to ``service``; return the rate of probes to one target."""
        shares = probe_shares(
            self._probes_per_s, entries=entries, targets=targets, near_count=self._near_count
        )
        per_s, burst = shares.per_service_per_s, max(1.0, shares.per_service_per_s * BURST_S)
        tokens = self._service_tokens.get(service)
        if tokens is None:
            tokens = TokenBucket(per_s=per_s, burst=burst, now_ms=now_ms())
            self._service_tokens[service] = tokens
        tokens.set_rate(per_s=per_s, burst=burst)
        return shares.per_target_per_s

    def has_reading_or_probe(self, client: TargetClient) -> bool:
        """Return whether the load of the target is known or may be probed."""
        current_ms = now_ms()
        if client.probe_tokens.has_token(now_ms=current_ms):
            return True
        return client.recent_reading(max_age_ms=MAX_REUSE_AGE_MS, now_ms=current_ms) is not None

    def take(self, client: TargetClient) -> bool:
        """Count a probe of the target; return False if no probe may be sent."""
        current_ms = now_ms()
        tokens = self._service_tokens[client.target.record.service], client.probe_tokens
        if not all(bucket.has_token(now_ms=current_ms) for bucket in tokens):
            return False
        for bucket in tokens:
            bucket.try_take(now_ms=current_ms)
        return True

    def max_reuse_age_ms(self, client: TargetClient) -> float:
        """Return how old a reading of the target may be, which depends on the scarcer tokens."""
        tokens = self._service_tokens[client.target.record.service], client.probe_tokens
        return max_reuse_age_ms(min(t.saved_share(now_ms=now_ms()) for t in tokens))
