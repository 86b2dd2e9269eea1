"""Log of a target: executions by request id, probes and counters."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct, field


class Progress(Enum):
    """How far an execution has come; ``EXPIRED`` is past its deadline."""

    STARTED = "started"
    DONE = "done"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class Execution(Struct):
    """One execution of a request; ``started_ms`` is a time of the monotonic clock of the host."""

    request_id: str
    started_ms: float
    progress: Progress = Progress.STARTED


class Counters(Struct):
    """Totals since the start of the process, across restarts of the simulated server."""

    requests: int = 0
    last_request_ms: float = 0.0
    shed: int = 0
    refused_draining: int = 0
    cancelled_queued: int = 0
    expired_queued: int = 0
    failed_fast: int = 0
    probes: int = 0
    fall_overs: int = 0
    restarts: int = 0
    max_concurrency_cold: int = 0
    max_concurrency: int = 0
    connections_opened: int = 0
    connections_refused: int = 0
    max_connections: int = 0


class ActivityLog(Struct):
    """Executions in order of their start, counters, and the times of all probes."""

    executions: list[Execution] = field(default_factory=list)
    counters: Counters = field(default_factory=Counters)
    probes_ms: list[float] = field(default_factory=list)

    def record_start(self, request_id: str, *, at_ms: float) -> Execution:
        """Log the start of an execution."""
        execution = Execution(request_id, at_ms)
        self.executions.append(execution)
        return execution
