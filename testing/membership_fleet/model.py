"""Limits and records of the simulated fleet."""

from __future__ import annotations

from dataclasses import dataclass

LEASE_MS = 6_000
COLD_CONCURRENCY = 1
WARMING_MS = 1_500
VM_LIST_LAG_MS = 8_000
CALL_DEADLINE_MS = 1_000
SLOTS = 3
ORDER_LIMIT_MS = 3_000
REPORT_LIMIT_MS = 1_000


@dataclass(slots=True)
class Vm:
    """Item of the VM list."""

    vm_id: str
    zone: str
    state: str
    service: str = "s"


@dataclass(slots=True)
class Report:
    """Load report of a target."""

    state: str
    boot_id: str
