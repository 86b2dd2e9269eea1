"""What the attempts of a request show: whether it may have run, and what its caller gets."""

from __future__ import annotations

from kingcupusher._gateway.attempt import AttemptOutcome, AttemptResult
from kingcupusher._gateway.error_responses import (
    INCOMPLETE_RESPONSE,
    TIMED_OUT,
    TIMED_OUT_BEFORE_SEND,
    UNPROVEN_REFUSAL,
    ErrorResponse,
)
from kingcupusher._http.buffered import BufferedResponse


class RequestOutcome:
    """Collects the results of the attempts of one request.

    A request may have run at each target that got it and did not state that it has not run it.
    """

    __slots__ = ("_failure", "_possibly_executed_by", "_success", "_unknown")

    def __init__(self) -> None:
        self._failure: BufferedResponse | None = None
        self._possibly_executed_by: set[str] = set()
        self._success: BufferedResponse | None = None
        self._unknown = INCOMPLETE_RESPONSE

    @property
    def success(self) -> BufferedResponse | None:
        """The first successful response, None without one."""
        return self._success

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return bool(self._possibly_executed_by)

    @property
    def possible_executions(self) -> int:
        """Number of targets that may have run the request."""
        return len(self._possibly_executed_by)

    def on_send(self, target_id: str) -> None:
        """Record that the request is sent to a target."""
        self._possibly_executed_by.add(target_id)

    def on_result(self, result: AttemptResult) -> None:
        """Record the result of an attempt."""
        if result.outcome is AttemptOutcome.NOT_RUN:
            self._possibly_executed_by.discard(result.attempt.probed.target.target_id)
        elif result.outcome is AttemptOutcome.SUCCESS:
            self._success = self._success or result.response
        elif result.outcome is AttemptOutcome.FAILURE:
            self._failure = result.response
        elif result.outcome is AttemptOutcome.UNPROVEN_REFUSAL:
            self._unknown = UNPROVEN_REFUSAL

    def response_without_success(self, refusal: ErrorResponse) -> BufferedResponse | ErrorResponse:
        """Return the response after all attempts failed; ``refusal`` is for a request not run."""
        if self._failure is not None:
            return self._failure
        return self._unknown if self.may_have_run else refusal

    def response_at_deadline(self) -> BufferedResponse | ErrorResponse:
        """Return the response when the time for the request has ended without a success."""
        if self._failure is not None:
            return self._failure
        return TIMED_OUT if self.may_have_run else TIMED_OUT_BEFORE_SEND
