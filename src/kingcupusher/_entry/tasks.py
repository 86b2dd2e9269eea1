"""Tasks that belong together: when one ends, the others end too."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import curio

Task = Callable[[], Coroutine[Any, Any, None]]


async def run_until_first_ends(*tasks: Task) -> None:
    """Run ``tasks`` until one of them ends, cancel the others, and raise its error if it failed.

    A plain task group keeps the error of its first task to itself, so that a crash would look
    like an ordinary end.
    """
    async with curio.TaskGroup(wait=any) as group:
        for task in tasks:
            await group.spawn(task)
    if group.completed is not None and group.completed.exception is not None:
        raise group.completed.exception
