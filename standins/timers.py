"""Kernel start with timers finer than one millisecond."""

from __future__ import annotations

import select
from collections.abc import Awaitable, Callable
from selectors import EpollSelector, SelectorKey
from typing import Any

import curio

from kingcupusher._core import now_ms

FOREVER_S = 1e9


class FineSelector(EpollSelector):
    """Waits with microsecond resolution for any number of file descriptors.

    ``epoll`` rounds timeouts up to whole milliseconds, which would add about 0.5 ms to each
    simulated service time. ``select`` does not, but takes only descriptors below 1024. The
    descriptor of the epoll object is a low number, so ``select`` waits on that one.
    """

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Return the ready descriptors after at most ``timeout`` seconds."""
        if timeout is not None and timeout > 0:
            select.select([self.fileno()], [], [], timeout)
            timeout = 0
        return super().select(timeout)


def run(main: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Run ``main`` on a kernel with fine timers."""
    return curio.run(main, *arguments, selector=FineSelector())


async def sleep_until(instant_ms: float) -> None:
    """Sleep until the monotonic clock shows ``instant_ms``."""
    remaining_ms = instant_ms - now_ms()
    if remaining_ms > 0:
        await curio.sleep(remaining_ms / 1000.0)


async def sleep_forever() -> None:
    """Sleep until cancelled."""
    while True:
        await curio.sleep(FOREVER_S)
