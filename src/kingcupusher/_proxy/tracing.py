"""Interface for tracing requests; the default implementation does nothing."""

from __future__ import annotations

from typing import Protocol

from kingcupusher._http.heads import HeaderList


class Span(Protocol):
    """The span of one request in this entry."""

    def end(self, *, status: int) -> None:
        """End the span; ``status`` is the response's status code, or 0 without a response."""
        ...


class Tracer(Protocol):
    """Starts a span for each request."""

    def begin(self, headers: HeaderList, *, service: str, request_id: bytes) -> Span:
        """Start a span and set its trace context in ``headers``, which are forwarded."""
        ...


class _NullSpan:
    __slots__ = ()

    def end(self, *, status: int) -> None:
        """Do nothing."""


class _NullTracer:
    __slots__ = ()

    def begin(
        self,
        headers: HeaderList,  # noqa: ARG002
        *,
        service: str,  # noqa: ARG002
        request_id: bytes,  # noqa: ARG002
    ) -> Span:
        """Leave the headers unchanged."""
        return _NULL_SPAN


_NULL_SPAN = _NullSpan()
NO_TRACER: Tracer = _NullTracer()
