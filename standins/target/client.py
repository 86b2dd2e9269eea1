"""Client of the control port of a target."""

from __future__ import annotations

import msgspec

from standins.control_client import ControlClient
from standins.target.activity_log import Execution
from standins.target.control import FAULT_PREFIX, ExecutionLog, ProbeLog, Status
from standins.target.faults import FaultParameters


class TargetControl(ControlClient):
    """Switches faults of a target and reads what it observed."""

    __slots__ = ()

    async def status(self) -> Status:
        """Return the state and the counters."""
        return msgspec.json.decode(await self._call("GET", "/status"), type=Status)

    async def executions(self) -> list[Execution]:
        """Return all executions since the process started."""
        data = await self._call("GET", "/executions")
        return msgspec.json.decode(data, type=ExecutionLog).executions

    async def probes_ms(self) -> list[float]:
        """Return the instants of all probes."""
        return msgspec.json.decode(await self._call("GET", "/probes"), type=ProbeLog).probes_ms

    async def set_fault(self, name: str, order: FaultParameters | None = None) -> Status:
        """Switch a fault."""
        data = await self._call("POST", FAULT_PREFIX + name, order or FaultParameters())
        return msgspec.json.decode(data, type=Status)
