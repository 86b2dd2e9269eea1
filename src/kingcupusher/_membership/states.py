"""Transitions between the states of a target."""

from __future__ import annotations

from enum import Enum

from kingcupusher._core.target_state import TargetState


class Sign(Enum):
    """What moves a target to another state."""

    COLD = "cold"
    DRAIN = "drain"
    ABSENT = "absent"
    RETURN = "return"
    RAMP = "ramp"
    WARM = "warm"


_S = TargetState

# A pair that is not listed leaves the state as it is.
TRANSITIONS: dict[tuple[TargetState, Sign], TargetState] = {
    (_S.UNKNOWN, Sign.COLD): _S.COLD,
    (_S.UNKNOWN, Sign.DRAIN): _S.DRAINING,
    (_S.UNKNOWN, Sign.ABSENT): _S.GONE,
    (_S.COLD, Sign.DRAIN): _S.DRAINING,
    (_S.COLD, Sign.ABSENT): _S.GONE,
    (_S.COLD, Sign.RAMP): _S.RAMPING,
    (_S.RAMPING, Sign.COLD): _S.COLD,
    (_S.RAMPING, Sign.DRAIN): _S.DRAINING,
    (_S.RAMPING, Sign.ABSENT): _S.GONE,
    (_S.RAMPING, Sign.WARM): _S.OPEN,
    (_S.OPEN, Sign.COLD): _S.COLD,
    (_S.OPEN, Sign.DRAIN): _S.DRAINING,
    (_S.OPEN, Sign.ABSENT): _S.GONE,
    (_S.DRAINING, Sign.ABSENT): _S.GONE,
    (_S.DRAINING, Sign.RETURN): _S.COLD,
    (_S.GONE, Sign.RETURN): _S.COLD,
}


def next_state(state: TargetState, sign: Sign) -> TargetState:
    """Return the state that ``sign`` leads to from ``state``."""
    return TRANSITIONS.get((state, sign), state)
