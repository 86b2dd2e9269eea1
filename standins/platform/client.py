"""Client of the control port of the platform stand-in."""

from __future__ import annotations

import msgspec

from standins.control_client import ControlClient
from standins.platform.control import CallCounts
from standins.platform.faults import Faults
from standins.platform.vms import Vm


class PlatformControlClient(ControlClient):
    """Sets the VM list and the faults, and reads the call counts."""

    __slots__ = ()

    async def set_vms(self, vms: list[Vm]) -> None:
        """Replace the VM list."""
        await self._call("PUT", "/vms", vms)

    async def set_faults(self, faults: Faults) -> None:
        """Replace the active faults."""
        await self._call("PUT", "/faults", faults)

    async def call_counts(self) -> CallCounts:
        """Return the numbers of calls since the start or the last reset."""
        return msgspec.json.decode(await self._call("GET", "/counts"), type=CallCounts)
