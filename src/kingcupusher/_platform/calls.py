"""Calls to the platform over HTTP with JSON, and the translation of their failures."""

from __future__ import annotations

from typing import Any, NoReturn, TypeVar

import msgspec
from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.errors import ConnectError, ExchangeError
from kingcupusher._http.simple_client import Response, fetch
from kingcupusher._platform.errors import (
    ConflictError,
    LeaseLostError,
    NotFoundError,
    PlatformError,
    PlatformUnavailableError,
    RequestRejectedError,
    UnknownOutcomeError,
)

B = TypeVar("B")

ERROR_OF_STATUS: dict[int, type[PlatformError]] = {
    400: RequestRejectedError,
    404: NotFoundError,
    409: ConflictError,
    410: LeaseLostError,
    413: RequestRejectedError,
    503: PlatformUnavailableError,
}
JSON_HEADERS = ((b"content-type", b"application/json"),)


class Caller(Struct, frozen=True):
    """Sends calls to one address of the platform."""

    address: Address
    timeout_ms: float

    async def read(self, path: str, kind: type[B], *, extra_ms: float = 0.0) -> B:
        """Return the response of a call that changes nothing."""
        response = await self.send("GET", path, None, PlatformUnavailableError, extra_ms=extra_ms)
        return _decode(response, kind, PlatformUnavailableError)

    async def write(self, method: str, path: str, body: Any, kind: type[B]) -> B:
        """Return the response of a call that changes the store."""
        response = await self.send(method, path, body, UnknownOutcomeError)
        return _decode(response, kind, UnknownOutcomeError)

    async def send(
        self,
        method: str,
        path: str,
        body: Any,
        interrupted: type[PlatformError],
        *,
        extra_ms: float = 0.0,
    ) -> Response:
        """Send one call; raise ``interrupted`` if its outcome cannot be known."""
        content = b"" if body is None else msgspec.json.encode(body)
        deadline_ms = now_ms() + self.timeout_ms + extra_ms
        try:
            response = await fetch(
                self.address,
                method,
                path,
                deadline_ms=deadline_ms,
                headers=JSON_HEADERS,
                body=content,
            )
        except ConnectError as error:
            raise PlatformUnavailableError(str(error)) from error
        except ExchangeError as error:
            raise interrupted(str(error)) from error
        if response.status >= 300:
            _raise_for(response, f"{method} {path} at {self.address}", interrupted)
        return response


def _raise_for(response: Response, call: str, interrupted: type[PlatformError]) -> NoReturn:
    kind = ERROR_OF_STATUS.get(response.status, interrupted)
    reason = response.body[:500].decode(errors="replace")
    raise kind(f"{call} was answered with status {response.status}: {reason}")


def _decode(response: Response, kind: type[B], unreadable: type[PlatformError]) -> B:
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.DecodeError as error:
        raise unreadable(f"the platform sent an unreadable response: {error}") from error
