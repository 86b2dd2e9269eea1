"""What the ends of calls to the store show: a call that failed, or an outage."""

from __future__ import annotations

from enum import Enum

from kingcupusher._core.heartbeats import DEFAULT_HEARTBEAT_MS
from kingcupusher._discovery.change_source import CallEnd


class StoreState(Enum):
    """Whether the store responds to this entry."""

    AVAILABLE = "available"
    IN_DOUBT = "in doubt"
    OVERDUE = "overdue"
    LOST = "lost"


class StoreEvent(Enum):
    """What the end of a call means for the state of the entry."""

    NOTHING = "nothing"
    OUTAGE_BEGAN = "outage began"
    OUTAGE_ENDED = "outage ended"
    REACHED_AGAIN = "reached again"
    """Only calls of this entry had failed; the store responded to others."""


_AVAILABLE_NOTHING = (StoreState.AVAILABLE, StoreEvent.NOTHING)
_IN_DOUBT_NOTHING = (StoreState.IN_DOUBT, StoreEvent.NOTHING)
_OUTAGE_BEGAN = (StoreState.LOST, StoreEvent.OUTAGE_BEGAN)
_LOST_NOTHING = (StoreState.LOST, StoreEvent.NOTHING)
_OUTAGE_ENDED = (StoreState.AVAILABLE, StoreEvent.OUTAGE_ENDED)

TRANSITIONS = {
    (StoreState.AVAILABLE, CallEnd.ANSWERED): _AVAILABLE_NOTHING,
    (StoreState.AVAILABLE, CallEnd.CUT_WHILE_WAITING): _IN_DOUBT_NOTHING,
    (StoreState.AVAILABLE, CallEnd.RATE_LIMITED): _IN_DOUBT_NOTHING,
    (StoreState.AVAILABLE, CallEnd.FAILED): _OUTAGE_BEGAN,
    (StoreState.IN_DOUBT, CallEnd.ANSWERED): _AVAILABLE_NOTHING,
    (StoreState.IN_DOUBT, CallEnd.CUT_WHILE_WAITING): _OUTAGE_BEGAN,
    (StoreState.IN_DOUBT, CallEnd.RATE_LIMITED): _OUTAGE_BEGAN,
    (StoreState.IN_DOUBT, CallEnd.FAILED): _OUTAGE_BEGAN,
    (StoreState.OVERDUE, CallEnd.ANSWERED): _OUTAGE_ENDED,
    (StoreState.OVERDUE, CallEnd.CUT_WHILE_WAITING): _OUTAGE_BEGAN,
    (StoreState.OVERDUE, CallEnd.RATE_LIMITED): _OUTAGE_BEGAN,
    (StoreState.OVERDUE, CallEnd.FAILED): _OUTAGE_BEGAN,
    (StoreState.LOST, CallEnd.ANSWERED): _OUTAGE_ENDED,
    (StoreState.LOST, CallEnd.CUT_WHILE_WAITING): _LOST_NOTHING,
    (StoreState.LOST, CallEnd.RATE_LIMITED): _LOST_NOTHING,
    (StoreState.LOST, CallEnd.FAILED): _LOST_NOTHING,
}
"""State and end of a call, and what follows. One cut or rate-limited call shows no outage if the
next one is answered, and if the store was last known to respond so shortly before that no
registration can have lapsed meanwhile (``IN_DOUBT``). Otherwise it may have been the end of an
outage (``OVERDUE``)."""


class StoreAvailability:
    """Tells outages from single calls that failed.

    A registration lapses after three heartbeats of its target without one, so an outage shorter
    than one heartbeat interval ``heartbeat_ms`` makes none lapse.
    """

    __slots__ = ("_doubt_until_ms", "_heartbeat_ms", "_state", "_told_ms", "failing_since_ms")

    def __init__(self, *, heartbeat_ms: float = DEFAULT_HEARTBEAT_MS) -> None:
        self._heartbeat_ms = heartbeat_ms
        self._state = StoreState.AVAILABLE
        self._doubt_until_ms = 0.0
        self._told_ms = float("-inf")
        self.failing_since_ms = 0.0
        """When the first call failed, unless the store is available."""

    def state(self, *, now_ms: float) -> StoreState:
        """Return the state at ``now_ms``."""
        if self._state is StoreState.IN_DOUBT and now_ms > self._doubt_until_ms:
            return StoreState.OVERDUE
        return self._state

    def on_call(self, end: CallEnd, *, confirmed_ms: float, now_ms: float) -> StoreEvent:
        """Record the end of a call; ``confirmed_ms`` is when the store last responded before it."""
        before = self.state(now_ms=now_ms)
        self._state, event = TRANSITIONS[before, end]
        if before is StoreState.AVAILABLE and self._state is not StoreState.AVAILABLE:
            self.failing_since_ms = now_ms
            self._doubt_until_ms = confirmed_ms + self._heartbeat_ms
        if event is StoreEvent.OUTAGE_ENDED and now_ms <= self._told_ms + self._heartbeat_ms:
            return StoreEvent.REACHED_AGAIN
        return event

    def on_confirmation(self, *, confirmed_ms: float) -> StoreEvent:
        """Record that another entry knows that the store responded at ``confirmed_ms``.

        If that was the end of an outage, the other entry has told for how long lapsed registrations
        may be renewed.
        """
        if self._state is StoreState.AVAILABLE or confirmed_ms <= self.failing_since_ms:
            return StoreEvent.NOTHING
        self._told_ms = confirmed_ms
        is_end = self._state is StoreState.LOST
        self._state = StoreState.AVAILABLE
        return StoreEvent.OUTAGE_ENDED if is_end else StoreEvent.NOTHING
