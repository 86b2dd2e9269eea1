"""State machine of a target."""

from __future__ import annotations

from enum import Enum

from kingcupusher._core.target_state import TargetState


class StateEvent(Enum):
    """An event that changes the state of a target."""

    COLD = "cold"
    DRAIN = "drain"
    ABSENT = "absent"
    RETURN = "return"
    RAMP = "ramp"
    WARM = "warm"


_S = TargetState

# Pairs that are not listed leave the state unchanged.
TRANSITIONS: dict[tuple[TargetState, StateEvent], TargetState] = {
    (_S.UNKNOWN, StateEvent.COLD): _S.COLD,
    (_S.UNKNOWN, StateEvent.DRAIN): _S.DRAINING,
    (_S.UNKNOWN, StateEvent.ABSENT): _S.GONE,
    (_S.COLD, StateEvent.DRAIN): _S.DRAINING,
    (_S.COLD, StateEvent.ABSENT): _S.GONE,
    (_S.COLD, StateEvent.RAMP): _S.RAMPING,
    (_S.RAMPING, StateEvent.COLD): _S.COLD,
    (_S.RAMPING, StateEvent.DRAIN): _S.DRAINING,
    (_S.RAMPING, StateEvent.ABSENT): _S.GONE,
    (_S.RAMPING, StateEvent.WARM): _S.OPEN,
    (_S.OPEN, StateEvent.COLD): _S.COLD,
    (_S.OPEN, StateEvent.DRAIN): _S.DRAINING,
    (_S.OPEN, StateEvent.ABSENT): _S.GONE,
    (_S.DRAINING, StateEvent.ABSENT): _S.GONE,
    (_S.DRAINING, StateEvent.RETURN): _S.COLD,
    (_S.GONE, StateEvent.RETURN): _S.COLD,
}


def next_state(state: TargetState, event: StateEvent) -> TargetState:
    """Return the state that ``event`` leads to from ``state``."""
    return TRANSITIONS.get((state, event), state)
