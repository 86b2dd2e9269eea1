"""Hedged requests: a second target gets a request whose response is overdue."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from math import inf

import curio

from kingcupusher._core import now_ms
from kingcupusher._discovery import Route, ServiceConfig
from kingcupusher._gateway.attempt import Attempt, AttemptResult
from kingcupusher._gateway.load_probe import ProbedTarget
from kingcupusher._gateway.request_log import RequestLog
from kingcupusher._gateway.send_rules import SendRules
from kingcupusher._gateway.state import GatewayState
from kingcupusher._gateway.target_search import TargetSearch
from kingcupusher._routing.acceptance import MAX_GOOD_COST
from kingcupusher._routing.hedging import SUSPECT_FACTOR, can_help

RETRY_RESERVE = 1
"""Retries that stay reserved for failed requests."""
RECHECK_SHARE = 0.25
"""Share of the typical response time after which a hedge that was held back is tried again."""
MIN_RECHECK_MS = 20.0
FINAL_REASONS = frozenset(
    {"max_attempts", "draining", "equal_requests_failed", "deadline", "request_ended"}
)
"""Reasons that hold until the request ends."""


class Hedger:
    """Watches the last attempt of one idempotent request and sends at most one hedge for it."""

    __slots__ = (
        "_attempt",
        "_deadline_ms",
        "_expected_ms",
        "_gateway",
        "_has_attempts_left",
        "_hedge",
        "_hedge_check_ms",
        "_is_cancelled",
        "_is_overdue",
        "_limit",
        "_log",
        "_objective_end_ms",
        "_overdue_share",
        "_relative_times",
        "_route",
        "_rules",
        "_search",
        "_service",
        "_start_attempt",
        "_suspect_ms",
        "_task",
        "_typical_ms",
    )

    def __init__(
        self,
        gateway: GatewayState,
        log: RequestLog,
        *,
        route: Route,
        service: ServiceConfig,
        rules: SendRules,
        search: TargetSearch,
        received_ms: float,
        deadline_ms: float,
        has_attempts_left: Callable[[], bool],
        start_attempt: Callable[[ProbedTarget], Awaitable[Attempt]],
    ) -> None:
        state = gateway.hedge_state
        assert state is not None
        self._gateway = gateway
        self._log = log
        self._route = route
        self._service = service
        self._rules = rules
        self._search = search
        self._deadline_ms = deadline_ms
        self._objective_end_ms = received_ms + route.objective_ms
        self._has_attempts_left = has_attempts_left
        self._start_attempt = start_attempt
        self._limit = state.limit(service.name)
        self._overdue_share = state.overdue_share(service.name)
        self._relative_times = state.relative_times(route.name)
        self._attempt: Attempt | None = None
        self._hedge: Attempt | None = None
        self._task: curio.Task | None = None
        self._typical_ms = self._expected_ms = 0.0
        self._hedge_check_ms = self._suspect_ms = inf
        self._is_overdue = False
        self._is_cancelled = False

    @property
    def next_check_ms(self) -> float:
        """When :meth:`check` is to be called unless an attempt ends before."""
        return min(self._hedge_check_ms, self._suspect_ms)

    def watch(self, attempt: Attempt) -> None:
        """Watch ``attempt``, which was just started."""
        cost = self._gateway.selector.cost(attempt.probed)
        self._attempt, self._hedge = attempt, None
        self._is_overdue = self._is_cancelled = False
        self._typical_ms = max(1.0, self._gateway.response_time(self._route).typical_ms)
        self._expected_ms = self._typical_ms * max(cost, 1.0)
        self._suspect_ms = attempt.sent_ms + SUSPECT_FACTOR * self._expected_ms
        self._hedge_check_ms = attempt.sent_ms + self._relative_times.hedge_delay_ms(
            expected_ms=self._expected_ms,
            typical_ms=self._typical_ms,
            until_objective_ms=self._objective_end_ms - attempt.sent_ms,
        )

    async def check(self) -> None:
        """Send a hedge if one is due and allowed, and suspect the target if it takes too long."""
        assert self._attempt is not None
        current_ms = now_ms()
        if current_ms >= self._hedge_check_ms:
            if not self._is_overdue:
                self._is_overdue = True
                self._overdue_share.record(is_overdue=True)
            self._hedge_check_ms = inf
            self._task = await curio.spawn(self._run, daemon=True)
        if current_ms >= self._suspect_ms:
            self._suspect_ms = inf
            if not self._attempt.ended_ms and not self._is_overloaded():
                self._attempt.penalize_target()

    def _is_overloaded(self) -> bool:
        """Return whether long responses say more about the load than about the target."""
        return self._overdue_share.is_service_slow or self._has_waiting_requests()

    def _has_waiting_requests(self) -> bool:
        return bool(self._gateway.wait_queue(self._service.name))

    def on_success(self, attempt: Attempt, *, cost: float, typical_ms: float) -> None:
        """Learn from the response to ``attempt``; ``typical_ms`` is the estimate before it."""
        elapsed_ms = attempt.ended_ms - attempt.sent_ms
        self._relative_times.add(elapsed_ms / max(1.0, typical_ms * max(cost, 1.0)))
        if attempt is self._attempt and not self._is_overdue:
            self._overdue_share.record(is_overdue=False)

    def on_end(self, winner: AttemptResult | None, abandoned: list[Attempt]) -> None:
        """Record the end of the request, with the attempts whose responses are not awaited."""
        if self._is_overdue and self._attempt in abandoned:
            elapsed_ms = now_ms() - self._attempt.sent_ms
            self._relative_times.add(elapsed_ms / self._expected_ms)
        if self._hedge is None:
            return
        if winner is not None and winner.attempt is self._hedge:
            self._log.count_hedge("won")
        if winner is not None and abandoned:
            self._log.count_hedge("cancelled")

    async def cancel(self) -> None:
        """Stop a search for a target; attempts in flight are not affected."""
        self._hedge_check_ms = self._suspect_ms = inf
        self._is_cancelled = True
        if self._task is not None:
            await self._task.cancel()

    async def _run(self) -> None:
        """Try to send a hedge until one is sent or can no longer help."""
        assert self._attempt is not None
        reasons: set[str] = set()
        while (reason := self._find_obstacle() or await self._send()) is not None:
            if reason not in reasons:
                reasons.add(reason)
                elapsed_ms = now_ms() - self._attempt.sent_ms
                self._log.record_hedge_held_back(reason, elapsed_ms=elapsed_ms)
            if reason in FINAL_REASONS:
                return
            recheck_ms = max(MIN_RECHECK_MS, RECHECK_SHARE * self._typical_ms)
            await curio.sleep(recheck_ms / 1000.0)

    def _find_obstacle(self) -> str | None:
        """Return which rule forbids a hedge now, or None."""
        remaining_ms = self._deadline_ms - now_ms()
        if self._is_cancelled:
            return "request_ended"
        if self._gateway.drain.is_started:
            return "draining"
        if not self._has_attempts_left():
            return "max_attempts"
        if not self._rules.may_retry(self._route):
            return "equal_requests_failed"
        if not can_help(typical_ms=self._typical_ms, remaining_ms=remaining_ms):
            return "deadline"
        if self._has_waiting_requests():
            return "waiting_requests"
        if self._overdue_share.is_service_slow:
            return "slow_service"
        return None

    async def _send(self) -> str | None:
        """Send a hedge; return None, or which limit held it back."""
        assert self._attempt is not None
        if not self._limit.try_spend():
            return "hedge_limit"
        if not self._rules.spend_retry(self._service, reserve=RETRY_RESERVE):
            self._limit.refund()
            return "retry_budget"
        try:
            probed = await self._search.find_another(max_cost=MAX_GOOD_COST)
            obstacle = self._find_obstacle()
            if probed is not None and obstacle is not None:
                # The search takes a few probes; the request may have ended meanwhile.
                await self._gateway.selector.release([probed])
                return obstacle
            if probed is not None:
                self._hedge = await self._start_attempt(probed)
                elapsed_ms = self._hedge.sent_ms - self._attempt.sent_ms
                self._log.record_hedge(self._hedge, elapsed_ms=elapsed_ms)
                return None
        finally:
            if self._hedge is None:
                self._limit.refund()
                self._rules.refund_retry(self._service)
        return "no_good_target"
