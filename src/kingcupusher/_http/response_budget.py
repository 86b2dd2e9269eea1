"""Memory and processor time that the responses of a process share until they are written."""

from __future__ import annotations

from collections.abc import Callable

import curio

GROWTH_STEP_BYTES = 65_536
"""A share grows in steps, at least one: the parser and the socket hold bytes, too."""


class ResponseBudget:
    """Bytes of all responses that are being read or written, at most ``limit_bytes``.

    If they are used up, the response that is being read and has the largest share is evicted, so
    that responses without end leave room for those of other callers. For the same reason, one long
    response is read on in each turn of the event loop.
    """

    __slots__ = ("_evictable", "_limit_bytes", "_turn", "used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.used_bytes = 0
        self._turn = curio.Lock()
        self._evictable: dict[ResponseShare, Callable[[], None]] = {}

    def set_evictable(self, share: ResponseShare, on_evict: Callable[[], None] | None) -> None:
        """Allow the eviction of ``share``, or forbid it with None.

        ``on_evict`` must free the memory of the response at once.
        """
        if on_evict is None:
            self._evictable.pop(share, None)
        else:
            self._evictable[share] = on_evict

    def try_reserve(self, size_bytes: int, *, largest_bytes: int) -> bool:
        """Reserve ``size_bytes`` more, evicting responses larger than ``largest_bytes`` if needed.

        Returns False if they do not fit even then.
        """
        while self.used_bytes + size_bytes > self._limit_bytes:
            largest = max(self._evictable, key=lambda share: share.size_bytes, default=None)
            if largest is None or largest.size_bytes <= largest_bytes:
                return False
            on_evict = self._evictable.pop(largest)
            largest.release()
            on_evict()
        self.used_bytes += size_bytes
        return True

    async def wait_for_turn(self) -> None:
        """Wait until no other long response has gone on in this turn of the event loop."""
        async with self._turn:
            await curio.sleep(0)

    def release(self, size_bytes: int) -> None:
        """Release bytes that were reserved."""
        self.used_bytes -= size_bytes


class ResponseShare:
    """Part of the budget that one response has reserved."""

    __slots__ = ("_budget", "size_bytes")

    def __init__(self, budget: ResponseBudget) -> None:
        self._budget = budget
        self.size_bytes = 0

    def try_begin(self) -> bool:
        """Reserve what any response takes; return False if the budget is used up."""
        return self.try_grow(0)

    def begin_reading(self, on_evict: Callable[[], None]) -> None:
        """Allow the eviction of the response until :meth:`complete`."""
        self._budget.set_evictable(self, on_evict)

    def try_grow(self, body_bytes: int) -> bool:
        """Return whether the response may have a body of ``body_bytes`` in total."""
        needed_bytes = body_bytes + GROWTH_STEP_BYTES
        missing_bytes = needed_bytes - needed_bytes % GROWTH_STEP_BYTES - self.size_bytes
        if missing_bytes <= 0:
            return True
        grown_bytes = self.size_bytes + missing_bytes
        if not self._budget.try_reserve(missing_bytes, largest_bytes=grown_bytes):
            return False
        self.size_bytes = grown_bytes
        return True

    async def wait_for_turn(self) -> None:
        """Wait until this response may go on, after a part that others must not wait for."""
        await self._budget.wait_for_turn()

    def complete(self) -> None:
        """Keep the share of a complete response until :meth:`release`."""
        self._budget.set_evictable(self, None)

    def release(self) -> None:
        """Return the share to the budget; it may be released more than once."""
        self._budget.set_evictable(self, None)
        self._budget.release(self.size_bytes)
        self.size_bytes = 0
