"""Hook by which the request path traces requests; the default does nothing."""

from __future__ import annotations

from typing import Protocol

from kingcupusher._http.heads import HeaderList


class Span(Protocol):
    """The time that one request spends in this entry."""

    def end(self, *, status: int) -> None:
        """End the span; ``status`` is that of the response, or 0 if none was begun."""
        ...


class Tracer(Protocol):
    """Starts a span for each request."""

    def begin(self, headers: HeaderList, *, service: str, request_id: bytes) -> Span:
        """Start a span and put its trace context into ``headers``, which are passed on."""
        ...


class _NoSpan:
    __slots__ = ()

    def end(self, *, status: int) -> None:
        """Do nothing."""


class _NoTracer:
    __slots__ = ()

    def begin(
        self,
        headers: HeaderList,  # noqa: ARG002
        *,
        service: str,  # noqa: ARG002
        request_id: bytes,  # noqa: ARG002
    ) -> Span:
        """Leave the headers unchanged."""
        return _NO_SPAN


_NO_SPAN = _NoSpan()
NO_TRACER: Tracer = _NoTracer()
