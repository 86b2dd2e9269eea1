"""Checks of message framing that h11 leaves to its user."""

from __future__ import annotations

from kingcupusher._http.heads import HeaderList, RequestHead, ResponseHead

BODILESS_STATUS = frozenset({204, 304})
TWO_LENGTHS = "both Content-Length and Transfer-Encoding are given"


def has_two_lengths(headers: HeaderList) -> bool:
    """Whether a message may be split differently by the next server (request smuggling)."""
    names = {name for name, _ in headers}
    return b"content-length" in names and b"transfer-encoding" in names


def request_fault(request: RequestHead) -> str | None:
    """Return why ``request`` must be refused, or ``None``."""
    if has_two_lengths(request.headers):
        return TWO_LENGTHS
    names = [name for name, _ in request.headers]
    if b"transfer-encoding" in names and request.http_version < b"1.1":
        return "Transfer-Encoding is not allowed in HTTP/1.0"
    if not request.target.startswith(b"/") and request.target != b"*":
        return "the request target must be a path"
    return None


def response_fault(response: ResponseHead, method: bytes) -> str | None:
    """Return why the end of ``response`` cannot be recognised for certain, or ``None``.

    A body that ends when the connection closes cannot be told from one that was cut off.
    """
    if has_two_lengths(response.headers):
        return TWO_LENGTHS
    names = [name for name, _ in response.headers]
    is_framed = b"content-length" in names or b"transfer-encoding" in names
    if is_framed or method == b"HEAD" or response.status in BODILESS_STATUS:
        return None
    return "neither Content-Length nor Transfer-Encoding is given"
