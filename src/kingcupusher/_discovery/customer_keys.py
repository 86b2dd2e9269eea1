"""Digests of the keys by which customers identify themselves."""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 16


def key_digest(key: bytes) -> bytes:
    """Return the digest of ``key``, which is kept and sent to other entries in its place."""
    return blake2b(key, digest_size=DIGEST_BYTES).digest()
