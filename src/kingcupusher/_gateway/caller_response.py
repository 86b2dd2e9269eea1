"""Writes the response to a caller: a target's own, or an error response of the entry."""

from __future__ import annotations

from kingcupusher._gateway.error_responses import ErrorResponse
from kingcupusher._gateway.header_codec import HeaderCodec
from kingcupusher._http.buffered import BufferedResponse
from kingcupusher._http.caller_request import CallerRequest

UNAUTHORIZED_STATUS = 401


async def write_response(
    caller: CallerRequest, response: BufferedResponse, *, header_codec: HeaderCodec
) -> None:
    """Write the response of a target, with its status, headers and body."""
    headers = header_codec.response_headers(response)
    headers.append((b"content-length", b"%d" % response.body.size_bytes))
    await caller.respond(response.status, headers, response.body.pieces(), response.reason)


async def write_error_response(
    caller: CallerRequest, error_response: ErrorResponse, *, header_codec: HeaderCodec
) -> None:
    """Write an error response; its body is the reason as text."""
    headers = header_codec.error_response_headers(
        caller.head, retry_after_ms=error_response.retry_after_ms
    )
    if error_response.status == UNAUTHORIZED_STATUS:
        headers.append((b"www-authenticate", b"Bearer"))
    body = f"{error_response.reason}\n".encode()
    headers.append((b"content-type", b"text/plain; charset=utf-8"))
    headers.append((b"content-length", b"%d" % len(body)))
    await caller.respond(error_response.status, headers, [body], b"")
