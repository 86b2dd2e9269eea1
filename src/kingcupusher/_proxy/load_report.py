"""The ``X-Target-Load`` header: load and state that a target reports with each response."""

from __future__ import annotations

from functools import lru_cache

from kingcupusher._routing import InvalidLoadReportError, LoadReport

CACHED_REPORTS = 4_096

__all__ = ["LoadReport", "parse_load_report"]


@lru_cache(maxsize=CACHED_REPORTS)
def parse_load_report(value: bytes) -> LoadReport | None:
    """Return the report in a header value, or ``None`` if it cannot be understood."""
    try:
        return LoadReport.parse(value)
    except InvalidLoadReportError:
        return None
