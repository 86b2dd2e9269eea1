"""Errors of the entry process."""

from __future__ import annotations

from kingcupusher._core import KingcupusherError


class EntryError(KingcupusherError):
    """Base of the errors that end an entry process."""


class SeatLostError(EntryError):
    """Raised when another entry took the seat after this entry's lease had ended."""


class TracesUnavailableError(EntryError):
    """Raised when tracing is enabled and the OpenTelemetry SDK is not installed."""

    def __init__(self, percent: float) -> None:
        super().__init__(
            f"--trace-sample-percent is {percent:g}, but opentelemetry-sdk is not installed; "
            "install kingcupusher[traces] or use 0"
        )
