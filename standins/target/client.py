"""Client of the control port of a target."""

from __future__ import annotations

import msgspec

from standins.control_client import ControlClient
from standins.target.activity_log import Execution
from standins.target.control import FAULT_PREFIX, ExecutionLog, ProbeLog, Status
from standins.target.faults import FaultParameters


class TargetControlClient(ControlClient):
    """Switches faults of a target and reads its status and logs."""

    __slots__ = ()

    async def status(self) -> Status:
        """Return the current state and the counters."""
        return msgspec.json.decode(await self._call("GET", "/status"), type=Status)

    async def executions(self) -> list[Execution]:
        """Return all executions since the start of the process."""
        data = await self._call("GET", "/executions")
        return msgspec.json.decode(data, type=ExecutionLog).executions

    async def probes_ms(self) -> list[float]:
        """Return the times of all probes in milliseconds of the monotonic clock."""
        return msgspec.json.decode(await self._call("GET", "/probes"), type=ProbeLog).probes_ms

    async def set_fault(self, name: str, parameters: FaultParameters | None = None) -> Status:
        """Apply a fault with ``parameters`` and return the resulting status."""
        data = await self._call("POST", FAULT_PREFIX + name, parameters or FaultParameters())
        return msgspec.json.decode(data, type=Status)
