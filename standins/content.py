"""Header fields and response bodies of targets, which the load tool derives from the request."""

from __future__ import annotations

from hashlib import sha256, shake_256

REQUEST_ID_HEADER = b"x-request-id"
SERVICE_TIME_MS_HEADER = b"x-service-time-ms"
RESPONSE_BYTES_HEADER = b"x-response-bytes"
BODY_DIGEST_HEADER = b"x-body-digest"
TARGET_ID_HEADER = b"x-target-id"


def response_body(request_id: bytes, request_body: bytes, *, length_bytes: int) -> bytes:
    """Return the response body, derived from the request id and the request body."""
    return shake_256(request_id + b"\0" + request_body).digest(length_bytes)


def body_digest(body: bytes) -> bytes:
    """Return the SHA-256 digest in hexadecimal, as the digest header field carries it."""
    return sha256(body).hexdigest().encode("ascii")
