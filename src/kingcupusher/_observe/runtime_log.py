"""Passes the messages of the event loop library on to the process's log."""

from __future__ import annotations

import logging

from kingcupusher._observe.events import EventLog

LIBRARY = "curio"
LATE_TIMERS = "curio.time"
"""Says that a block ended just after its timeout, which happens all the time on a slow VM."""
MAX_MESSAGE_CHARS = 300


class RuntimeLogHandler(logging.Handler):
    """Writes each message as one event, within the bounds of the log."""

    def __init__(self, log: EventLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write ``record`` with the error that it tells of and the place of that error."""
        error = record.exc_info[1] if record.exc_info else None
        self._log.event(
            "runtime message",
            level=record.levelname.lower(),
            source=record.name,
            text=record.getMessage()[:MAX_MESSAGE_CHARS],
            error=repr(error)[:MAX_MESSAGE_CHARS] if error is not None else None,
            place=_place(error),
        )


def _place(error: BaseException | None) -> str | None:
    """Return the file and line at which ``error`` was raised."""
    trace = error.__traceback__ if error is not None else None
    if trace is None:
        return None
    while trace.tb_next is not None:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"


def log_runtime_messages(log: EventLog) -> None:
    """Send the library's messages to ``log`` instead of standard error, which may block."""
    logger = logging.getLogger(LIBRARY)
    logger.handlers = [RuntimeLogHandler(log)]
    logger.propagate = False
    logging.getLogger(LATE_TIMERS).setLevel(logging.ERROR)
