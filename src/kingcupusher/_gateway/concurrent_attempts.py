"""Concurrent attempts of one request."""

from __future__ import annotations

from math import inf

import curio

from kingcupusher._core import now_ms
from kingcupusher._gateway.attempt import Attempt, AttemptOutcome, AttemptResult


class ConcurrentAttempts:
    """Runs each attempt in its own task and returns results in order of completion."""

    __slots__ = ("_results", "_tasks")

    def __init__(self) -> None:
        self._results: curio.Queue = curio.Queue()
        self._tasks: dict[Attempt, curio.Task] = {}

    @property
    def running(self) -> list[Attempt]:
        """The attempts whose result was not returned yet."""
        return list(self._tasks)

    async def start(self, attempt: Attempt, *, deadline_ms: float) -> None:
        """Start one more attempt."""
        self._tasks[attempt] = await curio.spawn(self._run, attempt, deadline_ms, daemon=True)

    async def _run(self, attempt: Attempt, deadline_ms: float) -> None:
        result: AttemptResult | Exception
        try:
            result = await attempt.run(deadline_ms=deadline_ms)
        except Exception as error:
            # next_result() raises it in the task that handles the request.
            result = error
        await self._results.put((attempt, result))

    async def next_result(self, *, until_ms: float) -> AttemptResult | None:
        """Return the next result, or None if no attempt ends until ``until_ms``."""
        ended: tuple[Attempt, AttemptResult | Exception] | None
        if until_ms == inf:
            ended = await self._results.get()
        else:
            wait_s = max(0.0, (until_ms - now_ms()) / 1000.0)
            ended = await curio.ignore_after(wait_s, self._results.get)
        if ended is None:
            return None
        attempt, result = ended
        del self._tasks[attempt]
        if isinstance(result, Exception):
            raise result
        return result

    async def take_completed_success(self) -> AttemptResult | None:
        """Return a success that is complete but was not returned yet, or None."""
        while not self._results.empty():
            result = await self.next_result(until_ms=inf)
            if result is not None and result.outcome is AttemptOutcome.SUCCESS:
                return result
        return None

    async def cancel_running(self) -> None:
        """Cancel the attempts that are still in flight."""
        tasks, self._tasks = self._tasks, {}
        for task in tasks.values():
            # This task may be cancelled while it waits for the first one to end.
            await task.cancel(blocking=False)
        for task in tasks.values():
            await task.wait()
