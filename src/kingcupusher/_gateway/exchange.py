"""Handling of one request of a caller, from its head to its response."""

from __future__ import annotations

from math import inf

import curio

from kingcupusher._core import now_ms
from kingcupusher._discovery import Route, ServiceConfig
from kingcupusher._gateway.attempt import DEADLINE_REASON, Attempt, AttemptOutcome, AttemptResult
from kingcupusher._gateway.caller_response import write_error_response, write_response
from kingcupusher._gateway.concurrent_attempts import ConcurrentAttempts
from kingcupusher._gateway.error_responses import (
    NO_TARGET,
    SHUTTING_DOWN,
    ErrorResponse,
)
from kingcupusher._gateway.hedges import Hedger
from kingcupusher._gateway.load_probe import ProbedTarget
from kingcupusher._gateway.request_fingerprint import request_fingerprint
from kingcupusher._gateway.request_log import RequestLog
from kingcupusher._gateway.request_outcome import RequestOutcome
from kingcupusher._gateway.request_token import RequestToken
from kingcupusher._gateway.route_match import RouteMatch, match_route
from kingcupusher._gateway.send_rules import SendRules
from kingcupusher._gateway.state import GatewayState
from kingcupusher._gateway.target_search import TargetSearch
from kingcupusher._http.buffered import BufferedResponse
from kingcupusher._http.caller_request import CallerRequest
from kingcupusher._http.errors import DeadlineError
from kingcupusher._http.response_budget import ResponseShare
from kingcupusher._http.timer import RequestTimer

MAX_ATTEMPTS = 4
NO_STATUS = 0


class Exchange:
    """Handles one request; :meth:`run` sends the caller exactly one response."""

    __slots__ = (
        "_caller",
        "_deadline_ms",
        "_fingerprint",
        "_gateway",
        "_log",
        "_hedger",
        "_in_flight",
        "_match",
        "_outcome",
        "_request_id",
        "_rules",
        "_route",
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
        self._outcome = RequestOutcome()
        self._attempts: list[Attempt] = []
        self._hedger: Hedger | None = None
        self._in_flight = ConcurrentAttempts()
        self._token = RequestToken(gateway)

    async def run(self) -> None:
        """Find targets for the request and respond to the caller."""
        try:
            await self._run()
        finally:
            if not self._attempts:
                self._token.give_back()
            for attempt in self._attempts:
                attempt.share.release()
                self._gateway.rollout_traffic.on_end(attempt)

    async def _run(self) -> None:
        try:
            response = await self._produce_response()
        except curio.CancelledError:
            reason = self._caller.close_reason.value
            self._end_attempts(AttemptOutcome.UNANSWERED, reason)
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
            if self._outcome.success is None:
                ready = await self._in_flight.take_completed_success()
                if ready is not None:
                    await self._record_result(ready)
            if self._outcome.success is not None:
                return self._outcome.success
            for attempt in self._in_flight.running:
                attempt.penalize_target()
            self._end_attempts(AttemptOutcome.UNANSWERED, DEADLINE_REASON)
            return self._outcome.response_at_deadline()

    async def _serve(self) -> BufferedResponse | ErrorResponse:
        assert self._route is not None and self._match is not None
        self._service = self._gateway.catalog.pick_service(self._route)
        if self._service is None:
            return NO_TARGET
        self._log.service = self._service.name
        refusal = self._rules.refusal()
        if refusal is not None:
            return refusal
        refusal = await self._token.take(self._match.customer)
        if refusal is not None:
            return refusal
        self._gateway.on_request(self._service.name)
        self._search = TargetSearch(
            self._gateway,
            self._log,
            route=self._route,
            service=self._service,
            priority=self._match.priority,
            received_ms=self._caller.received_ms,
            deadline_ms=self._deadline_ms,
        )
        if self._gateway.may_hedge(self._route):
            self._hedger = self._create_hedger(self._service, self._search)
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
        return self._outcome.response_without_success(self._search.refusal)

    async def _first_success(self) -> BufferedResponse | None:
        """Return the first successful response of the attempts in flight, or None if all failed."""
        hedger = self._hedger
        if hedger is not None:
            hedger.watch(self._attempts[-1])
        try:
            while self._in_flight.running:
                until_ms = hedger.next_check_ms if hedger is not None else inf
                result = await self._in_flight.next_result(until_ms=until_ms)
                if result is None:
                    assert hedger is not None
                    await hedger.check()
                    continue
                await self._record_result(result)
                if result.outcome is AttemptOutcome.SUCCESS:
                    self._end_attempts(
                        AttemptOutcome.SUPERSEDED, "another target answered first", winner=result
                    )
                    return self._outcome.success
        finally:
            if hedger is not None:
                await hedger.cancel()
        return None

    def _create_hedger(self, service: ServiceConfig, search: TargetSearch) -> Hedger:
        assert self._route is not None
        return Hedger(
            self._gateway,
            self._log,
            route=self._route,
            service=service,
            rules=self._rules,
            search=search,
            received_ms=self._caller.received_ms,
            deadline_ms=self._deadline_ms,
            has_attempts_left=self._has_attempts_left,
            start_attempt=self._start_attempt,
        )

    async def _start_attempt(self, probed: ProbedTarget) -> Attempt:
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
        self._outcome.on_send(target_id)
        self._attempts.append(attempt)
        self._gateway.rollout_traffic.on_send(attempt, is_first=len(self._attempts) == 1)
        await self._in_flight.start(attempt, deadline_ms=self._deadline_ms)
        return attempt

    async def _record_result(self, result: AttemptResult) -> None:
        assert self._service is not None and self._route is not None
        # The deadline may pass during one of the following waits.
        self._outcome.on_result(result)
        await self._gateway.wait_queue(self._service.name).notify_capacity()
        if result.outcome is AttemptOutcome.SUCCESS:
            attempt = result.attempt
            cost = self._gateway.selector.cost(attempt.probed)
            estimate = self._gateway.response_time(self._route)
            if self._hedger is not None:
                self._hedger.on_success(attempt, cost=cost, typical_ms=estimate.typical_ms)
            estimate.on_response(elapsed_ms=attempt.ended_ms - attempt.sent_ms, cost=cost)
        await self._gateway.learn_from(result, request_id=self._request_id)
        self._gateway.rollout_traffic.on_result(self._route.name, result)
        self._log.record_attempt(result)

    def _has_attempts_left(self) -> bool:
        """Return whether the limits on attempts and targets of the request allow another one."""
        assert self._route is not None
        has_targets_left = self._outcome.possible_executions < self._route.max_targets
        return len(self._attempts) < MAX_ATTEMPTS and has_targets_left

    async def _next_target(self) -> ProbedTarget | None:
        """Return another target if the request may be retried and the limits allow it."""
        assert self._route is not None and self._service is not None
        assert self._search is not None
        is_safe = self._route.is_idempotent or not self._outcome.may_have_run
        if not (is_safe and self._has_attempts_left() and self._rules.may_retry(self._route)):
            return None
        if not self._rules.spend_retry(self._service, reserve=0):
            return None
        probed: ProbedTarget | None = None
        try:
            probed = await self._search.find_another()
            return probed
        finally:
            if probed is None:
                self._rules.refund_retry(self._service)

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

    def _end_attempts(
        self, outcome: AttemptOutcome, reason: str, *, winner: AttemptResult | None = None
    ) -> None:
        """Record the end of the attempts in flight, which are abandoned."""
        abandoned = self._in_flight.running
        if self._hedger is not None:
            self._hedger.on_end(winner, abandoned)
        for attempt in abandoned:
            attempt.ended_ms = now_ms()
            result = AttemptResult(attempt, outcome, reason=reason)
            self._gateway.rollout_traffic.on_result(self._route.name if self._route else "", result)
            self._log.record_attempt(result)

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
