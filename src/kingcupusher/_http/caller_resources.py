"""What all callers of a process share: memory for their requests, and connections."""

from __future__ import annotations

from collections.abc import Callable
from random import random

from kingcupusher._http.errors import BadRequestError
from kingcupusher._http.heads import HeaderList, RequestHead, first_header_value
from kingcupusher._http.memory_budget import MemoryBudget
from kingcupusher._http.pipeline_limits import DEFAULT_CONNECTION_LIMIT, DEFAULT_MEMORY_BYTES

SHARE_STEP_BYTES = 16_384
SMALL_REQUEST_BYTES = 262_144
SMALL_RESERVE_SHARE = 0.05
"""Part of the memory that only requests of at most ``SMALL_REQUEST_BYTES`` may use."""
READING_BYTES = 131_072
"""Held for a body that is being read: the parser's input and the unread bytes of the socket."""
RECEIVE_BUFFER_BYTES = 65_536
"""Bytes that a caller sends while it is not read are held by the kernel; it doubles the number."""
FIELD_BYTES = 256
"""Objects of one parsed header field; a head of many short fields takes far more than its bytes."""
RETRY_AFTER_MS = 1_000.0
REFUSAL_LINGER_TIMEOUT_MS = 5_000.0
"""A caller that is refused while it sends reads the refusal only when it has sent its body."""
UNAVAILABLE_STATUS = 503
TOO_LARGE_STATUS = 413


class CallerResources:
    """Memory budget and connection limit of callers, and who is told about refusals.

    ``refusal_headers`` returns the headers that a refusal of a request must have.
    """

    __slots__ = ("budget", "connection_limit", "_on_refused", "_refusal_headers")

    def __init__(
        self,
        *,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        connection_limit: int = DEFAULT_CONNECTION_LIMIT,
        refusal_headers: Callable[[RequestHead], HeaderList] | None = None,
        on_refused: Callable[[BadRequestError], None] | None = None,
    ) -> None:
        self.budget = MemoryBudget(
            memory_bytes,
            step_bytes=SHARE_STEP_BYTES,
            small_bytes=SMALL_REQUEST_BYTES,
            small_reserve_bytes=int(memory_bytes * SMALL_RESERVE_SHARE),
        )
        self.connection_limit = connection_limit
        self._refusal_headers = refusal_headers
        self._on_refused = on_refused

    def check_announced_length(self, head: RequestHead, *, max_body_bytes: int) -> None:
        """Raise :class:`BadRequestError` if the announced body exceeds a limit."""
        value = first_header_value(head.headers, b"content-length")
        if value is None:
            return
        length = int(value)
        if length > max_body_bytes:
            raise BadRequestError(TOO_LARGE_STATUS, "the request body is too large")
        if length + READING_BYTES > self.budget.limit_bytes_for(length):
            raise memory_used_up()

    def headers_of_refusal(self, head: RequestHead | None) -> HeaderList:
        """Return the headers of a refusal; ``head`` is None if it is incomplete."""
        if head is None or self._refusal_headers is None:
            return []
        return self._refusal_headers(head)

    def record_refusal(self, error: BadRequestError) -> None:
        """Tell the observer that a request was rejected."""
        if self._on_refused is not None:
            self._on_refused(error)


def memory_used_up() -> BadRequestError:
    """Return the refusal of a request that finds no room; random times spread the callers."""
    return BadRequestError(
        UNAVAILABLE_STATUS,
        "the memory for requests is used up",
        retry_after_ms=RETRY_AFTER_MS * (0.5 + random()),
    )


def head_bytes(head: RequestHead) -> int:
    """Return what the head of a request takes in memory."""
    fields = sum(len(name) + len(value) + FIELD_BYTES for name, value in head.headers)
    return len(head.target) + fields
