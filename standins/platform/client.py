"""Client of the control port of the platform stand-in."""

from __future__ import annotations

from typing import Any

import msgspec

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.errors import HttpError
from kingcupusher._http.exchange import fetch
from standins.errors import StandinError
from standins.platform.control import Counts
from standins.platform.faults import Faults
from standins.platform.vms import Vm

TIMEOUT_MS = 5_000.0


class PlatformControlError(StandinError):
    """Raised when the control port of the platform stand-in did not answer as expected."""


class PlatformControl:
    """Sets the VM list and the faults of the platform stand-in, and reads its call counts."""

    __slots__ = ("address",)

    def __init__(self, address: Address) -> None:
        self.address = address

    async def set_vms(self, vms: list[Vm]) -> None:
        """Replace the VM list."""
        await self._call("PUT", "/vms", vms)

    async def set_faults(self, faults: Faults) -> None:
        """Replace the faults in effect."""
        await self._call("PUT", "/faults", faults)

    async def counts(self) -> Counts:
        """Return the calls since the start or the last reset."""
        return msgspec.json.decode(await self._call("GET", "/counts"), type=Counts)

    async def _call(self, method: str, path: str, content: Any = None) -> bytes:
        body = b"" if content is None else msgspec.json.encode(content)
        deadline_ms = now_ms() + TIMEOUT_MS
        try:
            response = await fetch(self.address, method, path, deadline_ms=deadline_ms, body=body)
        except HttpError as error:
            raise PlatformControlError(f"platform control failed: {error}") from error
        if response.status != 200:
            raise PlatformControlError(f"{method} {path} gave status {response.status}")
        return response.body
