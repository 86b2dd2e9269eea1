"""Checks of message framing that h11 leaves to its user."""

from __future__ import annotations

from kingcupusher._http.heads import RequestHead, ResponseHead

BODILESS_STATUS = frozenset({204, 304})


def request_fault(request: RequestHead) -> str | None:
    """Return why ``request`` must be refused, or ``None``.

    A message with two lengths may be split differently by the next server (request smuggling).
    """
    names = [name for name, _ in request.headers]
    if b"transfer-encoding" in names:
        if b"content-length" in names:
            return "both Content-Length and Transfer-Encoding are given"
        if request.http_version < b"1.1":
            return "Transfer-Encoding is not allowed in HTTP/1.0"
    if not request.target.startswith(b"/") and request.target != b"*":
        return "the request target must be a path"
    return None


def response_fault(response: ResponseHead, method: bytes) -> str | None:
    """Return why the end of ``response`` cannot be recognised for certain, or ``None``.

    A body that ends when the connection closes cannot be told from one that was cut off.
    """
    names = [name for name, _ in response.headers]
    has_length = b"content-length" in names
    is_chunked = b"transfer-encoding" in names
    if has_length and is_chunked:
        return "both Content-Length and Transfer-Encoding are given"
    if has_length or is_chunked or method == b"HEAD" or response.status in BODILESS_STATUS:
        return None
    return "neither Content-Length nor Transfer-Encoding is given"
