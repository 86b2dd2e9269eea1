"""Removal of hop-by-hop header fields (RFC 9110, section 7.6.1)."""

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
# A Connection header may not remove these: without them the message would end elsewhere.
NEVER_STRIPPED = frozenset({b"content-length", b"transfer-encoding", b"host"})


def strip_hop_by_hop_headers(headers: HeaderList, *, also: frozenset[bytes]) -> HeaderList:
    """Return ``headers`` without hop-by-hop fields, those listed in Connection, and ``also``."""
    dropped = HOP_BY_HOP | also
    for name, value in headers:
        if name == b"connection":
            listed = {part.strip().lower() for part in value.split(b",")}
            dropped |= listed - NEVER_STRIPPED
    return [header for header in headers if header[0] not in dropped]
