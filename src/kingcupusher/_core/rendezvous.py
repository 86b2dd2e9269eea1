"""Rendezvous hashing: ranks candidates by a hash that is the same in every process."""

from __future__ import annotations

import hashlib
from functools import lru_cache

DIGEST_BYTES = 8
MAX_CACHED_PAIRS = 4_096
"""The same pairs occur again in each selection of targets to probe."""


@lru_cache(maxsize=MAX_CACHED_PAIRS)
def rendezvous_weight(name: str, other_name: str) -> bytes:
    """Return the weight of the pair; the candidates with the lowest weights are preferred."""
    return hashlib.blake2b(f"{name} {other_name}".encode(), digest_size=DIGEST_BYTES).digest()
