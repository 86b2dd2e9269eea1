"""Curio kernel whose timers have microsecond resolution."""

from __future__ import annotations

import select
from collections.abc import Awaitable, Callable
from selectors import EpollSelector, SelectorKey
from typing import Any

import curio

from kingcupusher._core import now_ms

FOREVER_S = 1e9


class MicrosecondSelector(EpollSelector):
    """Selector with timeouts in microseconds and without a limit on file descriptors.

    ``epoll`` rounds timeouts up to whole milliseconds, which adds about 0.5 ms to each
    simulated service time. ``select`` does not, but accepts only descriptors below 1024, so it
    waits on the descriptor of the epoll object, which is a low number.
    """

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Return the ready descriptors; wait at most ``timeout`` seconds."""
        if timeout is not None and timeout > 0:
            select.select([self.fileno()], [], [], timeout)
            timeout = 0
        return super().select(timeout)


def run(main: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Run ``main`` on a kernel with :class:`MicrosecondSelector`."""
    return curio.run(main, *arguments, selector=MicrosecondSelector())


async def sleep_until(instant_ms: float) -> None:
    """Sleep until ``instant_ms`` of the monotonic clock."""
    remaining_ms = instant_ms - now_ms()
    if remaining_ms > 0:
        await curio.sleep(remaining_ms / 1000.0)


async def sleep_forever() -> None:
    """Sleep until cancelled."""
    while True:
        await curio.sleep(FOREVER_S)
