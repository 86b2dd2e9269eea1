"""Memory that all responses of a process may take while they are read."""

from __future__ import annotations

SMALL_RESPONSE_BYTES = 1_048_576
"""Responses up to this size always have room, also beside large ones that never end."""


class ResponseMemory:
    """Bytes of large responses that are being read, at most ``limit_bytes``."""

    __slots__ = ("_limit_bytes", "_used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserve ``size_bytes`` more; return False if they would exceed the limit."""
        if self._used_bytes + size_bytes > self._limit_bytes:
            return False
        self._used_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Release bytes that were reserved."""
        self._used_bytes -= size_bytes


class ResponseReservation:
    """Part of the memory that one response has reserved, released at the end of its context."""

    __slots__ = ("_memory", "_reserved_bytes")

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
        self._reserved_bytes = 0

    def __enter__(self) -> ResponseReservation:
        return self

    def __exit__(self, *_: object) -> None:
        self._memory.release(self._reserved_bytes)

    def try_grow(self, size_bytes: int) -> bool:
        """Return whether the response may have ``size_bytes`` in total."""
        missing_bytes = size_bytes - SMALL_RESPONSE_BYTES - self._reserved_bytes
        if missing_bytes <= 0:
            return True
        if not self._memory.try_reserve(missing_bytes):
            return False
        self._reserved_bytes += missing_bytes
        return True
