"""Summary of a load run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from msgspec import Struct

from standins.load.outcome import Outcome
from standins.load.runner import RequestRecord
from standins.target.activity_log import Execution, Progress

SENT_LATE_MS = 5.0


class LatencyQuantiles(Struct, frozen=True, kw_only=True):
    """Latency quantiles of the requests with outcome ``WHOLE``."""

    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class ExecutionComparison(Struct, kw_only=True):
    """Numbers of requests whose outcome and executions at the targets conflict."""

    duplicates: int = 0
    repeats: int = 0
    not_run_but_ran: int = 0
    whole_but_not_done: int = 0


class Summary(Struct, kw_only=True):
    """Result of a load run.

    ``duplicates`` counts non-idempotent requests that ran more than once, ``repeats`` idempotent
    ones. ``sent_late`` counts requests that the load tool started more than 5 ms late.
    """

    requests: int
    whole: int
    not_run: int
    unknown: int
    broken: int
    error: int
    non_idempotent: int
    sent_late: int
    latency: LatencyQuantiles
    executions: ExecutionComparison | None
    details: dict[str, int]


def quantile(ordered: Sequence[float], share: float) -> float:
    """Return the ``share`` quantile of sorted values by nearest rank, or 0 for no values."""
    if not ordered:
        return 0.0
    index = min(len(ordered) - 1, max(0, -int(-share * len(ordered) // 1) - 1))
    return ordered[index]


def summarise_latency(latencies_ms: Sequence[float]) -> LatencyQuantiles:
    """Return the quantiles of unsorted latencies."""
    ordered = sorted(latencies_ms)
    return LatencyQuantiles(
        p50_ms=round(quantile(ordered, 0.5), 3),
        p90_ms=round(quantile(ordered, 0.9), 3),
        p99_ms=round(quantile(ordered, 0.99), 3),
        p999_ms=round(quantile(ordered, 0.999), 3),
        max_ms=round(quantile(ordered, 1.0), 3),
    )


def compare_executions(
    records: list[RequestRecord], executions: list[Execution]
) -> ExecutionComparison:
    """Compare the outcomes at callers with the executions at targets."""
    starts = Counter(execution.request_id for execution in executions)
    done = {e.request_id for e in executions if e.progress is Progress.DONE}
    result = ExecutionComparison()
    for record in records:
        count = starts[record.request_id]
        result.duplicates += count > 1 and not record.idempotent
        result.repeats += count > 1 and record.idempotent
        result.not_run_but_ran += count > 0 and record.outcome is Outcome.NOT_RUN
        result.whole_but_not_done += (
            record.outcome is Outcome.WHOLE and record.request_id not in done
        )
    return result


def summarise(records: list[RequestRecord], executions: list[Execution] | None) -> Summary:
    """Summarise a run; ``executions`` is None if they were not read from the targets."""
    counts = Counter(record.outcome for record in records)
    whole = [r.latency_ms for r in records if r.outcome is Outcome.WHOLE]
    return Summary(
        requests=len(records),
        whole=counts[Outcome.WHOLE],
        not_run=counts[Outcome.NOT_RUN],
        unknown=counts[Outcome.UNKNOWN],
        broken=counts[Outcome.BROKEN],
        error=counts[Outcome.ERROR],
        non_idempotent=sum(not record.idempotent for record in records),
        sent_late=sum(record.sent_late_ms > SENT_LATE_MS for record in records),
        latency=summarise_latency(whole),
        executions=None if executions is None else compare_executions(records, executions),
        details=dict(Counter(r.detail for r in records if r.detail)),
    )
