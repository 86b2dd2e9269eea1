"""Selection of a target by probing the load of a few candidates."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from math import inf
from random import Random

from kingcupusher._core import now_ms
from kingcupusher._discovery import Catalog, ServiceConfig, Target
from kingcupusher._gateway.fleet_limits import FleetLimits
from kingcupusher._gateway.load_probe import LoadProber, ProbedTarget
from kingcupusher._gateway.probe_allowance import BURST_S, ProbeAllowance
from kingcupusher._gateway.probe_results import ProbeResults
from kingcupusher._gateway.request_quotas import RequestQuotas
from kingcupusher._gateway.rollout_traffic import RolloutTraffic
from kingcupusher._gateway.target_clients import TargetClient, TargetClients
from kingcupusher._limits import connection_share
from kingcupusher._routing.acceptance import MAX_FAIR_COST, MAX_GOOD_COST, AcceptanceCriteria
from kingcupusher._routing.selection import (
    OTHER_ZONE_PENALTY,
    PROBE_ORDERS,
    USUAL_PREFERENCE,
    ZonePreference,
    target_cost,
)
from kingcupusher._routing.version_choice import OLD_VERSION_DRAW

PROBE_COUNT = 5
"""More than five probes had no benefit at normal load (docs/decisions/asking.md)."""
NEAR_COUNT = 6
"""Targets of the own zone that an entry prefers, and as many of the other zones."""
MAX_PROBE_ROUNDS = 3
MAX_QUEUED = 3
"""A target with this many queued requests or more is not used: it may soon refuse some."""
CONNECTION_SHARE = 0.6
"""Used share of a target's connections; a target with a long queue accepts fewer."""


class _Candidate:
    """A target with the properties that determine its position in the probe order."""

    __slots__ = ("is_cold", "is_own_zone", "is_suspended", "target")

    def __init__(
        self, target: Target, *, is_own_zone: bool, is_suspended: bool, is_cold: bool
    ) -> None:
        self.target = target
        self.is_own_zone = is_own_zone
        self.is_suspended = is_suspended
        self.is_cold = is_cold

    @property
    def target_id(self) -> str:
        return self.target.target_id


class TargetSelector:
    """Finds the targets with the lowest expected response time."""

    __slots__ = (
        "_allowance",
        "_catalog",
        "_clients",
        "_entry",
        "_prober",
        "_rng",
        "_rollout_traffic",
        "_zone",
        "quotas",
    )

    def __init__(
        self,
        catalog: Catalog,
        clients: TargetClients,
        prober: LoadProber,
        *,
        entry: str,
        zone: str,
        fleet_limits: FleetLimits,
        rollout_traffic: RolloutTraffic,
        rng: Random,
    ) -> None:
        self._catalog = catalog
        self._clients = clients
        self._prober = prober
        self._entry = entry
        self._zone = zone
        self._rng = rng
        self._rollout_traffic = rollout_traffic
        self._allowance = ProbeAllowance(
            probes_per_s=fleet_limits.probes_per_s, near_count=2 * NEAR_COUNT
        )
        self.quotas = RequestQuotas(
            catalog, clients, entry=entry, cold_overshoot=fleet_limits.cold_overshoot
        )

    async def probe_targets(
        self,
        service: ServiceConfig,
        *,
        exclude: Collection[str],
        deadline_ms: float,
        draw: float = OLD_VERSION_DRAW,
        count: int = PROBE_COUNT,
        preference: ZonePreference = USUAL_PREFERENCE,
    ) -> ProbeResults:
        """Probe ``count`` targets, and further ones if none of them is good.

        While probes are scarce, recent readings are used first, and probes only if none is good.
        During a rollout, ``draw`` decides on the version of the targets.
        """
        started_ms = now_ms()
        order = self.probe_order(service, exclude, draw=draw, preference=preference)
        results: list[ProbedTarget] = []
        probed_count = 0
        try:
            for first in range(0, min(len(order), count * MAX_PROBE_ROUNDS), count):
                batch = order[first : first + count]
                if first and results:
                    batch = [t for t in batch if not self._is_suspended(t)]
                reused = await self._reuse_readings(batch, results)
                if self._has_good_target(service, results):
                    break
                batch = [
                    t
                    for t in batch
                    if t not in reused and self._allowance.take(self._clients.get(t))
                ]
                probed_count += len(batch)
                results += await self._prober.probe(
                    batch, health_path=service.health_path, deadline_ms=deadline_ms
                )
                if self._has_good_target(service, results):
                    break
        except BaseException:
            await self.release(results)
            raise
        usable = sorted(
            self._filter_usable(service, results),
            key=lambda probed: self._cost_with(probed, preference),
        )
        if not usable:
            usable = self._select_cold_target(service, results)
        elif self.cost(usable[0]) > MAX_GOOD_COST:
            usable = self._select_cold_target(service, results, max_cost=MAX_FAIR_COST) + usable
        await self.release([probed for probed in results if probed not in usable])
        return ProbeResults(
            usable,
            probed_count=probed_count,
            response_count=len(results),
            elapsed_ms=now_ms() - started_ms,
        )

    async def release(self, results: Collection[ProbedTarget]) -> None:
        """Release the connections of targets that are not used, and undo their claims."""
        for probed in results:
            self.quotas.refund(probed)
        await self._prober.release(results)

    async def _reuse_readings(
        self, targets: Sequence[Target], results: list[ProbedTarget]
    ) -> list[Target]:
        """Add those of ``targets`` to ``results`` whose last readings are recent enough."""
        reused = []
        for target in targets:
            max_age_ms = self._allowance.max_reuse_age_ms(self._clients.get(target))
            probed = await self._prober.reuse_reading(target, max_age_ms=max_age_ms)
            if probed is not None:
                results.append(probed)
                reused.append(target)
        return reused

    def _has_good_target(self, service: ServiceConfig, results: Sequence[ProbedTarget]) -> bool:
        costs = map(self.cost, self._filter_usable(service, results))
        return min(costs, default=inf) <= MAX_GOOD_COST

    def _is_suspended(self, target: Target) -> bool:
        return self._clients.get(target).is_suspended(now_ms=now_ms())

    def probe_order(
        self,
        service: ServiceConfig,
        exclude: Collection[str],
        *,
        draw: float = OLD_VERSION_DRAW,
        preference: ZonePreference = USUAL_PREFERENCE,
    ) -> Sequence[Target]:
        """Return the targets that may be probed, in the order in which they are; sends nothing."""
        current_ms = now_ms()
        entries = self._catalog.live_entries.count(now_ms=current_ms)
        targets = self._catalog.usable_targets(service.name)
        per_target_per_s = self._allowance.share(
            service.name, entries=entries, targets=len(targets)
        )
        connections = self._connections_per_target(service, entries)
        candidates = []
        for target in self._rollout_traffic.allowed(service.name, targets, draw):
            if target.target_id in exclude:
                continue
            client = self._clients.get(target)
            client.set_limits(
                probes_per_s=per_target_per_s,
                probe_burst=max(1.0, per_target_per_s * BURST_S),
                connections=connections,
            )
            if self.quotas.is_exhausted(client):
                continue
            if self._allowance.has_reading_or_probe(client):
                candidates.append(self._create_candidate(client, current_ms))
        ordered = PROBE_ORDERS.get(preference.probe_order).order(
            candidates, entry=self._entry, top_k=NEAR_COUNT, rng=self._rng
        )
        return [candidate.target for candidate in ordered]

    def _create_candidate(self, client: TargetClient, now_ms: float) -> _Candidate:
        return _Candidate(
            client.target,
            is_own_zone=client.target.record.zone == self._zone,
            is_suspended=client.is_suspended(now_ms=now_ms),
            is_cold=client.target.warm_at_ms > now_ms,
        )

    def _connections_per_target(self, service: ServiceConfig, entries: int) -> int:
        """Return this entry's share of the connections that one target accepts."""
        total = int(service.max_connections * CONNECTION_SHARE)
        return max(1, connection_share(total, max_entries=entries))

    def _filter_usable(
        self, service: ServiceConfig, results: Sequence[ProbedTarget]
    ) -> list[ProbedTarget]:
        """Return the warm targets with room; unhealthy ones only if there are no others."""
        warm = [
            probed
            for probed in results
            if not probed.reading.is_cold
            and probed.reading.waiting < MAX_QUEUED
            and self._catalog.may_send(probed.target)
            and self.quotas.has_room(probed, service)
        ]
        return [probed for probed in warm if probed.reading.is_healthy] or warm

    def cost(self, probed: ProbedTarget) -> float:
        """Return the cost of sending a request to the target now."""
        return target_cost(probed.reading, is_own_zone=self._is_own_zone(probed))

    def _cost_with(self, probed: ProbedTarget, preference: ZonePreference) -> float:
        """Return the cost by which targets are ordered for a request with ``preference``."""
        if self._is_own_zone(probed):
            return self.cost(probed)
        return self.cost(probed) + preference.other_zone_penalty - OTHER_ZONE_PENALTY

    def is_acceptable(
        self, probed: ProbedTarget, criteria: AcceptanceCriteria, *, is_last: bool = False
    ) -> bool:
        """Return whether the request accepts the target; a cold one is selected for it only."""
        is_free_in_own_zone = self._is_own_zone(probed) and not probed.reading.is_saturated
        return probed.reading.is_cold or criteria.accepts(
            self.cost(probed), is_free_in_own_zone=is_free_in_own_zone, is_last=is_last
        )

    def _is_own_zone(self, probed: ProbedTarget) -> bool:
        return probed.target.record.zone == self._zone

    def claim_first(
        self,
        usable: Sequence[ProbedTarget],
        service: ServiceConfig,
        *,
        criteria: AcceptanceCriteria | None,
        is_last: bool = False,
    ) -> ProbedTarget | None:
        """Claim the best target that is acceptable and still has room; None if there is none."""
        for probed in usable:
            if criteria and not self.is_acceptable(probed, criteria, is_last=is_last):
                # A later one may be acceptable, since the limit is higher in the own zone.
                continue
            if self.quotas.claim(probed, service):
                return probed
        return None

    def _select_cold_target(
        self, service: ServiceConfig, results: Sequence[ProbedTarget], *, max_cost: float = inf
    ) -> list[ProbedTarget]:
        """Return the best cold target that may get one more request of this entry."""
        cold = [
            probed
            for probed in results
            if probed.reading.is_cold
            and probed.reading.is_healthy
            and self.cost(probed) <= max_cost
            and self._catalog.may_send(probed.target)
            and self.quotas.has_room(probed, service)
        ]
        return sorted(cold, key=self.cost)[:1]
