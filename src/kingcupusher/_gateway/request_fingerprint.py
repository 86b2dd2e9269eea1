"""Recognizes a request that is sent again, whoever sends it and to whichever entry."""

from __future__ import annotations

from hashlib import blake2b

from kingcupusher._http.heads import RequestHead, first_header_value

FINGERPRINT_BYTES = 16
MAX_HASHED_BODY_BYTES = 65_536
"""Hashing a longer body would delay other requests."""


def request_fingerprint(head: RequestHead, body: bytes) -> str:
    """Return a hexadecimal digest of method, host, target, credentials and body of a request."""
    parts = (
        head.method,
        first_header_value(head.headers, b"host") or b"",
        head.target,
        first_header_value(head.headers, b"authorization") or b"",
        b"%d" % len(body),
        body[:MAX_HASHED_BODY_BYTES],
    )
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
