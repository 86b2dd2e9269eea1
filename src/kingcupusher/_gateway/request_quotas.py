"""Limits on the requests to one target: its cold start and the request rate that it states."""

from __future__ import annotations

from collections.abc import Collection
from math import inf

from kingcupusher._core import now_ms
from kingcupusher._discovery import Catalog, ServiceConfig
from kingcupusher._gateway.load_probe import ProbedTarget
from kingcupusher._gateway.target_clients import TargetClient, TargetClients
from kingcupusher._limits.send_window import SendQuota
from kingcupusher._limits.shares import NO_SHARE, EntryRank
from kingcupusher._limits.target_quotas import cold_quota, rate_quota

RATE_RECHECK_MS = 1_000.0
"""A target without room is probed again after this time, as it may state its rate no longer."""


class RequestQuotas:
    """Counts the requests of this entry to each target against its share of the target's limits."""

    __slots__ = ("_catalog", "_clients", "_cold_overshoot", "_entry")

    def __init__(
        self, catalog: Catalog, clients: TargetClients, *, entry: str, cold_overshoot: float
    ) -> None:
        self._catalog = catalog
        self._clients = clients
        self._entry = entry
        self._cold_overshoot = cold_overshoot

    def has_room(self, probed: ProbedTarget, service: ServiceConfig) -> bool:
        """Return whether one more request stays within the limits in the load reading."""
        if self._paused_until_ms(probed.client) > now_ms():
            return False
        quotas = self._quotas(probed, service)
        return probed.client.sends.has_room(quotas, now_ms=now_ms())

    def claim(self, probed: ProbedTarget, service: ServiceConfig) -> bool:
        """Count a request to the target; return False if there is no room for it."""
        if not self.has_room(probed, service):
            return False
        probed.claimed_ms = now_ms()
        probed.client.sends.add(now_ms=probed.claimed_ms)
        return True

    def refund(self, probed: ProbedTarget) -> None:
        """Undo :meth:`claim` because the request was not sent."""
        if probed.claimed_ms is not None:
            probed.claimed_ms = None
            probed.client.sends.remove_newest()

    def is_exhausted(self, client: TargetClient) -> bool:
        """Return whether the target is paused, or a recent reading states a rate without room."""
        current_ms = now_ms()
        if self._paused_until_ms(client) > current_ms:
            return True
        if current_ms - client.rate_limit_read_ms > RATE_RECHECK_MS:
            return False
        quota = self._rate_quota(client)
        return quota is not None and not client.sends.has_room([quota], now_ms=current_ms)

    def next_opening_ms(
        self, service: ServiceConfig, *, exclude: Collection[str], position: int
    ) -> float:
        """Return when pauses and stated rates leave room for the waiting request at ``position``.

        The result is the current time if a target states neither, or if there are no targets.
        """
        current_ms = now_ms()
        targets = self._catalog.usable_targets(service.name)
        openings_ms: list[float] = []
        for target in targets:
            client = self._clients.get(target)
            paused_until_ms = self._paused_until_ms(client)
            if paused_until_ms > current_ms:
                openings_ms += [paused_until_ms] * (position + 1)
                continue
            quota = self._rate_quota(client)
            if quota is None:
                return current_ms
            if target.target_id not in exclude:
                openings_ms += client.sends.openings_ms(quota, now_ms=current_ms)
        if not targets:
            return current_ms
        return sorted(openings_ms)[position] if position < len(openings_ms) else inf

    def all_paused_until_ms(self, service: ServiceConfig) -> float | None:
        """Return the earliest end of a pause if all targets of ``service`` are paused."""
        targets = self._catalog.usable_targets(service.name)
        ends_ms = [self._paused_until_ms(self._clients.get(target)) for target in targets]
        is_paused = bool(ends_ms) and min(ends_ms) > now_ms()
        return min(ends_ms) if is_paused else None

    def _paused_until_ms(self, client: TargetClient) -> float:
        return self._catalog.announcements.paused_until_ms(client.target.record.instance)

    def _quotas(self, probed: ProbedTarget, service: ServiceConfig) -> list[SendQuota]:
        quotas = []
        if probed.reading.is_cold:
            requests = int(service.cold_requests_per_s * self._cold_overshoot)
            quotas.append(cold_quota(requests, self._rank(probed.client)))
        rate = self._rate_quota(probed.client)
        return quotas if rate is None else [*quotas, rate]

    def _rate_quota(self, client: TargetClient) -> SendQuota | None:
        if client.max_requests_per_s is None:
            return None
        return rate_quota(client.max_requests_per_s, self._rank(client))

    def _rank(self, client: TargetClient) -> EntryRank:
        live_entries = self._catalog.live_entries
        if not live_entries.is_known(now_ms=now_ms()):
            return NO_SHARE
        return client.rank(self._entry, entries=live_entries.names(now_ms=now_ms()))
