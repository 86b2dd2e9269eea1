"""Outcome of a request, from its response."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from standins import content
from standins.load.plan import PlannedRequest

OUTCOME_HEADER = b"x-outcome"


class Outcome(Enum):
    """Outcome of a request as its caller observes it."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    ERROR = "error"


class CompleteResponse(Struct, frozen=True):
    """A response that was received to its end."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


OUTCOME_BY_HEADER_VALUE = {b"not-run": Outcome.NOT_RUN, b"unknown": Outcome.UNKNOWN}


def classify(planned: PlannedRequest, response: CompleteResponse) -> Outcome:
    """Return the outcome; ``WHOLE`` requires status 200, the request's own id, body and digest."""
    if response.status != 200:
        return OUTCOME_BY_HEADER_VALUE.get(response.headers.get(OUTCOME_HEADER, b""), Outcome.ERROR)
    return Outcome.WHOLE if _is_expected_response(planned, response) else Outcome.BROKEN


def _is_expected_response(planned: PlannedRequest, response: CompleteResponse) -> bool:
    request_id = planned.request_id.encode("ascii")
    length = planned.response_bytes
    expected = content.response_body(request_id, planned.body, length_bytes=length)
    digest = response.headers.get(content.BODY_DIGEST_HEADER)
    return (
        response.headers.get(content.REQUEST_ID_HEADER) == request_id
        and response.body == expected
        and digest == content.body_digest(expected)
    )
