"""States of a target in the protocol between entries."""

from __future__ import annotations

from enum import IntEnum


class TargetState(IntEnum):
    """State of a target; the numbers are sent between entries."""

    UNKNOWN = 0
    COLD = 1
    RAMPING = 2
    OPEN = 3
    DRAINING = 4
    GONE = 5
