"""Monotonic time in milliseconds."""

from __future__ import annotations

from time import monotonic


def now_ms() -> float:
    """Return the monotonic clock in milliseconds; comparable within one process only."""
    return monotonic() * 1000.0
