"""Search for the targets of one request, including its wait for an acceptable one."""

from __future__ import annotations

from math import inf

from kingcupusher._core import now_ms
from kingcupusher._discovery import Route, ServiceConfig
from kingcupusher._gateway.error_responses import (
    NO_TARGET,
    TARGETS_EXHAUSTED,
    ErrorResponse,
    no_target,
    targets_paused,
)
from kingcupusher._gateway.load_probe import ProbedTarget
from kingcupusher._gateway.request_log import RequestLog
from kingcupusher._gateway.state import GatewayState
from kingcupusher._gateway.wait_queue import WaitingRequest, WaitQueue
from kingcupusher._routing.acceptance import (
    MAX_GOOD_COST,
    AcceptanceCriteria,
    large_response_cost,
)
from kingcupusher._routing.selection import (
    LARGE_RESPONSE_PREFERENCE,
    USUAL_PREFERENCE,
    ZonePreference,
)
from kingcupusher._routing.version_choice import OLD_VERSION_DRAW


def zone_preference(route: Route) -> ZonePreference:
    """Return how strongly the requests of ``route`` prefer the targets of the own zone."""
    return LARGE_RESPONSE_PREFERENCE if route.has_large_responses else USUAL_PREFERENCE


class TargetSearch:
    """Finds targets that were not tried yet; ``refusal`` tells the caller why there was none."""

    __slots__ = (
        "_deadline_ms",
        "_draw",
        "_gateway",
        "_log",
        "_priority",
        "_received_ms",
        "_route",
        "_service",
        "_tried_targets",
        "refusal",
    )

    def __init__(
        self,
        gateway: GatewayState,
        log: RequestLog,
        *,
        route: Route,
        service: ServiceConfig,
        priority: int,
        received_ms: float,
        deadline_ms: float,
    ) -> None:
        self._gateway = gateway
        self._log = log
        self._route = route
        self._service = service
        self._priority = priority
        self._received_ms = received_ms
        self._deadline_ms = deadline_ms
        self._draw = gateway.rollout_traffic.draw(service.name)
        self._tried_targets: set[str] = set()
        self.refusal: ErrorResponse = NO_TARGET

    def exclude(self, target_id: str) -> None:
        """Leave a target out of further searches because it got the request."""
        self._tried_targets.add(target_id)

    async def find_first(self) -> ProbedTarget | None:
        """Return an acceptable target; after a limited wait, also one of fair cost.

        There is no wait if the pauses and request rates of the targets leave no room in time, or if
        the request would not get a target before its wait ends.
        """
        wait_queue = self._gateway.wait_queue(self._service.name)
        criteria = AcceptanceCriteria(
            received_ms=self._received_ms,
            now_ms=now_ms(),
            objective_ms=self._route.objective_ms,
            deadline_ms=self._deadline_ms,
            max_own_zone_cost=self._max_own_zone_cost(),
        )
        if not wait_queue:
            probed = await self._probe(criteria)
            if probed is not None:
                return probed
        opening_ms = self._gateway.selector.quotas.next_opening_ms(
            self._service, exclude=self._tried_targets, position=len(wait_queue)
        )
        if opening_ms > criteria.wait_until_ms:
            self.refusal = self._paused_refusal() or TARGETS_EXHAUSTED
            return None
        return await self._wait(wait_queue, criteria)

    def _max_own_zone_cost(self) -> float:
        """Return up to which cost a target of the own zone with a free slot is accepted."""
        if not self._route.has_large_responses:
            return MAX_GOOD_COST
        recent_ms = self._gateway.response_time(self._route).recent_ms
        return large_response_cost(objective_ms=self._route.objective_ms, recent_ms=recent_ms)

    def _paused_refusal(self) -> ErrorResponse | None:
        until_ms = self._gateway.selector.quotas.all_paused_until_ms(self._service)
        return None if until_ms is None else targets_paused(until_ms - now_ms())

    async def find_another(self, *, max_cost: float = inf) -> ProbedTarget | None:
        """Return the best target that was not tried yet and costs at most ``max_cost``."""
        probed = await self._probe(None)
        if probed is None and self.refusal is NO_TARGET:
            self.refusal = self._paused_refusal() or NO_TARGET
        if probed is not None and self._gateway.selector.cost(probed) > max_cost:
            await self._gateway.selector.release([probed])
            return None
        return probed

    async def _wait(
        self, wait_queue: WaitQueue, criteria: AcceptanceCriteria
    ) -> ProbedTarget | None:
        """Wait for a target, then accept one of fair cost; refuse at once if that is in vain."""
        request = WaitingRequest(
            criteria,
            priority=self._priority,
            customer=self._log.customer,
            received_ms=self._received_ms,
            deadline_ms=self._deadline_ms,
            typical_ms=self._gateway.response_time(self._route).typical_ms,
        )
        refusal = wait_queue.refusal(request)
        if refusal is not None:
            self.refusal = refusal.response
            self._log.record_refusal(refusal)
            return None
        started_ms = now_ms()
        probed = await wait_queue.wait(request, self._service)
        self._log.record_wait(probed, started_ms=started_ms)
        if probed is None:
            probed = await self._probe(criteria, is_last=True)
            wait_queue.record_last_probe(probed)
            if probed is None:
                self.refusal = no_target(wait_queue.retry_after_ms(request))
        return probed

    async def _probe(
        self, criteria: AcceptanceCriteria | None, *, is_last: bool = False
    ) -> ProbedTarget | None:
        """Probe targets and return the best; with ``criteria``, only if it is acceptable."""
        selector = self._gateway.selector
        results = await selector.probe_targets(
            self._service,
            exclude=self._tried_targets,
            deadline_ms=self._deadline_ms,
            preference=zone_preference(self._route),
            draw=self._draw,
        )
        self._draw = OLD_VERSION_DRAW
        best = selector.claim_first(
            results.usable, self._service, criteria=criteria, is_last=is_last
        )
        self._log.record_choice(results, best)
        await selector.release([probed for probed in results.usable if probed is not best])
        return best
