"""Creates the tracer of an entry from its settings."""

from __future__ import annotations

from kingcupusher._entry.errors import TracesUnavailableError
from kingcupusher._proxy import NO_TRACER, Tracer
from kingcupusher._settings import EntrySettings


def create_tracer(settings: EntrySettings) -> Tracer:
    """Return a tracer; the OpenTelemetry SDK is imported only if tracing is enabled."""
    percent = settings.trace_sample_percent
    if not percent:
        return NO_TRACER
    try:
        from kingcupusher._observe.traces import SamplingTracer
    except ModuleNotFoundError as error:
        raise TracesUnavailableError(percent) from error
    return SamplingTracer(sample_percent=percent, vm=settings.vm_id, zone=settings.zone)
