"""Finds places for requests by asking a few targets for their load."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from math import inf
from random import Random

from kingcupusher._core import now_ms
from kingcupusher._discovery import Catalog, ServiceConfig, Target
from kingcupusher._gateway.fleet_limits import FleetLimits
from kingcupusher._gateway.load_probe import ProbedTarget, Surveyor
from kingcupusher._gateway.target_clients import Link, Links
from kingcupusher._limits import connection_share
from kingcupusher._limits.cold_start import cold_start_share
from kingcupusher._routing.acceptance import (
    FALLBACK_MAX_COST,
    PREFERRED_MAX_COST,
    AcceptanceCriteria,
)
from kingcupusher._routing.selection import PROBE_ORDERS, target_cost

ASK_COUNT = 5
"""More than five questions gained nothing on quiet days (docs/decisions/asking.md)."""
NEAR_COUNT = 6
MAX_ROUNDS = 3
MAX_WAITING = 3
"""A target with more waiting requests is about to refuse some."""
SELECTION = "zone_first"
ASK_SHARE = 0.85
"""Part of the allowed questions that is used; entries that start anew begin with full buckets."""
ASK_BURST_S = 12.0
"""Questions that were not needed are saved for a crowd; the limit holds for the mean of a day."""
CONNECTION_SHARE = 0.6
"""Part of a target's connections that is used; a target with a long queue accepts fewer."""


class ProbeResults:
    """What targets answered: the usable ones, best first. The holder owns their connections."""

    __slots__ = ("response_count", "usable", "probed_count", "elapsed_ms")

    def __init__(
        self,
        usable: list[ProbedTarget],
        *,
        probed_count: int,
        response_count: int,
        elapsed_ms: float,
    ) -> None:
        self.usable = usable
        self.probed_count = probed_count
        self.response_count = response_count
        self.elapsed_ms = elapsed_ms


class _Candidate:
    """A target with what this entry knows of it at the moment of the choice."""

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


class Selector:
    """Finds the targets that are expected to answer first."""

    __slots__ = ("_catalog", "_entry", "_links", "_rng", "_fleet_limits", "_surveyor", "_zone")

    def __init__(
        self,
        catalog: Catalog,
        links: Links,
        surveyor: Surveyor,
        *,
        entry: str,
        zone: str,
        fleet_limits: FleetLimits,
        rng: Random,
    ) -> None:
        self._catalog = catalog
        self._links = links
        self._surveyor = surveyor
        self._entry = entry
        self._zone = zone
        self._fleet_limits = fleet_limits
        self._rng = rng

    async def survey(
        self,
        service: ServiceConfig,
        *,
        exclude: Collection[str],
        deadline_ms: float,
        count: int = ASK_COUNT,
    ) -> ProbeResults:
        """Ask ``count`` targets, and further ones if no answer is good."""
        started_ms = now_ms()
        order = self._order(service, exclude)
        answers: list[ProbedTarget] = []
        asked = 0
        try:
            for first in range(0, min(len(order), count * MAX_ROUNDS), count):
                batch = order[first : first + count]
                if first and answers:
                    batch = [t for t in batch if not self._is_suspended(t)]
                for target in batch:
                    self._links.get(target).asks.try_take(now_ms=started_ms)
                asked += len(batch)
                answers += await self._surveyor.ask(
                    batch, health_path=service.health_path, deadline_ms=deadline_ms
                )
                best = min(map(self.cost, self._usable(answers)), default=inf)
                if best <= PREFERRED_MAX_COST:
                    break
        except BaseException:
            await self.give_back(answers)
            raise
        usable = sorted(self._usable(answers), key=self.cost)
        if not usable:
            usable = self._cold_place(service, answers)
        elif self.cost(usable[0]) > PREFERRED_MAX_COST:
            usable = self._cold_place(service, answers, worst_cost=FALLBACK_MAX_COST) + usable
        await self.give_back([answer for answer in answers if answer not in usable])
        return ProbeResults(
            usable,
            probed_count=asked,
            response_count=len(answers),
            elapsed_ms=now_ms() - started_ms,
        )

    async def give_back(self, answers: Collection[ProbedTarget]) -> None:
        """Return the connections of answers that are not used."""
        await self._surveyor.give_back(answers)

    def _is_suspended(self, target: Target) -> bool:
        return self._links.get(target).is_suspended(now_ms=now_ms())

    def _order(self, service: ServiceConfig, exclude: Collection[str]) -> Sequence[Target]:
        current_ms = now_ms()
        entries = self._catalog.live_entries.count(now_ms=current_ms)
        asks_per_s = self._fleet_limits.probes_per_s * ASK_SHARE / entries
        connections = self._connections_per_target(service, entries)
        candidates = []
        for target in self._catalog.usable_targets(service.name):
            if target.target_id in exclude:
                continue
            link = self._links.get(target)
            link.set_bounds(
                asks_per_s=asks_per_s,
                asks_burst=max(1.0, asks_per_s * ASK_BURST_S),
                connections=connections,
            )
            if link.asks.has_token(now_ms=current_ms):
                candidates.append(self._candidate(link, current_ms))
        ordered = PROBE_ORDERS.get(SELECTION).order(
            candidates, entry=self._entry, near_count=NEAR_COUNT, rng=self._rng
        )
        return [candidate.target for candidate in ordered]

    def _candidate(self, link: Link, now_ms: float) -> _Candidate:
        return _Candidate(
            link.target,
            is_own_zone=link.target.record.zone == self._zone,
            is_suspended=link.is_suspended(now_ms=now_ms),
            is_cold=link.target.warm_at_ms > now_ms,
        )

    def _connections_per_target(self, service: ServiceConfig, entries: int) -> int:
        """Return this entry's part of the connections that one target accepts."""
        total = int(service.max_connections * CONNECTION_SHARE)
        return max(1, connection_share(total, max_entries=entries))

    def _usable(self, answers: Sequence[ProbedTarget]) -> list[ProbedTarget]:
        """Return the warm targets that are not full; ill ones only if there are no others."""
        warm = [
            answer
            for answer in answers
            if not answer.reading.is_cold
            and answer.reading.waiting < MAX_WAITING
            and self._catalog.may_send(answer.target)
        ]
        return [answer for answer in warm if answer.reading.is_healthy] or warm

    def cost(self, answer: ProbedTarget) -> float:
        """Return the expected slowness of a request that is sent to the target now."""
        is_own_zone = answer.target.record.zone == self._zone
        return target_cost(answer.reading, is_own_zone=is_own_zone)

    def suits(
        self, answer: ProbedTarget, criteria: AcceptanceCriteria, *, is_last: bool = False
    ) -> bool:
        """Return whether a request takes the place; a cold one was counted for it already."""
        return answer.reading.is_cold or criteria.accepts(self.cost(answer), is_last=is_last)

    def _cold_place(
        self, service: ServiceConfig, answers: Sequence[ProbedTarget], *, worst_cost: float = inf
    ) -> list[ProbedTarget]:
        """Return a cold target that bears one more request of this entry, if there is one."""
        total = int(service.cold_requests_per_s * self._fleet_limits.cold_overshoot)
        names = self._catalog.live_entries.names(now_ms=now_ms())
        cold = [
            answer
            for answer in answers
            if answer.reading.is_cold
            and answer.reading.is_healthy
            and self.cost(answer) <= worst_cost
        ]
        for answer in sorted(cold, key=self.cost):
            if not self._catalog.may_send(answer.target):
                continue
            share = cold_start_share(
                total, entry=self._entry, entries=names, target_id=answer.target.target_id
            )
            if answer.link.cold.try_send(limit=share, now_ms=now_ms()):
                return [answer]
        return []
