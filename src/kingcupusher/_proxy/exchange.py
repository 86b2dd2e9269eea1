"""The life of one caller request over one or more attempts."""

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
from kingcupusher._proxy.attempt import Attempt, Place
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
    Outcome,
    OutcomeResponse,
    respond,
)
from kingcupusher._proxy.silence import SilenceWatch
from kingcupusher._proxy.waiting import WaitingRoom

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
        "_directory",
        "_is_handoff_tried",
        "_is_refused",
        "_may_have_run",
        "_may_retry_freely",
        "_must_wait",
        "_request",
        "_silence",
        "_tried",
        "_waiting",
    )

    def __init__(
        self,
        request: ProxyRequest,
        *,
        caller: ServerConnection,
        directory: LoadBalancer,
        waiting: WaitingRoom,
        silence: SilenceWatch,
    ) -> None:
        self._silence = silence
        self._request = request
        self._caller = caller
        self._directory = directory
        self._waiting = waiting
        self._body = RequestBody(b"", True)
        self._attempt: Attempt | None = None
        self._attempts = 0
        self._is_handoff_tried = False
        self._is_refused = False
        self._may_have_run = False
        self._may_retry_freely = True
        self._must_wait = False
        self._tried: set[str] = set()

    async def run(self) -> None:
        """Serve the request; the caller gets one response or a broken connection."""
        deadline_ms = self._request.deadline_ms
        if now_ms() >= deadline_ms:
            await respond(self._caller, TIMED_OUT_BEFORE_SEND)
            return
        try:
            async with RequestTimer(self._caller.task, deadline_ms=deadline_ms):
                failure = await self._forward()
        except DeadlineError:
            failure = self._timed_out()
        finally:
            if self._waiting.has_waiters(self._request.service):
                await self._waiting.pump(self._request.service)
        if failure is None:
            return
        if not self._caller.is_disconnected:
            self._log(failure)
        if self._is_head_forwarded():
            self._caller.reset_on_close()
            return
        if self._may_have_run and failure.outcome is Outcome.NOT_RUN:
            # A later attempt that was not sent does not undo an earlier one that may have run.
            failure = NO_RESPONSE
        await respond(self._caller, failure)

    def _log(self, failure: OutcomeResponse) -> None:
        log.warning(
            "request not served",
            request_id=self._request.request_id.decode("latin-1"),
            service=self._request.service.name,
            status=failure.status,
            outcome=failure.outcome.value.decode(),
            reason=failure.reason,
            attempts=self._attempts,
        )

    async def _forward(self) -> OutcomeResponse | None:
        self._body = await read_body(self._caller)
        budget = self._directory.retry_budget(self._request.service)
        budget.on_request(now_ms=now_ms())
        failure: OutcomeResponse | None = QUEUE_FULL
        while (place := await self._next_place()) is not None:
            failure = await self._try(place)
            if failure is None or not self._may_try_again():
                return failure
        return failure

    async def _next_place(self) -> Place | None:
        target_id = self._choose()
        if target_id is not None:
            return self._place(target_id)
        entry = self._other_entry()
        if entry is not None:
            return Place(target_id=None, pool=entry)
        if self._tried:
            return None
        target_id = await self._waiting.wait(
            self._request, caller=self._caller, size_bytes=len(self._body.kept)
        )
        return None if target_id is None else self._place(target_id)

    def _choose(self) -> str | None:
        service = self._request.service
        overtakes = not self._tried and self._waiting.has_waiters(service)
        if overtakes or self._must_wait:
            return None
        return self._directory.choose_target(service, now_ms=now_ms(), exclude=self._tried)

    def _other_entry(self) -> ConnectionPool | None:
        if self._request.is_handed_off or self._is_handoff_tried:
            return None
        return self._directory.handoff_pool(self._request.service, now_ms=now_ms())

    def _place(self, target_id: str) -> Place:
        return Place(target_id=target_id, pool=self._directory.pool(target_id))

    async def _try(self, place: Place) -> OutcomeResponse | None:
        """Make one attempt; return ``None`` if the caller got a complete response."""
        attempt = Attempt(
            place,
            self._request,
            self._body,
            caller=self._caller,
            directory=self._directory,
            silence=self._silence,
        )
        self._attempt = attempt
        try:
            await attempt.run()
            return None
        except PoolLimitError:
            if place.target_id is None:
                self._mark_tried(place)
            self._must_wait = True
            return NO_TARGET
        except (ConnectError, NotSentError, RefusedError) as error:
            self._mark_tried(place)
            self._may_retry_freely = not attempt.is_written
            self._is_refused = isinstance(error, RefusedError)
            self._attempt = None
        except ExchangeError as error:
            is_stale = attempt.is_stale and isinstance(error, ResetError)
            self._mark_tried(place, is_again_allowed=is_stale)
            self._may_retry_freely = False
            self._is_refused = False
            self._may_have_run = True
            if attempt.stream_error is not None:
                return OutcomeResponse(
                    status=400, outcome=Outcome.UNKNOWN, reason=str(attempt.stream_error)
                )
        return NO_RESPONSE if self._may_have_run else NO_TARGET

    def _mark_tried(self, place: Place, *, is_again_allowed: bool = False) -> None:
        self._must_wait = False
        self._attempts += 1
        if place.target_id is None:
            self._is_handoff_tried = True
        elif not is_again_allowed:
            self._tried.add(place.target_id)

    def _may_try_again(self) -> bool:
        """Return whether another attempt is allowed after one that failed.

        Without a write there is nothing to repeat, so only the number of attempts is bounded. A
        target that refused has not run the request, so that another may get any request.
        """
        if self._attempts >= MAX_ATTEMPTS or self._is_head_forwarded():
            return False
        if self._may_retry_freely:
            return True
        may_repeat = self._request.is_idempotent or (self._is_refused and not self._may_have_run)
        if not may_repeat or not self._body.is_whole:
            return False
        budget = self._directory.retry_budget(self._request.service)
        return budget.try_spend(now_ms=now_ms())

    def _is_head_forwarded(self) -> bool:
        return self._attempt is not None and self._attempt.is_head_forwarded

    def _timed_out(self) -> OutcomeResponse:
        is_written = self._attempt is not None and self._attempt.is_written
        return TIMED_OUT if is_written or self._may_have_run else TIMED_OUT_BEFORE_SEND
