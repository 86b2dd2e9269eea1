"""Classification of what came back for a request."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from standins import content
from standins.load.plan import PlannedRequest

OUTCOME = b"x-outcome"


class Outcome(Enum):
    """What a caller knows about its request."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    ERROR = "error"


class Answer(Struct, frozen=True):
    """A response that ended properly."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


DECLARED = {b"not-run": Outcome.NOT_RUN, b"unknown": Outcome.UNKNOWN}


def classify(planned: PlannedRequest, answer: Answer) -> Outcome:
    """Return ``WHOLE`` only if the body is exactly the one that answers this request."""
    if answer.status != 200:
        return DECLARED.get(answer.headers.get(OUTCOME, b""), Outcome.ERROR)
    return Outcome.WHOLE if _answers(planned, answer) else Outcome.BROKEN


def _answers(planned: PlannedRequest, answer: Answer) -> bool:
    request_id = planned.request_id.encode("ascii")
    length = planned.response_bytes
    expected = content.response_body(request_id, planned.body, length_bytes=length)
    digest = answer.headers.get(content.BODY_DIGEST)
    return (
        answer.headers.get(content.REQUEST_ID) == request_id
        and answer.body == expected
        and digest == content.body_digest(expected)
    )
