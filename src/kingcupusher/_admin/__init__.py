"""Administration HTTP interface."""

from __future__ import annotations

from kingcupusher._admin.api import AdminApi
from kingcupusher._admin.status import EntryControl, StatusReport, TargetStatus, ZoneUpdateResult

__all__ = ["AdminApi", "EntryControl", "StatusReport", "TargetStatus", "ZoneUpdateResult"]
