"""CPU time of the log lines of one request, measured with the log on and off in one run.

Run with ``python -m bench.log_cost``. A request has three lines: choice, send and end. With the log
off, the counters are kept and the lines are dropped. The result is the mean of the lowest tenth of
many batches, as CPU times vary on a shared machine.
"""

from __future__ import annotations

import os
import statistics
from collections.abc import Callable
from time import process_time

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._discovery import Target
from kingcupusher._discovery.model import TargetRegistration
from kingcupusher._gateway.attempt import AttemptOutcome, AttemptResult
from kingcupusher._gateway.request_log import RequestLog
from kingcupusher._gateway.selector import ProbeResults
from kingcupusher._observe.events import EventLog
from kingcupusher._observe.metrics_registry import Metrics
from kingcupusher._routing.load_reading import LoadReading

BATCHES = 300
REQUESTS_PER_BATCH = 100
READ_BYTES = 1_000_000


class _NullLog:
    """Log that discards all lines."""

    def request_event(self, message: str, **fields: object) -> None:
        """Discard a line."""


class _FakeAttempt:
    """Attempt with the attributes that the request log reads."""

    def __init__(self) -> None:
        registration = TargetRegistration(
            target_id="i-5c2ebd970f",
            service="holdings",
            address=Address("10.0.0.1", 80),
            zone="a",
            slots=3,
            is_draining=False,
            cold_left_ms=0.0,
            born_unix_ms=1,
        )
        self.target = Target(registration, now_ms=now_ms())
        self.reading = LoadReading(
            running=1,
            waiting=0,
            slots=3,
            slowness_percent=100,
            cold_left_ms=0.0,
            is_healthy=True,
            read_ms=now_ms(),
        )
        self.probed = self
        self.sent_ms = self.ended_ms = now_ms()


def _batch_us(log: object) -> float:
    metrics, attempt = Metrics(), _FakeAttempt()
    probe_results = ProbeResults([], probed_count=5, response_count=5, elapsed_ms=3.2)
    started_s = process_time()
    for number in range(REQUESTS_PER_BATCH):
        request_log = RequestLog(b"%016d" % number, log=log, metrics=metrics)
        request_log.service = "holdings"
        request_log.record_choice(probe_results, attempt)
        request_log.record_attempt(AttemptResult(attempt, AttemptOutcome.SUCCESS))
        request_log.record_end(
            200, "delivered", route="r1", routes_version=7, sends=1, received_ms=now_ms()
        )
    return (process_time() - started_s) / REQUESTS_PER_BATCH * 1e6


def _lowest_tenth_us(batch: Callable[[], float]) -> float:
    times = sorted(batch() for _ in range(BATCHES))
    return statistics.mean(times[: BATCHES // 10])


def main() -> None:
    """Print the CPU time of the log lines of a request, in microseconds."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)

    def with_log() -> float:
        log = EventLog(descriptor=writer, entry="e1", zone="a")
        cpu_us = _batch_us(log)
        log.flush()
        os.read(reader, READ_BYTES)
        return cpu_us

    on_us, off_us = _lowest_tenth_us(with_log), _lowest_tenth_us(lambda: _batch_us(_NullLog()))
    print(f"log on {on_us:.1f} us, off {off_us:.1f} us, lines {on_us - off_us:.1f} us a request")


if __name__ == "__main__":
    main()
