"""Response bodies that the load tool can recompute from the request alone."""

from __future__ import annotations

from hashlib import sha256, shake_256

REQUEST_ID = b"x-request-id"
SERVICE_TIME_MS = b"x-service-time-ms"
RESPONSE_BYTES = b"x-response-bytes"
BODY_DIGEST = b"x-body-digest"
TARGET_ID = b"x-target-id"


def response_body(request_id: bytes, request_body: bytes, *, length_bytes: int) -> bytes:
    """Return the body that answers a request; it depends on the whole request."""
    return shake_256(request_id + b"\0" + request_body).digest(length_bytes)


def body_digest(body: bytes) -> bytes:
    """Return the digest that a target sends with its body."""
    return sha256(body).hexdigest().encode("ascii")
