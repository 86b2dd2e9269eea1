"""Formats the table that the demonstration prints."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from demo.scenario import DemoResult, ServiceResult

COLUMNS: dict[str, Callable[[ServiceResult], Any]] = {
    "service": lambda result: result.name,
    "requests": lambda result: result.summary.requests,
    "non-idem.": lambda result: result.summary.non_idempotent,
    "whole": lambda result: result.summary.whole,
    "not run": lambda result: result.summary.not_run,
    "unknown": lambda result: result.summary.unknown,
    "broken": lambda result: result.summary.broken + result.summary.error,
    "duplicates": lambda result: result.executions.duplicates,
    "p50 ms": lambda result: f"{result.summary.latency.p50_ms:.1f}",
    "p99 ms": lambda result: f"{result.summary.latency.p99_ms:.1f}",
    "probes/target": lambda result: f"{result.max_probes} of {result.allowed_probes:.0f}",
}


def render_table(result: DemoResult) -> str:
    """Return the table and a line on the removed zone."""
    rows = [list(COLUMNS)]
    rows += [[str(value(service)) for value in COLUMNS.values()] for service in result.services]
    widths = [max(len(row[index]) for row in rows) for index in range(len(COLUMNS))]
    lines = ["  ".join(c.rjust(w) for c, w in zip(row, widths, strict=True)) for row in rows]
    zone = result.zone
    lines.append(
        f"removed zone: {zone.before} requests before, {zone.after_limit} new ones later than 3 s"
        f" after the order, {zone.after_return} after its return"
    )
    return "\n".join(lines)
