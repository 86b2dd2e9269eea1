"""Recognizes a request that is sent again, whoever sends it and to whichever entry."""

from __future__ import annotations

from hashlib import blake2b

from kingcupusher._http.body_pieces import BodyPieces
from kingcupusher._http.heads import RequestHead, first_header_value

FINGERPRINT_BYTES = 16
MAX_HASHED_BODY_BYTES = 65_536
"""Hashing a longer body would delay other requests."""


def request_fingerprint(head: RequestHead, body: BodyPieces, *, customer: str | None = None) -> str:
    """Return a hexadecimal digest of method, host, target, caller and body of a request.

    Its customer identifies the caller; without one, its credentials do.
    """
    parts = (
        head.method,
        first_header_value(head.headers, b"host") or b"",
        head.target,
        _caller_name(head, customer),
        b"%d" % body.size_bytes,
        body.prefix(MAX_HASHED_BODY_BYTES),
    )
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


def _caller_name(head: RequestHead, customer: str | None) -> bytes:
    if customer is not None:
        return customer.encode()
    return first_header_value(head.headers, b"authorization") or b""
