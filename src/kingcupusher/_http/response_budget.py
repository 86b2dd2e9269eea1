"""Memory and processor time that the responses of a process share until they are written."""

from __future__ import annotations

from kingcupusher._http.memory_budget import GROWTH_STEP_BYTES, MemoryBudget, MemoryShare

ResponseBudget = MemoryBudget
ResponseShare = MemoryShare

__all__ = ["GROWTH_STEP_BYTES", "ResponseBudget", "ResponseShare"]
