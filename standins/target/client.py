"""Client of the control port of a target."""

from __future__ import annotations

import msgspec

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.errors import HttpError
from kingcupusher._http.exchange import fetch
from standins.errors import StandinError
from standins.target.control import FAULT_PREFIX, ExecutionLog, ProbeLog, Status
from standins.target.faults import FaultOrder
from standins.target.ledger import Execution

TIMEOUT_MS = 10_000.0


class ControlError(StandinError):
    """Raised when the control port of a target did not answer as expected."""


class TargetControl:
    """Switches faults of a target and reads what it observed."""

    __slots__ = ("address",)

    def __init__(self, address: Address) -> None:
        self.address = address

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

    async def order_fault(self, name: str, order: FaultOrder | None = None) -> Status:
        """Switch a fault."""
        body = msgspec.json.encode(order or FaultOrder())
        return msgspec.json.decode(await self._call("POST", FAULT_PREFIX + name, body), type=Status)

    async def _call(self, method: str, path: str, body: bytes = b"") -> bytes:
        deadline_ms = now_ms() + TIMEOUT_MS
        try:
            response = await fetch(self.address, method, path, deadline_ms=deadline_ms, body=body)
        except HttpError as error:
            raise ControlError(f"target control {self.address} failed: {error}") from error
        if response.status != 200:
            text = response.body.decode("utf-8", "replace").strip()
            raise ControlError(f"target control {self.address} refused {path}: {text}")
        return response.body
