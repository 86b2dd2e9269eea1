"""Limits of the connections of callers."""

from __future__ import annotations

from msgspec import Struct

DEFAULT_MEMORY_BYTES = 100_000_000
DEFAULT_CONNECTION_LIMIT = 500
"""What an entry with 200 MB allows its callers."""


class PipelineLimits(Struct, kw_only=True):
    """Size limits and time-outs of a connection; they may change while it is open."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    head_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0
