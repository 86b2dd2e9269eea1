"""A group of tasks that ends as soon as one of them ends."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import curio

Task = Callable[[], Coroutine[Any, Any, None]]


async def run_until_first_ends(*tasks: Task) -> None:
    """Run ``tasks`` until one of them ends, cancel the others, and raise its error if it failed.

    A plain curio task group does not raise the error of the task that ends first, so a crash
    would look like a normal exit.
    """
    async with curio.TaskGroup(wait=any) as group:
        for task in tasks:
            await group.spawn(task)
    if group.completed is not None and group.completed.exception is not None:
        raise group.completed.exception
