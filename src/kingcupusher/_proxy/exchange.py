"""Handling of one caller request over one or more attempts."""

from __future__ import annotations

from kingcupusher._core import now_ms
from kingcupusher._http.errors import (
    ConnectError,
    DeadlineError,
    ExchangeError,
    PoolLimitError,
    ResetError,
)
from kingcupusher._http.pool import ConnectionPool
from kingcupusher._http.server_connection import ServerConnection
from kingcupusher._http.timer import RequestTimer
from kingcupusher._observe.logs import RateLimitedLogger
from kingcupusher._proxy.attempt import Attempt, Destination
from kingcupusher._proxy.body import RequestBody, read_body
from kingcupusher._proxy.classify import ProxyRequest
from kingcupusher._proxy.errors import NotSentError, RefusedError
from kingcupusher._proxy.load_balancer import LoadBalancer
from kingcupusher._proxy.outcome import (
    NO_RESPONSE,
    NO_TARGET,
    QUEUE_FULL,
    TIMED_OUT,
    TIMED_OUT_BEFORE_SEND,
    LocalResponse,
    Outcome,
    respond,
)
from kingcupusher._proxy.request_queues import RequestQueues
from kingcupusher._proxy.response_timeouts import ResponseTimeouts

log = RateLimitedLogger("request")

# Bounds the connections that one request may try to open while targets are down.
MAX_ATTEMPTS = 4


class Exchange:
    """One caller request from its head to its response."""

    __slots__ = (
        "_attempt",
        "_attempts",
        "_body",
        "_caller",
        "_load_balancer",
        "_is_handoff_tried",
        "_is_refused",
        "_may_have_run",
        "_is_retry_unrestricted",
        "_must_queue",
        "_request",
        "_timeouts",
        "_tried",
        "_queues",
    )

    def __init__(
        self,
        request: ProxyRequest,
        *,
        caller: ServerConnection,
        load_balancer: LoadBalancer,
        queues: RequestQueues,
        response_timeouts: ResponseTimeouts,
    ) -> None:
        self._timeouts = response_timeouts
        self._request = request
        self._caller = caller
        self._load_balancer = load_balancer
        self._queues = queues
        self._body = RequestBody(b"", True)
        self._attempt: Attempt | None = None
        self._attempts = 0
        self._is_handoff_tried = False
        self._is_refused = False
        self._may_have_run = False
        self._is_retry_unrestricted = True
        self._must_queue = False
        self._tried: set[str] = set()

    async def run(self) -> None:
        """Serve the request; the caller gets one response or a connection reset."""
        deadline_ms = self._request.deadline_ms
        if now_ms() >= deadline_ms:
            await respond(self._caller, TIMED_OUT_BEFORE_SEND)
            return
        try:
            async with RequestTimer(self._caller.task, deadline_ms=deadline_ms):
                failure = await self._forward_request()
        except DeadlineError:
            failure = self._timeout_response()
        finally:
            if self._queues.has_queued_requests(self._request.service):
                await self._queues.dispatch(self._request.service)
        if failure is None:
            return
        if not self._caller.is_disconnected:
            self._log(failure)
        if self._is_head_forwarded():
            self._caller.reset_on_close()
            return
        if self._may_have_run and failure.outcome is Outcome.NOT_RUN:
            # An earlier attempt may have run, even if the last one was not sent.
            failure = NO_RESPONSE
        await respond(self._caller, failure)

    def _log(self, failure: LocalResponse) -> None:
        log.warning(
            "request not served",
            request_id=self._request.request_id.decode("latin-1"),
            service=self._request.service.name,
            status=failure.status,
            outcome=failure.outcome.value.decode(),
            reason=failure.reason,
            attempts=self._attempts,
        )

    async def _forward_request(self) -> LocalResponse | None:
        self._body = await read_body(self._caller)
        budget = self._load_balancer.retry_budget(self._request.service)
        budget.on_request(now_ms=now_ms())
        failure: LocalResponse | None = QUEUE_FULL
        while (destination := await self._next_destination()) is not None:
            failure = await self._run_attempt(destination)
            if failure is None or not self._may_retry():
                return failure
        return failure

    async def _next_destination(self) -> Destination | None:
        target_id = self._choose_target()
        if target_id is not None:
            return self._destination(target_id)
        pool = self._handoff_pool()
        if pool is not None:
            return Destination(target_id=None, pool=pool)
        if self._tried:
            return None
        target_id = await self._queues.wait_for_target(
            self._request, caller=self._caller, size_bytes=len(self._body.buffered)
        )
        return None if target_id is None else self._destination(target_id)

    def _choose_target(self) -> str | None:
        service = self._request.service
        would_overtake = not self._tried and self._queues.has_queued_requests(service)
        if would_overtake or self._must_queue:
            return None
        return self._load_balancer.choose_target(service, now_ms=now_ms(), exclude=self._tried)

    def _handoff_pool(self) -> ConnectionPool | None:
        if self._request.is_handed_off or self._is_handoff_tried:
            return None
        return self._load_balancer.handoff_pool(self._request.service, now_ms=now_ms())

    def _destination(self, target_id: str) -> Destination:
        return Destination(target_id=target_id, pool=self._load_balancer.pool(target_id))

    async def _run_attempt(self, destination: Destination) -> LocalResponse | None:
        """Run one attempt; return ``None`` if the caller got a complete response."""
        attempt = Attempt(
            destination,
            self._request,
            self._body,
            caller=self._caller,
            load_balancer=self._load_balancer,
            response_timeouts=self._timeouts,
        )
        self._attempt = attempt
        try:
            await attempt.run()
            return None
        except PoolLimitError:
            if destination.target_id is None:
                self._mark_tried(destination)
            self._must_queue = True
            return NO_TARGET
        except (ConnectError, NotSentError, RefusedError) as error:
            self._mark_tried(destination)
            self._is_retry_unrestricted = not attempt.is_request_written
            self._is_refused = isinstance(error, RefusedError)
            self._attempt = None
        except ExchangeError as error:
            is_stale = attempt.is_stale and isinstance(error, ResetError)
            self._mark_tried(destination, may_choose_again=is_stale)
            self._is_retry_unrestricted = False
            self._is_refused = False
            self._may_have_run = True
            if attempt.request_body_error is not None:
                return LocalResponse(
                    status=400, outcome=Outcome.UNKNOWN, reason=str(attempt.request_body_error)
                )
        return NO_RESPONSE if self._may_have_run else NO_TARGET

    def _mark_tried(self, destination: Destination, *, may_choose_again: bool = False) -> None:
        self._must_queue = False
        self._attempts += 1
        if destination.target_id is None:
            self._is_handoff_tried = True
        elif not may_choose_again:
            self._tried.add(destination.target_id)

    def _may_retry(self) -> bool:
        """Return whether another attempt is allowed after one that failed.

        If nothing was written, only the number of attempts is limited. A refused request was not
        run, so even a non-idempotent one may be sent to another target.
        """
        if self._attempts >= MAX_ATTEMPTS or self._is_head_forwarded():
            return False
        if self._is_retry_unrestricted:
            return True
        may_repeat = self._request.is_idempotent or (self._is_refused and not self._may_have_run)
        if not may_repeat or not self._body.is_complete:
            return False
        budget = self._load_balancer.retry_budget(self._request.service)
        return budget.try_spend(now_ms=now_ms())

    def _is_head_forwarded(self) -> bool:
        return self._attempt is not None and self._attempt.is_head_forwarded

    def _timeout_response(self) -> LocalResponse:
        is_request_written = self._attempt is not None and self._attempt.is_request_written
        return TIMED_OUT if is_request_written or self._may_have_run else TIMED_OUT_BEFORE_SEND
