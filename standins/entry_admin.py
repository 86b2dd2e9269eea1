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
    """Raised when the administration interface of an entry did not answer as expected."""


class EntryAdmin:
    """Reads the state of an entry."""

    __slots__ = ("address",)

    def __init__(self, address: Address) -> None:
        self.address = address

    async def is_ready(self) -> bool:
        """Return whether the entry asks for calls."""
        return (await self._get("/ready")).status == 200

    async def status(self) -> StatusReport:
        """Return the state of the entry."""
        response = await self._get("/status")
        if response.status != 200:
            raise AdminError(f"entry administration {self.address} gave status {response.status}")
        return msgspec.json.decode(response.body, type=StatusReport)

    async def _get(self, path: str) -> Response:
        try:
            return await fetch(self.address, "GET", path, deadline_ms=now_ms() + TIMEOUT_MS)
        except HttpError as error:
            raise AdminError(f"entry administration {self.address} failed: {error}") from error
