"""Responses that the entry generates itself, with their ``X-Outcome`` header."""

from __future__ import annotations

from enum import Enum

import curio
from msgspec import Struct

from kingcupusher._http.errors import CallerDisconnectedError
from kingcupusher._http.server_connection import ServerConnection

RESPONSE_WRITE_TIMEOUT_S = 1.0


class Outcome(Enum):
    """Whether a request without a complete response from a target may have run."""

    NOT_RUN = b"not-run"
    UNKNOWN = b"unknown"


class LocalResponse(Struct, frozen=True, kw_only=True):
    """A response that the entry generates itself."""

    status: int
    outcome: Outcome
    reason: str


NO_TARGET = LocalResponse(
    status=503, outcome=Outcome.NOT_RUN, reason="no target could take the request"
)
QUEUE_FULL = LocalResponse(
    status=503, outcome=Outcome.NOT_RUN, reason="too many requests wait for this service"
)
TIMED_OUT_BEFORE_SEND = LocalResponse(
    status=503, outcome=Outcome.NOT_RUN, reason="the deadline passed before the request was sent"
)
NO_RESPONSE = LocalResponse(
    status=502, outcome=Outcome.UNKNOWN, reason="the target gave no complete response"
)
TIMED_OUT = LocalResponse(
    status=504, outcome=Outcome.UNKNOWN, reason="the deadline passed before the response"
)


def not_run_response(status: int, reason: str) -> LocalResponse:
    """Return a response with outcome ``not-run``."""
    return LocalResponse(status=status, outcome=Outcome.NOT_RUN, reason=reason)


async def respond(caller: ServerConnection, response: LocalResponse) -> None:
    """Send ``response`` to the caller."""
    headers = [
        (b"x-outcome", response.outcome.value),
        (b"content-type", b"text/plain; charset=utf-8"),
    ]
    body = f"{response.reason}\n".encode()
    try:
        async with curio.timeout_after(RESPONSE_WRITE_TIMEOUT_S):
            await caller.respond(response.status, headers, body)
    except curio.TaskTimeout:
        caller.reset_on_close()
        raise CallerDisconnectedError("the caller did not read its response in time") from None
