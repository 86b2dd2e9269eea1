"""Responses that the entry itself gives, and what they say about the request."""

from __future__ import annotations

from enum import Enum

import curio
from msgspec import Struct

from kingcupusher._http.errors import CallerDisconnectedError
from kingcupusher._http.server_connection import ServerConnection

RESPOND_S = 1.0


class Outcome(Enum):
    """What is known about a request that got no complete response from a target."""

    NOT_RUN = b"not-run"
    UNKNOWN = b"unknown"


class OutcomeResponse(Struct, frozen=True, kw_only=True):
    """A response without help from a target."""

    status: int
    outcome: Outcome
    reason: str


NO_TARGET = OutcomeResponse(
    status=503, outcome=Outcome.NOT_RUN, reason="no target could take the request"
)
QUEUE_FULL = OutcomeResponse(
    status=503, outcome=Outcome.NOT_RUN, reason="too many requests wait for this service"
)
TIMED_OUT_BEFORE_SEND = OutcomeResponse(
    status=503, outcome=Outcome.NOT_RUN, reason="the deadline passed before the request was sent"
)
NO_RESPONSE = OutcomeResponse(
    status=502, outcome=Outcome.UNKNOWN, reason="the target gave no complete response"
)
TIMED_OUT = OutcomeResponse(
    status=504, outcome=Outcome.UNKNOWN, reason="the deadline passed before the response"
)


def rejection(status: int, reason: str) -> OutcomeResponse:
    """Return the response for a request that is refused before a target was considered."""
    return OutcomeResponse(status=status, outcome=Outcome.NOT_RUN, reason=reason)


async def respond(caller: ServerConnection, response: OutcomeResponse) -> None:
    """Send ``response`` to the caller."""
    headers = [
        (b"x-outcome", response.outcome.value),
        (b"content-type", b"text/plain; charset=utf-8"),
    ]
    body = f"{response.reason}\n".encode()
    try:
        async with curio.timeout_after(RESPOND_S):
            await caller.respond(response.status, headers, body)
    except curio.TaskTimeout:
        caller.reset_on_close()
        raise CallerDisconnectedError("the caller does not read its response") from None
