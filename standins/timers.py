"""Kernel start with fine timers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from selectors import SelectSelector
from typing import Any

import curio

from kingcupusher._core import now_ms

FOREVER_S = 1e9


def run(main: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Run ``main`` on a kernel whose timers have microsecond resolution.

    ``epoll`` rounds timeouts up to whole milliseconds, which would add about 0.5 ms to each
    simulated service time. ``select`` does not, but takes only file descriptors below 1024.
    """
    return curio.run(main, *arguments, selector=SelectSelector())


async def sleep_until(instant_ms: float) -> None:
    """Sleep until the monotonic clock shows ``instant_ms``."""
    remaining_ms = instant_ms - now_ms()
    if remaining_ms > 0:
        await curio.sleep(remaining_ms / 1000.0)


async def sleep_forever() -> None:
    """Sleep until cancelled."""
    while True:
        await curio.sleep(FOREVER_S)
