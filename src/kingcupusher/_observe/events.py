"""Structured event log on standard output, with bounded rate and memory and no blocking."""

from __future__ import annotations

import os
import sys
from time import time

import msgspec

from kingcupusher._core import now_ms
from kingcupusher._limits.token_bucket import TokenBucket

REQUEST_LINES_PER_S = 200.0
EVENT_LINES_PER_S = 50.0
BURST_S = 2.0
MAX_BUFFERED_BYTES = 262_144


class LineRateLimiter:
    """Token bucket for log lines that counts the dropped ones."""

    __slots__ = ("_bucket", "dropped_lines")

    def __init__(self, per_s: float) -> None:
        self._bucket = TokenBucket(per_s=per_s, burst=per_s * BURST_S, now_ms=now_ms())
        self.dropped_lines = 0

    def try_take(self) -> bool:
        """Take a token for one line; return whether it may be written now."""
        if self._bucket.try_take(now_ms=now_ms()):
            return True
        self.dropped_lines += 1
        return False


class EventLog:
    """Writes one JSON object per line to a file descriptor without blocking.

    If the pipe is full, up to ``MAX_BUFFERED_BYTES`` are buffered; further lines are dropped and
    counted. Each kind of event has a rate limit of its own.
    """

    __slots__ = (
        "_buffer",
        "_descriptor",
        "_encode",
        "_limiters",
        "_process_fields",
        "dropped_lines",
    )

    def __init__(self, *, descriptor: int | None = None, **process_fields: str) -> None:
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self._descriptor, False)
        self._process_fields = process_fields
        self._encode = msgspec.json.Encoder(enc_hook=str).encode
        self._buffer = bytearray()
        self._limiters: dict[str, LineRateLimiter] = {}
        self.dropped_lines = 0

    def event(self, message: str, **fields: object) -> None:
        """Log a change of the state of the process."""
        self._write(message, EVENT_LINES_PER_S, fields)

    def request_event(self, message: str, **fields: object) -> None:
        """Log an event of one request; the rate limit is higher than that of ``event``."""
        self._write(message, REQUEST_LINES_PER_S, fields)

    def _write(self, message: str, per_s: float, fields: dict[str, object]) -> None:
        limiter = self._limiters.get(message)
        if limiter is None:
            limiter = self._limiters[message] = LineRateLimiter(per_s)
        if not limiter.try_take():
            return
        record = {"time": round(time(), 4), "event": message, **self._process_fields, **fields}
        if limiter.dropped_lines:
            record["dropped_lines"] = limiter.dropped_lines
            limiter.dropped_lines = 0
        self._append(self._encode(record) + b"\n")

    def _append(self, line: bytes) -> None:
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines and not self._buffer:
            line = (
                self._encode({"event": "lines dropped", "count": self.dropped_lines}) + b"\n" + line
            )
            self.dropped_lines = 0
        self._buffer += line
        self.flush()

    def flush(self) -> None:
        """Write as many buffered bytes as the pipe accepts now."""
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe; the process must keep serving requests.
            self.dropped_lines += 1
            self._buffer.clear()
            return
        del self._buffer[:written]
