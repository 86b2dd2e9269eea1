"""Handling of one request of a caller, from its head to its response."""

from __future__ import annotations

from math import inf

import curio

from kingcupusher._core import now_ms
from kingcupusher._discovery import Route, ServiceConfig
from kingcupusher._gateway.attempt import Attempt, AttemptOutcome, AttemptResult
from kingcupusher._gateway.caller_response import write_error_response, write_response
from kingcupusher._gateway.concurrent_attempts import ConcurrentAttempts
from kingcupusher._gateway.error_responses import (
    INCOMPLETE_RESPONSE,
    NO_TARGET,
    SHUTTING_DOWN,
    TIMED_OUT,
    TIMED_OUT_BEFORE_SEND,
    ErrorResponse,
)
from kingcupusher._gateway.load_probe import ProbedTarget
from kingcupusher._gateway.request_fingerprint import request_fingerprint
from kingcupusher._gateway.request_log import RequestLog
from kingcupusher._gateway.route_match import RouteMatch, match_route
from kingcupusher._gateway.send_rules import SendRules
from kingcupusher._gateway.state import GatewayState
from kingcupusher._gateway.target_search import TargetSearch
from kingcupusher._http.buffered import BufferedResponse
from kingcupusher._http.caller_request import CallerRequest
from kingcupusher._http.errors import DeadlineError
from kingcupusher._http.response_budget import ResponseShare
from kingcupusher._http.timer import RequestTimer
from kingcupusher._limits.quota_tokens import TakenToken
from kingcupusher._routing.acceptance import MAX_GOOD_COST

MAX_ATTEMPTS = 4
NO_STATUS = 0


class Exchange:
    """Handles one request; :meth:`run` sends the caller exactly one response."""

    __slots__ = (
        "_caller",
        "_deadline_ms",
        "_fallback_response",
        "_fingerprint",
        "_gateway",
        "_log",
        "_in_flight",
        "_match",
        "_request_id",
        "_rules",
        "_route",
        "_possibly_executed_by",
        "_attempts",
        "_search",
        "_service",
        "_token",
    )

    def __init__(self, caller: CallerRequest, gateway: GatewayState) -> None:
        self._caller = caller
        self._gateway = gateway
        self._request_id = gateway.header_codec.request_id(caller.head)
        self._log = RequestLog(self._request_id, log=gateway.log, metrics=gateway.metrics)
        self._fingerprint = ""
        self._rules = SendRules(gateway, fingerprint="")
        self._match: RouteMatch | None = None
        self._deadline_ms = 0.0
        self._route: Route | None = None
        self._service: ServiceConfig | None = None
        self._search: TargetSearch | None = None
        self._possibly_executed_by: set[str] = set()
        self._attempts: list[Attempt] = []
        self._in_flight = ConcurrentAttempts()
        self._fallback_response: BufferedResponse | None = None
        self._token: TakenToken | None = None

    @property
    def _may_have_executed(self) -> bool:
        return bool(self._possibly_executed_by)

    async def run(self) -> None:
        """Find targets for the request and respond to the caller."""
        try:
            await self._run()
        finally:
            self._give_back_unused_token()
            for attempt in self._attempts:
                attempt.share.release()

    async def _run(self) -> None:
        try:
            response = await self._produce_response()
        except curio.CancelledError:
            reason = self._caller.close_reason.value
            self._log_abandoned(AttemptOutcome.UNANSWERED, reason)
            self._log_end(NO_STATUS, reason)
            raise
        finally:
            await self._in_flight.cancel_running()
        await self._respond(response)

    async def _produce_response(self) -> BufferedResponse | ErrorResponse:
        match = await match_route(self._caller, self._gateway.catalog, self._gateway.header_codec)
        if isinstance(match, ErrorResponse):
            return match
        self._match = match
        self._route, self._deadline_ms = match.route, match.deadline_ms
        self._log.customer = match.customer.name if match.customer else None
        self._fingerprint = request_fingerprint(
            self._caller.head, self._caller.body, customer=self._log.customer
        )
        self._rules = SendRules(self._gateway, fingerprint=self._fingerprint)
        if not self._route.is_idempotent:
            await self._caller.wait_for_earlier_responses()
        task = await curio.current_task()
        try:
            async with RequestTimer(task, deadline_ms=self._deadline_ms):
                with self._gateway.drain.interrupting(task):
                    return await self._serve()
        except DeadlineError:
            ready = await self._in_flight.take_completed_success()
            if ready is not None and ready.response is not None:
                await self._record_result(ready)
                return ready.response
            for attempt in self._in_flight.running:
                attempt.penalize_target()
            self._log_abandoned(AttemptOutcome.UNANSWERED, "no response in time")
            if self._fallback_response is not None:
                return self._fallback_response
            return TIMED_OUT if self._may_have_executed else TIMED_OUT_BEFORE_SEND

    async def _serve(self) -> BufferedResponse | ErrorResponse:
        assert self._route is not None and self._match is not None
        self._service = self._gateway.catalog.pick_service(self._route)
        if self._service is None:
            return NO_TARGET
        self._log.service = self._service.name
        refusal = self._rules.refusal()
        if refusal is not None:
            return refusal
        refusal = await self._take_token()
        if refusal is not None:
            return refusal
        self._gateway.retry_budget(self._service.name).on_request(now_ms=now_ms())
        self._search = TargetSearch(
            self._gateway,
            self._log,
            route=self._route,
            service=self._service,
            priority=self._match.priority,
            received_ms=self._caller.received_ms,
            deadline_ms=self._deadline_ms,
        )
        probed = await self._search.find_first()
        refusal = self._rules.refusal()
        if probed is not None and refusal is not None:
            await self._gateway.selector.release([probed])
            return refusal
        while probed is not None:
            await self._start_attempt(probed)
            response = await self._first_success()
            if response is not None:
                return response
            probed = await self._next_target()
        return self._final_response()

    async def _take_token(self) -> ErrorResponse | None:
        """Take a token of the customer's quota; return the refusal if there is none."""
        assert self._match is not None
        customer, quotas = self._match.customer, self._gateway.customer_quotas
        if customer is None or not customer.has_quota or quotas is None:
            return None
        taken = await quotas.take(customer.name)
        if isinstance(taken, ErrorResponse):
            return taken
        self._token = taken
        return None

    def _give_back_unused_token(self) -> None:
        """Give the token back if the request was sent to no target."""
        quotas = self._gateway.customer_quotas
        if self._token is not None and quotas is not None and not self._attempts:
            quotas.give_back(self._token)
            self._token = None

    async def _first_success(self) -> BufferedResponse | None:
        """Return the first successful response of the attempts in flight, or None if all failed."""
        hedge_task: curio.Task | None = None
        hedge_at_ms = self._hedge_at_ms()
        try:
            while self._in_flight.running:
                result = await self._in_flight.next_result(until_ms=hedge_at_ms)
                if result is None:
                    hedge_at_ms = inf
                    hedge_task = await curio.spawn(self._send_hedge, daemon=True)
                    continue
                await self._record_result(result)
                if result.outcome is AttemptOutcome.SUCCESS and result.response is not None:
                    self._log_abandoned(AttemptOutcome.SUPERSEDED, "another target answered first")
                    return result.response
        finally:
            if hedge_task is not None:
                await hedge_task.cancel()
        return None

    def _hedge_at_ms(self) -> float:
        """Return when the response to the last attempt is overdue, so that a hedge is sent."""
        assert self._route is not None
        if not self._route.is_idempotent:
            return inf
        attempt = self._attempts[-1]
        cost = self._gateway.selector.cost(attempt.probed)
        return now_ms() + self._gateway.response_time(self._route).hedge_delay_ms(cost=cost)

    async def _send_hedge(self) -> None:
        """Send an idempotent request whose response is overdue to a second target as well.

        One retry stays reserved for failed requests. No hedge is sent while other requests wait.
        """
        assert self._service is not None
        if self._gateway.wait_queue(self._service.name):
            return
        probed = await self._next_target(reserve=1, max_cost=MAX_GOOD_COST)
        if probed is None:
            return
        for attempt in self._in_flight.running:
            attempt.penalize_target()
        await self._start_attempt(probed)

    async def _start_attempt(self, probed: ProbedTarget) -> None:
        assert self._search is not None and self._match is not None
        attempt = Attempt(
            probed,
            self._caller.head,
            self._caller.body,
            request_id=self._request_id,
            fingerprint=self._fingerprint,
            identity=self._match.identity,
            header_codec=self._gateway.header_codec,
            share=ResponseShare(self._gateway.response_budget),
        )
        target_id = probed.target.target_id
        self._search.exclude(target_id)
        self._possibly_executed_by.add(target_id)
        self._attempts.append(attempt)
        await self._in_flight.start(attempt, deadline_ms=self._deadline_ms)

    async def _record_result(self, result: AttemptResult) -> None:
        assert self._service is not None and self._route is not None
        await self._gateway.wait_queue(self._service.name).notify_capacity()
        if result.outcome is AttemptOutcome.SUCCESS:
            attempt = result.attempt
            self._gateway.response_time(self._route).on_response(
                elapsed_ms=attempt.ended_ms - attempt.sent_ms,
                cost=self._gateway.selector.cost(attempt.probed),
            )
        await self._gateway.learn_from(result, request_id=self._request_id)
        if result.outcome is AttemptOutcome.NOT_RUN:
            self._possibly_executed_by.discard(result.attempt.probed.target.target_id)
        elif result.outcome is AttemptOutcome.FAILURE:
            self._fallback_response = result.response
        self._log.record_attempt(result)

    async def _next_target(self, *, reserve: int = 0, max_cost: float = inf) -> ProbedTarget | None:
        """Return another target if the request may be retried and the limits allow it."""
        assert self._route is not None and self._service is not None
        assert self._search is not None
        is_safe = self._route.is_idempotent or not self._may_have_executed
        has_attempts_left = len(self._attempts) < MAX_ATTEMPTS
        has_targets_left = len(self._possibly_executed_by) < self._route.max_targets
        if not (is_safe and has_attempts_left and has_targets_left):
            return None
        if not self._rules.may_retry(self._route):
            return None
        if not self._rules.spend_retry(self._service, reserve=reserve):
            return None
        probed: ProbedTarget | None = None
        try:
            probed = await self._search.find_another(max_cost=max_cost)
            return probed
        finally:
            if probed is None:
                self._rules.refund_retry(self._service)

    def _final_response(self) -> BufferedResponse | ErrorResponse:
        assert self._search is not None
        if self._fallback_response is not None:
            return self._fallback_response
        return INCOMPLETE_RESPONSE if self._may_have_executed else self._search.refusal

    async def _respond(self, response: BufferedResponse | ErrorResponse) -> None:
        header_codec = self._gateway.header_codec
        if isinstance(response, BufferedResponse):
            self._log_end(response.status, "delivered")
            await write_response(self._caller, response, header_codec=header_codec)
            return
        if response.is_not_run and self._gateway.drain.is_started:
            response = SHUTTING_DOWN
        self._log_end(response.status, response.reason)
        await write_error_response(self._caller, response, header_codec=header_codec)

    def _log_abandoned(self, outcome: AttemptOutcome, reason: str) -> None:
        """Log the attempts in flight, which are abandoned without a response."""
        for attempt in self._in_flight.running:
            attempt.ended_ms = now_ms()
            self._log.record_attempt(AttemptResult(attempt, outcome, reason=reason))

    def _log_end(self, status: int, outcome: str) -> None:
        table = self._gateway.catalog.route_table
        self._log.record_end(
            status,
            outcome,
            route=self._route.name if self._route else None,
            routes_version=table.version if table else None,
            sends=len(self._attempts),
            received_ms=self._caller.received_ms,
        )
