"""The ``X-Target-Load`` header, in which targets report load and state with each response."""

from __future__ import annotations

from functools import lru_cache

from kingcupusher._routing import InvalidLoadReportError, LoadReport

MAX_CACHED_REPORTS = 4_096

__all__ = ["LoadReport", "parse_load_report"]


@lru_cache(maxsize=MAX_CACHED_REPORTS)
def parse_load_report(value: bytes) -> LoadReport | None:
    """Parse a header value; return ``None`` if it is invalid."""
    try:
        return LoadReport.parse(value)
    except InvalidLoadReportError:
        return None
