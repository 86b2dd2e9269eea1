"""Rendezvous hashing: ranks names by a hash that is the same in every process."""

from __future__ import annotations

import hashlib
from functools import lru_cache

DIGEST_BYTES = 8
MAX_CACHED_PAIRS = 4_096
"""Each selection of targets to probe looks up the same pairs."""


@lru_cache(maxsize=MAX_CACHED_PAIRS)
def rendezvous_weight(name: str, other: str) -> bytes:
    """Return the weight of ``other`` for ``name``; the lowest weights are preferred."""
    return hashlib.blake2b(f"{name} {other}".encode(), digest_size=DIGEST_BYTES).digest()
