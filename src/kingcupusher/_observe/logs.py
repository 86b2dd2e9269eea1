"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import sys
from typing import Any

import logbook
import msgspec

from kingcupusher._core import now_ms

LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}
BURST = 20
REFILL_PER_S = 10.0


class JsonHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each record as one JSON object with the fields of the process."""

    def __init__(self, level: str, **process_fields: str) -> None:
        super().__init__(sys.stderr, level=LEVELS[level], bubble=False)
        self._process_fields = process_fields

    def format(self, record: logbook.LogRecord) -> str:
        """Return the record as one line of JSON."""
        entry = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
            "logger": record.channel,
            "message": record.message,
            **self._process_fields,
            **record.kwargs,
        }
        if record.exc_info:
            entry["exception"] = record.formatted_exception
        return msgspec.json.encode(entry, enc_hook=str).decode()


class RateLimitedLogger:
    """Logger for the request path: drops records above a rate and counts the dropped ones."""

    __slots__ = ("_dropped", "_logger", "_refilled_ms", "_tokens")

    def __init__(self, name: str) -> None:
        self._logger = logbook.Logger(name)
        self._tokens = float(BURST)
        self._refilled_ms = now_ms()
        self._dropped = 0

    def warning(self, message: str, **fields: Any) -> None:
        """Log a warning with ``fields`` unless the rate is exceeded."""
        if not self._take():
            self._dropped += 1
            return
        if self._dropped:
            fields["dropped_records"] = self._dropped
            self._dropped = 0
        self._logger.warning(message, **fields)

    def _take(self) -> bool:
        now = now_ms()
        refill = (now - self._refilled_ms) / 1000.0 * REFILL_PER_S
        self._tokens = min(float(BURST), self._tokens + refill)
        self._refilled_ms = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
