"""Reads what a caller sent; what must be refused becomes an error."""

from __future__ import annotations

from typing import Any

import h11

from kingcupusher._http.errors import BadRequestError
from kingcupusher._http.framing import request_fault
from kingcupusher._http.heads import RequestHead

READ_BYTES = 16_384
NEVER_MS = float("inf")
CONTINUE = h11.InformationalResponse(status_code=100, headers=[])
END = h11.EndOfMessage()


def next_event(http: h11.Connection) -> Any:
    """Return h11's next event; raise :class:`BadRequestError` if the input is not valid."""
    try:
        return http.next_event()
    except h11.RemoteProtocolError as error:
        raise BadRequestError(error.error_status_hint, str(error)) from None


def request_head(event: h11.Request) -> RequestHead:
    """Return the head of a request; raise :class:`BadRequestError` if it must be refused."""
    request = RequestHead.of(event)
    fault = request_fault(request)
    if fault is not None:
        raise BadRequestError(400, fault)
    return request
