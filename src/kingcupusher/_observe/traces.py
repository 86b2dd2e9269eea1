"""Traces: one span per hop, with W3C trace context, as JSON lines on standard error.

This module imports the OpenTelemetry SDK, so it is imported only if requests are traced.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import Any, TextIO

import msgspec
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span, SpanKind, format_span_id, format_trace_id, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

HeaderList = list[tuple[bytes, bytes]]

CONTEXT_HEADERS = (b"traceparent", b"tracestate")
NS_PER_MS = 1_000_000


class JsonSpanExporter(SpanExporter):
    """Writes each span as one JSON object per line."""

    def __init__(self, stream: TextIO, **process_fields: str) -> None:
        self._stream = stream
        self._process_fields = process_fields

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write ``spans``, which have ended."""
        lines = [msgspec.json.encode(self._span_fields(span)).decode() + "\n" for span in spans]
        self._stream.write("".join(lines))
        self._stream.flush()
        return SpanExportResult.SUCCESS

    def _span_fields(self, span: ReadableSpan) -> dict[str, Any]:
        context, parent = span.context, span.parent
        start_ns, end_ns = span.start_time or 0, span.end_time or 0
        return {
            "logger": "trace",
            "name": span.name,
            "trace_id": format_trace_id(context.trace_id) if context else None,
            "span_id": format_span_id(context.span_id) if context else None,
            "parent_span_id": format_span_id(parent.span_id) if parent else None,
            "start_unix_ms": start_ns / NS_PER_MS,
            "duration_ms": (end_ns - start_ns) / NS_PER_MS,
            **self._process_fields,
            **dict(span.attributes or {}),
        }


class RequestSpan:
    """The span of one request in this entry."""

    __slots__ = ("_span",)

    def __init__(self, span: Span) -> None:
        self._span = span

    def end(self, *, status: int) -> None:
        """End the span, which exports it if it is sampled."""
        self._span.set_attribute("status", status)
        self._span.end()


class SamplingTracer:
    """Traces a share of the requests; a request with a trace context obeys its sampled flag."""

    __slots__ = ("_propagator", "_tracer")

    def __init__(
        self, *, sample_percent: float, stream: TextIO | None = None, **process_fields: str
    ) -> None:
        sampler = ParentBased(root=TraceIdRatioBased(sample_percent / 100.0))
        # An explicit empty resource; the default one is detected from the environment.
        provider = TracerProvider(sampler=sampler, resource=Resource({}), shutdown_on_exit=False)
        exporter = JsonSpanExporter(stream or sys.stderr, **process_fields)
        # The batch processor would start a thread.
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        self._tracer = provider.get_tracer("kingcupusher")
        self._propagator = TraceContextTextMapPropagator()

    def begin(self, headers: HeaderList, *, service: str, request_id: bytes) -> RequestSpan:
        """Start a span and replace the trace context in ``headers`` by that of the span."""
        parent = self._propagator.extract(_pop_context(headers))
        attributes = {"service": service, "request_id": request_id.decode("latin-1")}
        span = self._tracer.start_span(
            "request", context=parent, kind=SpanKind.SERVER, attributes=attributes
        )
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, context=set_span_in_context(span))
        headers += [(name.encode(), value.encode("latin-1")) for name, value in carrier.items()]
        return RequestSpan(span)


def _pop_context(headers: HeaderList) -> dict[str, list[str]]:
    """Remove the trace context from ``headers`` and return it.

    A repeated ``traceparent`` is not valid, and the SDK would take the first one.
    """
    carrier: dict[str, list[str]] = {}
    for name, value in headers:
        if name in CONTEXT_HEADERS:
            carrier.setdefault(name.decode(), []).append(value.decode("latin-1"))
    if carrier:
        headers[:] = [header for header in headers if header[0] not in CONTEXT_HEADERS]
    return carrier if len(carrier.get("traceparent", [])) == 1 else {}
