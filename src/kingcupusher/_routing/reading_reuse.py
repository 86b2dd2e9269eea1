"""Reuse of recent load readings while the probes that an entry may send are scarce."""

from __future__ import annotations

import msgspec

from kingcupusher._routing.load_reading import LoadReading

MAX_REUSE_AGE_MS = 250.0
"""Older readings say little, as other work on the machine of a target comes and goes. A connection
that was idle for longer may have been closed by the target."""
PLENTIFUL_SHARE = 0.5
"""Above this share of the probes that can be saved, each request probes targets itself."""


def max_reuse_age_ms(saved_share: float) -> float:
    """Return how old a reading may be to be used instead of a probe.

    ``saved_share`` is the number of probes that are left, relative to those that can be saved.
    """
    return MAX_REUSE_AGE_MS * max(0.0, 1.0 - saved_share / PLENTIFUL_SHARE)


def with_later_requests(reading: LoadReading, count: int) -> LoadReading:
    """Return ``reading`` with ``count`` requests added that this entry sent after it."""
    return msgspec.structs.replace(reading, running=reading.running + count)
