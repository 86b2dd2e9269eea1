"""States of a target as entries agree on them."""

from __future__ import annotations

from enum import IntEnum


class TargetState(IntEnum):
    """State of a target; the numbers are part of the inner protocol."""

    UNKNOWN = 0
    COLD = 1
    RAMPING = 2
    OPEN = 3
    DRAINING = 4
    GONE = 5
