"""What an entry still does for its callers between the stop signal and its end."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from math import inf

import curio

from kingcupusher._core import now_ms
from kingcupusher._http.errors import DeadlineError

BALANCER_REMOVAL_MS = 3_000.0
"""The balancer checks readiness once a second and removes an entry after two failures."""
KILL_MARGIN_MS = 300.0
RESPONSE_MARGIN_MS = 200.0
"""Time to write the last responses before the end."""


class Drain:
    """Deadlines of a stop; requests that are served when they pass are interrupted.

    A request that was not sent to a target until ``last_send_ms`` is refused: its caller can retry
    at another entry, but would get no response if the target worked beyond the end of this one.
    """

    __slots__ = ("_serving", "end_ms", "last_response_ms", "last_send_ms")

    def __init__(self) -> None:
        self.last_send_ms = inf
        self.last_response_ms = inf
        self.end_ms = inf
        self._serving: set[curio.Task] = set()

    @property
    def is_started(self) -> bool:
        """Whether the entry got the stop signal."""
        return self.end_ms < inf

    def start(self, *, grace_period_ms: float, now_ms: float) -> None:
        """Set the deadlines of a stop that begins now."""
        self.end_ms = now_ms + grace_period_ms - KILL_MARGIN_MS
        self.last_response_ms = self.end_ms - RESPONSE_MARGIN_MS
        self.last_send_ms = min(now_ms + BALANCER_REMOVAL_MS, self.last_response_ms)

    def may_send(self) -> bool:
        """Return whether a request may be sent to its first target."""
        return now_ms() < self.last_send_ms

    def may_retry(self, *, typical_ms: float) -> bool:
        """Return whether the response to a retry that takes ``typical_ms`` comes in time."""
        return now_ms() + typical_ms < self.last_response_ms

    @contextmanager
    def interrupting(self, task: curio.Task) -> Iterator[None]:
        """Interrupt ``task`` within this block at the last moment for its response."""
        self._serving.add(task)
        try:
            yield
        finally:
            self._serving.discard(task)

    async def interrupt_at_deadline(self) -> None:
        """Raise :class:`DeadlineError` in the tasks that still serve a request at the deadline."""
        await curio.sleep(max(0.0, (self.last_response_ms - now_ms()) / 1000.0))
        for task in list(self._serving):
            await task.cancel(exc=DeadlineError, blocking=False)
