"""The life of one caller request, from its head to its response."""

from __future__ import annotations

from math import inf

import curio

from kingcupusher._core import now_ms
from kingcupusher._discovery import Route, ServiceConfig
from kingcupusher._gateway.attempt import Attempt, AttemptOutcome, AttemptResult
from kingcupusher._gateway.concurrent_attempts import Race
from kingcupusher._gateway.error_responses import (
    ENDED,
    NO_ROUTE,
    NO_ROUTES_YET,
    NO_TARGET,
    TIMED_OUT,
    TIMED_OUT_UNSENT,
    UNKNOWN_OUTCOME,
    Refusal,
)
from kingcupusher._gateway.load_probe import ProbedTarget
from kingcupusher._gateway.request_log import RequestLog
from kingcupusher._gateway.state import Gateway
from kingcupusher._gateway.wait_queue import Waiter
from kingcupusher._http.buffered import BufferedResponse
from kingcupusher._http.errors import DeadlineError
from kingcupusher._http.heads import first_header_value, host_name
from kingcupusher._http.pipeline import CallerRequest
from kingcupusher._http.timer import RequestTimer
from kingcupusher._routing.acceptance import PREFERRED_MAX_COST, AcceptanceCriteria

MAX_SENDS = 4
START_WAIT_MS = 300.0
"""A process that has just started waits this long for the routes before it refuses."""
POLL_S = 0.01
NO_STATUS = 0


class Exchange:
    """One request. :meth:`run` gives the caller exactly one response."""

    __slots__ = (
        "_caller",
        "_deadline_ms",
        "_fallback",
        "_gateway",
        "_log",
        "_race",
        "_request_id",
        "_route",
        "_run_targets",
        "_sends",
        "_service",
        "_tried",
    )

    def __init__(self, caller: CallerRequest, gateway: Gateway) -> None:
        self._caller = caller
        self._gateway = gateway
        self._request_id = gateway.header_codec.request_id(caller.head)
        self._log = RequestLog(self._request_id, log=gateway.log, metrics=gateway.metrics)
        self._deadline_ms = 0.0
        self._route: Route | None = None
        self._service: ServiceConfig | None = None
        self._tried: set[str] = set()
        self._run_targets: set[str] = set()
        self._sends: list[Attempt] = []
        self._race = Race()
        self._fallback: BufferedResponse | None = None

    @property
    def _may_have_run(self) -> bool:
        return bool(self._run_targets)

    async def run(self) -> None:
        """Serve the request."""
        try:
            response = await self._decide()
        except curio.CancelledError:
            self._log_running(AttemptOutcome.UNANSWERED, "the caller closed its connection")
            self._log_end(NO_STATUS, "the caller closed its connection")
            raise
        finally:
            await self._race.end()
        if isinstance(response, Refusal):
            await self._refuse(response)
        else:
            await self._deliver(response)

    # -- decisions

    async def _decide(self) -> BufferedResponse | Refusal:
        refusal = await self._find_route()
        if refusal is not None:
            return refusal
        assert self._route is not None
        if not self._route.is_idempotent:
            await self._caller.wait_for_earlier_responses()
        task = await curio.current_task()
        try:
            async with RequestTimer(task, deadline_ms=self._deadline_ms):
                return await self._serve()
        except DeadlineError:
            ready = await self._race.ready_success()
            if ready is not None and ready.response is not None:
                await self._note(ready)
                return ready.response
            for attempt in self._race.running:
                attempt.suspect()
            self._log_running(AttemptOutcome.UNANSWERED, "no response in time")
            if self._fallback is not None:
                return self._fallback
            return TIMED_OUT if self._may_have_run else TIMED_OUT_UNSENT

    async def _find_route(self) -> Refusal | None:
        catalog = self._gateway.catalog
        until_ms = self._caller.received_ms + START_WAIT_MS
        while not catalog.has_routes:
            if now_ms() >= until_ms:
                return NO_ROUTES_YET
            await curio.sleep(POLL_S)
        head = self._caller.head
        host = host_name(first_header_value(head.headers, b"host") or b"")
        route = catalog.route_for(host, head.target.partition(b"?")[0])
        if route is None:
            return NO_ROUTE
        self._route = route
        left_ms = self._gateway.header_codec.time_left_ms(head)
        timeout_ms = route.timeout_ms if left_ms is None else min(route.timeout_ms, left_ms)
        self._deadline_ms = self._caller.received_ms + timeout_ms
        return None

    async def _serve(self) -> BufferedResponse | Refusal:
        assert self._route is not None
        self._service = self._gateway.catalog.pick_service(self._route)
        if self._service is None:
            return NO_TARGET
        self._log.service = self._service.name
        self._gateway.budget(self._service.name).on_request(now_ms=now_ms())
        answer = await self._find_place()
        while answer is not None:
            await self._send(answer)
            response = await self._first_success()
            if response is not None:
                return response
            answer = await self._next_place()
        return self._final()

    async def _first_success(self) -> BufferedResponse | None:
        """Return the first good response of the sends on their way, or ``None`` if all failed."""
        second: curio.Task | None = None
        overdue_ms = self._overdue_ms()
        try:
            while self._race.running:
                result = await self._race.next_result(until_ms=overdue_ms)
                if result is None:
                    overdue_ms = inf
                    second = await curio.spawn(self._send_to_another, daemon=True)
                    continue
                await self._note(result)
                if result.outcome is AttemptOutcome.SUCCESS and result.response is not None:
                    self._log_running(AttemptOutcome.SUPERSEDED, "another target answered first")
                    return result.response
        finally:
            if second is not None:
                await second.cancel()
        return None

    def _overdue_ms(self) -> float:
        """Return when the response to the last send is late enough to ask another target."""
        assert self._route is not None
        if not self._route.is_idempotent:
            return inf
        attempt = self._sends[-1]
        cost = self._gateway.selector.cost(attempt.probed)
        return now_ms() + self._gateway.work(self._route).hedge_delay_ms(cost=cost)

    async def _send_to_another(self) -> None:
        """Send an idempotent request whose response is overdue to a second target as well.

        One repeat is left for requests that fail. Nothing is sent while other requests wait.
        """
        assert self._service is not None
        if self._gateway.line(self._service.name):
            return
        answer = await self._next_place(keep_repeats=1, worst_cost=PREFERRED_MAX_COST)
        if answer is None:
            return
        for attempt in self._race.running:
            attempt.suspect()
        await self._send(answer)

    async def _find_place(self) -> ProbedTarget | None:
        """Return a place that is good enough, or the best there is after some waiting."""
        assert self._route is not None and self._service is not None
        line = self._gateway.line(self._service.name)
        criteria = AcceptanceCriteria(
            received_ms=self._caller.received_ms,
            now_ms=now_ms(),
            objective_ms=self._route.objective_ms,
            deadline_ms=self._deadline_ms,
        )
        if not line:
            answer = await self._ask(criteria)
            if answer is not None:
                return answer
        waiter = Waiter(
            criteria,
            exclude=self._tried,
            priority=self._route.priority,
            received_ms=self._caller.received_ms,
            typical_ms=self._gateway.work(self._route).typical_ms,
        )
        started_ms = now_ms()
        answer = await line.wait(waiter, self._service)
        self._log.wait(answer, started_ms=started_ms)
        return answer or await self._ask(criteria, is_last=True)

    async def _ask(
        self, criteria: AcceptanceCriteria | None, *, is_last: bool = False
    ) -> ProbedTarget | None:
        """Ask for the best place; with ``criteria``, return it only if it is good enough."""
        assert self._service is not None
        selector = self._gateway.selector
        survey = await selector.survey(
            self._service, exclude=self._tried, deadline_ms=self._deadline_ms
        )
        best = survey.usable[0] if survey.usable else None
        if best and criteria and not selector.suits(best, criteria, is_last=is_last):
            best = None
        self._log.choice(survey, best)
        await selector.give_back([a for a in survey.usable if a is not best])
        return best

    async def _send(self, answer: ProbedTarget) -> None:
        attempt = Attempt(
            answer,
            self._caller.head,
            self._caller.body,
            request_id=self._request_id,
            header_codec=self._gateway.header_codec,
        )
        target_id = answer.target.target_id
        self._tried.add(target_id)
        self._run_targets.add(target_id)
        self._sends.append(attempt)
        await self._race.start(attempt, deadline_ms=self._deadline_ms)

    async def _note(self, result: AttemptResult) -> None:
        assert self._service is not None and self._route is not None
        await self._gateway.line(self._service.name).on_freed()
        if result.outcome is AttemptOutcome.SUCCESS:
            attempt = result.attempt
            self._gateway.work(self._route).on_response(
                elapsed_ms=attempt.ended_ms - attempt.sent_ms,
                cost=self._gateway.selector.cost(attempt.probed),
            )
        if result.outcome is AttemptOutcome.NOT_RUN:
            self._run_targets.discard(result.attempt.probed.target.target_id)
        elif result.outcome is AttemptOutcome.FAILURE:
            self._fallback = result.response
        self._log.send(result)

    async def _next_place(
        self, *, keep_repeats: int = 0, worst_cost: float = inf
    ) -> ProbedTarget | None:
        """Return another place for the request if its kind and the bounds allow that."""
        assert self._route is not None and self._service is not None
        is_safe = self._route.is_idempotent or not self._may_have_run
        has_sends = len(self._sends) < MAX_SENDS
        has_targets = len(self._run_targets) < self._route.max_targets
        if not (is_safe and has_sends and has_targets):
            return None
        current_ms = now_ms()
        budget = self._gateway.budget(self._service.name)
        slack = self._gateway.repeat_slack(now_ms=current_ms)
        if not budget.try_spend(slack=slack - keep_repeats, now_ms=current_ms):
            return None
        answer: ProbedTarget | None = None
        try:
            answer = await self._ask(None)
            if answer is not None and self._gateway.selector.cost(answer) > worst_cost:
                await self._gateway.selector.give_back([answer])
                answer = None
            return answer
        finally:
            if answer is None:
                budget.refund()

    def _final(self) -> BufferedResponse | Refusal:
        if self._fallback is not None:
            return self._fallback
        return UNKNOWN_OUTCOME if self._may_have_run else NO_TARGET

    # -- the end

    async def _deliver(self, response: BufferedResponse) -> None:
        headers = self._gateway.header_codec.response_headers(response)
        headers.append((b"content-length", b"%d" % len(response.body)))
        self._log_end(response.status, "delivered")
        await self._caller.respond(response.status, headers, response.body, response.reason)

    async def _refuse(self, refusal: Refusal) -> None:
        if refusal.is_not_run and self._gateway.is_stopping:
            refusal = ENDED
        headers = self._gateway.header_codec.error_response_headers(
            self._caller.head, retry_after_ms=refusal.retry_after_ms
        )
        body = f"{refusal.reason}\n".encode()
        headers.append((b"content-type", b"text/plain; charset=utf-8"))
        headers.append((b"content-length", b"%d" % len(body)))
        self._log_end(refusal.status, refusal.reason)
        await self._caller.respond(refusal.status, headers, body, b"")

    def _log_running(self, outcome: AttemptOutcome, reason: str) -> None:
        """Log the sends that are given up without a response."""
        for attempt in self._race.running:
            attempt.ended_ms = now_ms()
            self._log.send(AttemptResult(attempt, outcome, reason=reason))

    def _log_end(self, status: int, outcome: str) -> None:
        table = self._gateway.catalog.route_table
        self._log.end(
            status,
            outcome,
            route=self._route.name if self._route else None,
            routes_version=table.version if table else None,
            sends=len(self._sends),
            received_ms=self._caller.received_ms,
        )
