"""The ``X-Target-Load`` header: load and state that a target reports with each response."""

from __future__ import annotations

from functools import lru_cache

from msgspec import Struct

CACHED_REPORTS = 4_096


class LoadReport(Struct, frozen=True, kw_only=True):
    """Load and state of a target when it sent its response."""

    inflight: int
    queued: int = 0
    slots: int = 0
    state: str = ""
    boot: str = ""


@lru_cache(maxsize=CACHED_REPORTS)
def parse_load_report(value: bytes) -> LoadReport | None:
    """Return the report in a header value, or ``None`` if it cannot be understood."""
    fields = {}
    for part in value.decode("latin-1").split(","):
        name, separator, text = part.strip().partition("=")
        if not separator:
            return None
        fields[name] = text
    try:
        return LoadReport(
            inflight=int(fields["inflight"]),
            queued=int(fields.get("queued", "0")),
            slots=int(fields.get("slots", "0")),
            state=fields.get("state", ""),
            boot=fields.get("boot", ""),
        )
    except (KeyError, ValueError):
        return None
