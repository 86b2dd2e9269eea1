"""Redirects the log messages of curio, the event loop library, to the event log."""

from __future__ import annotations

import logging

from kingcupusher._observe.events import EventLog

LIBRARY_LOGGER = "curio"
TIMEOUT_LOGGER = "curio.time"
"""Warns when a block ends just after its timeout, which is frequent on a slow VM."""
MAX_MESSAGE_CHARS = 300


class RuntimeLogHandler(logging.Handler):
    """Writes each message as one event, within the rate limit of the event log."""

    def __init__(self, log: EventLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write ``record`` with its exception and the line that raised it."""
        error = record.exc_info[1] if record.exc_info else None
        self._log.event(
            "runtime message",
            level=record.levelname.lower(),
            source=record.name,
            text=record.getMessage()[:MAX_MESSAGE_CHARS],
            error=repr(error)[:MAX_MESSAGE_CHARS] if error is not None else None,
            place=_raised_at(error),
        )


def _raised_at(error: BaseException | None) -> str | None:
    """Return file and line at which ``error`` was raised."""
    trace = error.__traceback__ if error is not None else None
    if trace is None:
        return None
    while trace.tb_next is not None:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"


def log_runtime_messages(log: EventLog) -> None:
    """Redirect the messages of curio to ``log``; writes to standard error may block."""
    logger = logging.getLogger(LIBRARY_LOGGER)
    logger.handlers = [RuntimeLogHandler(log)]
    logger.propagate = False
    logging.getLogger(TIMEOUT_LOGGER).setLevel(logging.ERROR)
