"""The ``X-Target-Load`` header, in which targets report load and state with each response."""

from __future__ import annotations

from functools import lru_cache

from kingcupusher._routing import InvalidLoadReportError, LoadReport

MAX_CACHED_REPORTS = 4_096
MAX_CACHED_VALUE_BYTES = 128
"""A valid report is shorter; a longer value is parsed each time and not kept."""

__all__ = ["LoadReport", "parse_load_report"]


def parse_load_report(value: bytes) -> LoadReport | None:
    """Parse a header value; return ``None`` if it is invalid."""
    if len(value) > MAX_CACHED_VALUE_BYTES:
        return _parse(value)
    return _parse_and_keep(value)


@lru_cache(maxsize=MAX_CACHED_REPORTS)
def _parse_and_keep(value: bytes) -> LoadReport | None:
    return _parse(value)


def _parse(value: bytes) -> LoadReport | None:
    try:
        return LoadReport.parse(value)
    except InvalidLoadReportError:
        return None
