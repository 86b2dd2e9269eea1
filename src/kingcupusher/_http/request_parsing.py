"""Parsing of requests; input that must be rejected raises :class:`BadRequestError`."""

from __future__ import annotations

from typing import Any

import h11

from kingcupusher._http.errors import BadRequestError
from kingcupusher._http.framing import invalid_request_reason
from kingcupusher._http.heads import RequestHead

READ_BYTES = 16_384
NO_DEADLINE_MS = float("inf")
CONTINUE = h11.InformationalResponse(status_code=100, headers=[])
END_OF_MESSAGE = h11.EndOfMessage()


def next_event(http: h11.Connection) -> Any:
    """Return the next h11 event; raise :class:`BadRequestError` on a protocol error."""
    try:
        return http.next_event()
    except h11.RemoteProtocolError as error:
        raise BadRequestError(error.error_status_hint, str(error)) from None


def checked_request_head(event: h11.Request) -> RequestHead:
    """Return the head of a request; raise :class:`BadRequestError` if it is not acceptable."""
    request = RequestHead.of(event)
    reason = invalid_request_reason(request)
    if reason is not None:
        raise BadRequestError(400, reason)
    return request
