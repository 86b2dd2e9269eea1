"""HTTP client of the control port of a stand-in."""

from __future__ import annotations

from typing import Any

import msgspec

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.errors import HttpError
from kingcupusher._http.simple_client import fetch
from standins.errors import StandinError

TIMEOUT_MS = 10_000.0


class ControlError(StandinError):
    """Raised when a call to a control port fails or its status is not 200."""


class ControlClient:
    """Base class of control port clients; request and response bodies are JSON."""

    __slots__ = ("address",)

    def __init__(self, address: Address) -> None:
        self.address = address

    async def _call(self, method: str, path: str, content: Any = None) -> bytes:
        """Return the response body; raise :class:`ControlError` unless the status is 200."""
        body = b"" if content is None else msgspec.json.encode(content)
        deadline_ms = now_ms() + TIMEOUT_MS
        try:
            response = await fetch(self.address, method, path, deadline_ms=deadline_ms, body=body)
        except HttpError as error:
            raise ControlError(f"control port {self.address} failed: {error}") from error
        if response.status != 200:
            text = response.body.decode("utf-8", "replace").strip()
            reason = f"{method} {path} returned status {response.status}: {text}"
            raise ControlError(f"control port {self.address}: {reason}")
        return response.body
