"""Memory and processor time that messages of one kind share within a process."""

from __future__ import annotations

from collections.abc import Callable

import curio

GROWTH_STEP_BYTES = 65_536
"""A share grows in steps, at least one: the parser and the socket hold bytes, too."""


class MemoryBudget:
    """Bytes of all messages that are being read or held, at most ``limit_bytes``.

    If they are used up, the message that is being read and has the largest share is evicted, so
    that messages without end leave room for those of others. For the same reason, one long message
    is read on in each turn of the event loop. ``small_reserve_bytes`` are kept for messages of at
    most ``small_bytes``, because complete messages are not evicted.
    """

    __slots__ = (
        "_evictable",
        "_limit_bytes",
        "_small_bytes",
        "_small_reserve_bytes",
        "_turn",
        "evicted_count",
        "step_bytes",
        "used_bytes",
    )

    def __init__(
        self,
        limit_bytes: int,
        *,
        step_bytes: int = GROWTH_STEP_BYTES,
        small_bytes: int = 0,
        small_reserve_bytes: int = 0,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._small_bytes = small_bytes
        self._small_reserve_bytes = small_reserve_bytes
        self.step_bytes = step_bytes
        self.used_bytes = 0
        self.evicted_count = 0
        self._turn = curio.Lock()
        self._evictable: dict[MemoryShare, Callable[[], None]] = {}

    def set_evictable(self, share: MemoryShare, on_evict: Callable[[], None] | None) -> None:
        """Allow the eviction of ``share``, or forbid it with None.

        ``on_evict`` must free the memory of the message at once.
        """
        if on_evict is None:
            self._evictable.pop(share, None)
        else:
            self._evictable[share] = on_evict

    def limit_bytes_for(self, share_bytes: int) -> int:
        """Return what the budget may hold in total when a share grows to ``share_bytes``."""
        if share_bytes <= self._small_bytes:
            return self._limit_bytes
        return self._limit_bytes - self._small_reserve_bytes

    def try_reserve(self, size_bytes: int, *, largest_bytes: int) -> bool:
        """Reserve ``size_bytes`` more, evicting messages larger than ``largest_bytes`` if needed.

        ``largest_bytes`` is the share of the message afterwards. Returns False if the bytes do not
        fit even then.
        """
        limit_bytes = self.limit_bytes_for(largest_bytes)
        while self.used_bytes + size_bytes > limit_bytes:
            largest = max(self._evictable, key=lambda share: share.size_bytes, default=None)
            if largest is None or largest.size_bytes <= largest_bytes:
                return False
            on_evict = self._evictable.pop(largest)
            largest.release()
            self.evicted_count += 1
            on_evict()
        self.used_bytes += size_bytes
        return True

    async def wait_for_turn(self) -> None:
        """Wait until no other long message has gone on in this turn of the event loop."""
        async with self._turn:
            await curio.sleep(0)

    def release(self, size_bytes: int) -> None:
        """Release bytes that were reserved."""
        self.used_bytes -= size_bytes


class MemoryShare:
    """Part of the budget that one message has reserved."""

    __slots__ = ("_budget", "size_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size_bytes = 0

    def try_begin(self) -> bool:
        """Reserve what any message takes; return False if the budget is used up."""
        return self.try_grow(0)

    def begin_reading(self, on_evict: Callable[[], None]) -> None:
        """Allow the eviction of the message until :meth:`complete`."""
        self._budget.set_evictable(self, on_evict)

    def try_grow(self, body_bytes: int) -> bool:
        """Return whether the message may take ``body_bytes`` in total."""
        missing_bytes = self._rounded_bytes(body_bytes) - self.size_bytes
        if missing_bytes <= 0:
            return True
        grown_bytes = self.size_bytes + missing_bytes
        if not self._budget.try_reserve(missing_bytes, largest_bytes=grown_bytes):
            return False
        self.size_bytes = grown_bytes
        return True

    def shrink(self, body_bytes: int) -> None:
        """Return what the message does not take any more, now that it has ``body_bytes``."""
        excess_bytes = self.size_bytes - self._rounded_bytes(body_bytes)
        if excess_bytes > 0:
            self._budget.release(excess_bytes)
            self.size_bytes -= excess_bytes

    def _rounded_bytes(self, body_bytes: int) -> int:
        step_bytes = self._budget.step_bytes
        return (body_bytes // step_bytes + 1) * step_bytes

    async def wait_for_turn(self) -> None:
        """Wait until this message may go on, after a part that others must not wait for."""
        await self._budget.wait_for_turn()

    def complete(self) -> None:
        """Keep the share of a complete message until :meth:`release`."""
        self._budget.set_evictable(self, None)

    def release(self) -> None:
        """Return the share to the budget; it may be released more than once."""
        self._budget.set_evictable(self, None)
        self._budget.release(self.size_bytes)
        self.size_bytes = 0
