"""Events that are reported to the load balancer after a failed attempt."""

from __future__ import annotations

import curio

from kingcupusher._http.errors import (
    CallerDisconnectedError,
    ConnectError,
    ConnectTimeoutError,
    PoolLimitError,
    ResetError,
)
from kingcupusher._proxy.errors import NotSentError, RefusedError
from kingcupusher._proxy.load_balancer import (
    AbandonedEvent,
    FailureEvent,
    NotSentEvent,
    RefusalEvent,
    ResetEvent,
    TargetEvent,
)

EVENT_BY_ERROR: tuple[tuple[type[BaseException], type[TargetEvent]], ...] = (
    (PoolLimitError, NotSentEvent),
    (NotSentError, NotSentEvent),
    (RefusedError, RefusalEvent),
    (CallerDisconnectedError, AbandonedEvent),
    (curio.TaskCancelled, AbandonedEvent),
    (ResetError, ResetEvent),
    (ConnectTimeoutError, FailureEvent),
    (ConnectError, ResetEvent),
)
"""What an error means for the target; the first entry that fits applies, or else a failure."""


def event_of(error: BaseException) -> type[TargetEvent]:
    """Return the kind of event to report after ``error``."""
    matches = (event for kind, event in EVENT_BY_ERROR if isinstance(error, kind))
    return next(matches, FailureEvent)
