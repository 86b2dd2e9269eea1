"""Rendezvous hashing: which of several names a name prefers, the same in every process."""

from __future__ import annotations

import hashlib
from functools import lru_cache

DIGEST_BYTES = 8
CACHED_PAIRS = 4_096
"""Every survey of targets asks for the same pairs."""


@lru_cache(maxsize=CACHED_PAIRS)
def rendezvous_weight(name: str, other: str) -> bytes:
    """Return the weight of ``other`` for ``name``; the lowest weights are preferred."""
    return hashlib.blake2b(f"{name} {other}".encode(), digest_size=DIGEST_BYTES).digest()
