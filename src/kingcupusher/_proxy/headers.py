"""Header lists as they are passed on."""

from __future__ import annotations

from kingcupusher._http.heads import HeaderList
from kingcupusher._proxy.classify import ProxyRequest

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
    }
)
# Expect is answered by the entry itself; the others are set anew for each hop.
REPLACED_IN_REQUEST = frozenset({b"expect", b"x-handoff", b"x-request-id", b"x-request-timeout-ms"})
NOT_FORWARDED = HOP_BY_HOP | REPLACED_IN_REQUEST


def _dropped(headers: HeaderList, always: frozenset[bytes]) -> frozenset[bytes]:
    """Return the names to leave out, with those that ``Connection`` lists."""
    listed = [value for name, value in headers if name == b"connection"]
    if not listed:
        return always
    names = {name.strip().lower() for value in listed for name in value.split(b",")}
    # Dropping the framing on a caller's word would change where the message ends.
    return always | (names - {b"content-length", b"transfer-encoding", b"host"})


def request_headers(request: ProxyRequest, *, remaining_ms: int, handoff: bool) -> HeaderList:
    """Return the headers of ``request`` for the next hop."""
    incoming = request.head.headers
    dropped = _dropped(incoming, NOT_FORWARDED)
    headers = [header for header in incoming if header[0] not in dropped]
    headers.append((b"x-request-id", request.request_id))
    headers.append((b"x-request-timeout-ms", b"%d" % remaining_ms))
    if handoff:
        headers.append((b"x-handoff", b"1"))
        if not request.is_idempotent:
            headers.append((b"x-idempotent", b"false"))
    return headers


def response_headers(incoming: HeaderList) -> HeaderList:
    """Return the headers of a target's response for the caller."""
    dropped = _dropped(incoming, HOP_BY_HOP)
    return [header for header in incoming if header[0] not in dropped]
