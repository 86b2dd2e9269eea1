"""Checks of message framing that h11 does not make."""

from __future__ import annotations

from kingcupusher._http.heads import HeaderList, RequestHead, ResponseHead

MAX_INTERIM_RESPONSES = 16
"""A target that sends more of them before a response is considered broken."""
MIN_STATUS, MAX_STATUS = 100, 599
BODILESS_STATUS = frozenset({204, 304})
CONFLICTING_LENGTHS = "both Content-Length and Transfer-Encoding are given"


def has_conflicting_lengths(headers: HeaderList) -> bool:
    """Whether the next server may find another end of the message (request smuggling)."""
    names = {name for name, _ in headers}
    return b"content-length" in names and b"transfer-encoding" in names


def invalid_request_reason(request: RequestHead) -> str | None:
    """Return why ``request`` is rejected, or ``None`` if it is acceptable."""
    if has_conflicting_lengths(request.headers):
        return CONFLICTING_LENGTHS
    names = [name for name, _ in request.headers]
    if b"transfer-encoding" in names and request.http_version < b"1.1":
        return "Transfer-Encoding is not allowed in HTTP/1.0"
    if not request.target.startswith(b"/") and request.target != b"*":
        return "the request target must be a path"
    return None


def is_status_valid(status: int) -> bool:
    """Whether ``status`` is a status code; h11 also accepts others of three digits."""
    return MIN_STATUS <= status <= MAX_STATUS


def invalid_framing_reason(response: ResponseHead, method: bytes) -> str | None:
    """Return why the end of ``response`` is ambiguous, or ``None``.

    A body that is delimited by the end of the connection may have been truncated.
    """
    if has_conflicting_lengths(response.headers):
        return CONFLICTING_LENGTHS
    names = [name for name, _ in response.headers]
    is_framed = b"content-length" in names or b"transfer-encoding" in names
    if is_framed or method == b"HEAD" or response.status in BODILESS_STATUS:
        return None
    return "neither Content-Length nor Transfer-Encoding is given"
