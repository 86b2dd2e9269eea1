"""Structured logs: one JSON object per line on standard error."""

from __future__ import annotations

import sys
from typing import Any

import logbook
import msgspec

from kingcupusher._observe.events import LineRateLimiter

LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}
WARNINGS_PER_S = 10.0


class JsonHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each record as one JSON object that includes ``process_fields``."""

    def __init__(self, level: str, **process_fields: str) -> None:
        super().__init__(sys.stderr, level=LEVELS[level], bubble=False)
        self._process_fields = process_fields

    def format(self, record: logbook.LogRecord) -> str:
        """Return the record as one line of JSON."""
        fields = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
            "logger": record.channel,
            "message": record.message,
            **self._process_fields,
            **record.kwargs,
        }
        if record.exc_info:
            fields["exception"] = record.formatted_exception
        return msgspec.json.encode(fields, enc_hook=str).decode()


class RateLimitedLogger:
    """Logger for the request path; drops and counts the records above a rate limit."""

    __slots__ = ("_limiter", "_logger")

    def __init__(self, name: str) -> None:
        self._logger = logbook.Logger(name)
        self._limiter = LineRateLimiter(WARNINGS_PER_S)

    def warning(self, message: str, **fields: Any) -> None:
        """Log a warning with ``fields`` unless the rate limit is exceeded."""
        if not self._limiter.try_take():
            return
        if self._limiter.dropped_lines:
            fields["dropped_records"] = self._limiter.dropped_lines
            self._limiter.dropped_lines = 0
        self._logger.warning(message, **fields)
