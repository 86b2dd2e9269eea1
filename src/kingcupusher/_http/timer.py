"""Deadline of a request as one curio timeout."""

from __future__ import annotations

from types import TracebackType

import curio
from curio.traps import _set_timeout, _unset_timeout

from kingcupusher._http.errors import DeadlineError


class RequestTimer:
    """Context manager that raises :class:`DeadlineError` in its task at a deadline.

    ``curio.timeout_after`` makes four calls into the curio kernel instead of two, and logs a
    warning when a block ends just after its deadline, which is normal here. This must be the
    outermost timeout of its task; ``timeout_after`` may be used inside.
    """

    __slots__ = ("_deadline_s", "_task")

    def __init__(self, task: curio.Task, *, deadline_ms: float) -> None:
        self._task = task
        self._deadline_s = deadline_ms / 1000.0

    async def __aenter__(self) -> None:
        self._task._deadlines.append(self._deadline_s)
        await _set_timeout(self._deadline_s)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._task._deadlines.pop()
        await _unset_timeout(None)
        if kind is curio.TaskTimeout or kind is curio.TimeoutCancellationError:
            raise DeadlineError("the deadline of the request passed") from None
