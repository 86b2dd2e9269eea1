"""Bounded structured log on standard output that never waits for its reader."""

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
MAX_UNWRITTEN_BYTES = 262_144


class LineBudget:
    """Allows a number of lines a second and counts those above it."""

    __slots__ = ("_bucket", "dropped_lines")

    def __init__(self, per_s: float) -> None:
        self._bucket = TokenBucket(per_s=per_s, burst=per_s * BURST_S, now_ms=now_ms())
        self.dropped_lines = 0

    def try_take(self) -> bool:
        """Return whether one more line may be written now."""
        if self._bucket.try_take(now_ms=now_ms()):
            return True
        self.dropped_lines += 1
        return False


class EventLog:
    """Writes one JSON object a line.

    A reader that stops reading costs lines, never time: what the pipe does not take at once is
    kept up to ``MAX_UNWRITTEN_BYTES``, and further lines are counted as dropped.
    """

    __slots__ = ("_budgets", "_descriptor", "_encode", "_fields", "_unwritten", "dropped_lines")

    def __init__(self, *, descriptor: int | None = None, **process_fields: str) -> None:
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self._descriptor, False)
        self._fields = process_fields
        self._encode = msgspec.json.Encoder(enc_hook=str).encode
        self._unwritten = bytearray()
        self._budgets: dict[str, LineBudget] = {}
        self.dropped_lines = 0

    def event(self, message: str, **fields: object) -> None:
        """Log a change of what the process believes or does."""
        self._write(message, EVENT_LINES_PER_S, fields)

    def request_event(self, message: str, **fields: object) -> None:
        """Log a decision on a request."""
        self._write(message, REQUEST_LINES_PER_S, fields)

    def _write(self, message: str, per_s: float, fields: dict[str, object]) -> None:
        budget = self._budgets.get(message)
        if budget is None:
            budget = self._budgets[message] = LineBudget(per_s)
        if not budget.try_take():
            return
        entry = {"time": round(time(), 4), "event": message, **self._fields, **fields}
        if budget.dropped_lines:
            entry["dropped_lines"] = budget.dropped_lines
            budget.dropped_lines = 0
        self._put(self._encode(entry) + b"\n")

    def _put(self, line: bytes) -> None:
        if len(self._unwritten) + len(line) > MAX_UNWRITTEN_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines and not self._unwritten:
            line = (
                self._encode({"event": "lines dropped", "count": self.dropped_lines}) + b"\n" + line
            )
            self.dropped_lines = 0
        self._unwritten += line
        self.flush()

    def flush(self) -> None:
        """Write what the pipe takes now."""
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return
        except OSError:
            # Nobody can read the log any more; the process must go on serving.
            self.dropped_lines += 1
            self._unwritten.clear()
            return
        del self._unwritten[:written]
