"""Headers of forwarded requests and responses."""

from __future__ import annotations

from kingcupusher._http.heads import HeaderList
from kingcupusher._http.hop_by_hop import strip_hop_by_hop_headers
from kingcupusher._proxy.classify import ProxyRequest

# The entry itself responds to Expect; it sets the others for each hop.
REPLACED_IN_REQUEST = frozenset({b"expect", b"x-handoff", b"x-request-id", b"x-request-timeout-ms"})

OUTCOME_HEADERS = frozenset({b"x-outcome"})


def request_headers(request: ProxyRequest, *, remaining_ms: int, handoff: bool) -> HeaderList:
    """Return the headers of ``request`` for the next hop."""
    headers = strip_hop_by_hop_headers(request.head.headers, also=REPLACED_IN_REQUEST)
    headers.append((b"x-request-id", request.request_id))
    headers.append((b"x-request-timeout-ms", b"%d" % remaining_ms))
    if handoff:
        headers.append((b"x-handoff", b"1"))
        if not request.is_idempotent:
            headers.append((b"x-idempotent", b"false"))
    return headers


def response_headers(incoming: HeaderList, *, is_from_target: bool) -> HeaderList:
    """Return the headers of a response for the caller.

    Only an entry states an outcome to callers. A target's statement that it did not run a request
    is a refusal, which is not forwarded; any other value of its header means nothing.
    """
    replaced = OUTCOME_HEADERS if is_from_target else frozenset()
    return strip_hop_by_hop_headers(incoming, also=replaced)
