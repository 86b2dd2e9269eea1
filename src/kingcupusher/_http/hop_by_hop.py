"""Header fields that concern one connection and are not passed on."""

from __future__ import annotations

from kingcupusher._http.heads import HeaderList

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
# Dropping the framing on a caller's word would change where the message ends.
KEPT_ALTHOUGH_LISTED = frozenset({b"content-length", b"transfer-encoding", b"host"})


def strip_hop_by_hop_headers(headers: HeaderList, *, also: frozenset[bytes]) -> HeaderList:
    """Return ``headers`` without those of the connection, those it lists, and ``also``."""
    dropped = HOP_BY_HOP | also
    for name, value in headers:
        if name == b"connection":
            listed = {part.strip().lower() for part in value.split(b",")}
            dropped |= listed - KEPT_ALTHOUGH_LISTED
    return [header for header in headers if header[0] not in dropped]
