"""Client of the administration interface of an entry."""

from __future__ import annotations

import msgspec

from kingcupusher._admin import StatusReport
from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.errors import HttpError
from kingcupusher._http.simple_client import Response, fetch
from standins.errors import StandinError

TIMEOUT_MS = 5_000.0


class AdminError(StandinError):
    """Raised when the administration interface of an entry fails or returns an error."""


class EntryAdminClient:
    """Reads the readiness and the status report of an entry."""

    __slots__ = ("address",)

    def __init__(self, address: Address) -> None:
        self.address = address

    async def is_ready(self) -> bool:
        """Return whether the readiness check of the entry succeeds."""
        return (await self._get("/ready")).status == 200

    async def status(self) -> StatusReport:
        """Return the status report; raise :class:`AdminError` unless the status is 200."""
        response = await self._get("/status")
        if response.status != 200:
            raise AdminError(f"entry administration {self.address}: status {response.status}")
        return msgspec.json.decode(response.body, type=StatusReport)

    async def _get(self, path: str) -> Response:
        try:
            return await fetch(self.address, "GET", path, deadline_ms=now_ms() + TIMEOUT_MS)
        except HttpError as error:
            raise AdminError(f"entry administration {self.address} failed: {error}") from error
