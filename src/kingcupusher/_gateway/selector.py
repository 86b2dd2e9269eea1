"""Choice of a target for one request by asking a few for their load."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from random import Random

from kingcupusher._core import now_ms
from kingcupusher._discovery import Catalog, ServicePolicy, Target
from kingcupusher._gateway.links import Links
from kingcupusher._gateway.rules import FleetRules
from kingcupusher._gateway.survey import Answer, Surveyor
from kingcupusher._limits.cold import share_of
from kingcupusher._routing.selection import ASK_SELECTIONS, cost

ASK_COUNT = 5
"""More than five questions gained nothing on quiet days (docs/decisions/asking.md)."""
NEAR_COUNT = 10
GOOD_COST = 1.3
"""An answer below this is good enough; above it, further targets are asked."""
MAX_ROUNDS = 3
SELECTION = "near_first"


class _Candidate:
    """A target with what this entry knows of it at the moment of the choice."""

    __slots__ = ("is_cold", "is_suspended", "target")

    def __init__(self, target: Target, *, is_suspended: bool, is_cold: bool) -> None:
        self.target = target
        self.is_suspended = is_suspended
        self.is_cold = is_cold

    @property
    def target_id(self) -> str:
        return self.target.target_id


class Selector:
    """Finds the target that is expected to answer first."""

    __slots__ = ("_catalog", "_entry", "_links", "_rng", "_rules", "_surveyor", "_zone")

    def __init__(
        self,
        catalog: Catalog,
        links: Links,
        surveyor: Surveyor,
        *,
        entry: str,
        zone: str,
        rules: FleetRules,
        rng: Random,
    ) -> None:
        self._catalog = catalog
        self._links = links
        self._surveyor = surveyor
        self._entry = entry
        self._zone = zone
        self._rules = rules
        self._rng = rng

    async def choose(
        self, service: ServicePolicy, *, exclude: Collection[str], deadline_ms: float
    ) -> Answer | None:
        """Return the best target that answered, with an open connection, or None."""
        order = self._order(service, exclude)
        answers: list[Answer] = []
        chosen: Answer | None = None
        try:
            for first in range(0, min(len(order), ASK_COUNT * MAX_ROUNDS), ASK_COUNT):
                answers += await self._surveyor.ask(
                    order[first : first + ASK_COUNT],
                    health_path=service.health_path,
                    deadline_ms=deadline_ms,
                )
                best = self._best(answers)
                if best is not None and self._cost(best) <= GOOD_COST:
                    break
            chosen = self._best(answers) or self._cold_choice(service, answers)
        finally:
            await self._surveyor.give_back([a for a in answers if a is not chosen])
        return chosen

    def _order(self, service: ServicePolicy, exclude: Collection[str]) -> Sequence[Target]:
        current_ms = now_ms()
        candidates = [
            _Candidate(
                target,
                is_suspended=self._links.get(target).is_suspended(now_ms=current_ms),
                is_cold=target.warm_ms > current_ms,
            )
            for target in self._catalog.usable(service.name)
            if target.target_id not in exclude
        ]
        ordered = ASK_SELECTIONS.get(SELECTION).order(
            candidates, entry=self._entry, near=NEAR_COUNT, rng=self._rng
        )
        return [candidate.target for candidate in ordered]

    def _best(self, answers: Sequence[Answer]) -> Answer | None:
        """Return the cheapest warm target; one that calls itself ill only if there is no other."""
        warm = [
            answer
            for answer in answers
            if not answer.reading.is_cold and self._catalog.may_send(answer.target)
        ]
        healthy = [answer for answer in warm if answer.reading.is_healthy]
        return min(healthy or warm, key=self._cost, default=None)

    def _cost(self, answer: Answer) -> float:
        is_own_zone = answer.target.record.zone == self._zone
        return cost(answer.reading, is_own_zone=is_own_zone)

    def _cold_choice(self, service: ServicePolicy, answers: Sequence[Answer]) -> Answer | None:
        """Return a cold target that bears one more request of this entry, if there is one."""
        total = int(service.cold_requests_per_s * self._rules.cold_overshoot)
        names = self._catalog.entry_names(now_ms=now_ms())
        cold = [a for a in answers if a.reading.is_cold and a.reading.is_healthy]
        for answer in sorted(cold, key=self._cost):
            if not self._catalog.may_send(answer.target):
                continue
            share = share_of(
                total, entry=self._entry, entries=names, target_id=answer.target.target_id
            )
            if answer.link.cold.try_send(limit=share, now_ms=now_ms()):
                return answer
        return None
