"""JSON calls to the platform over HTTP, with their failures mapped to platform errors."""

from __future__ import annotations

from typing import Any, NoReturn, TypeVar

import msgspec
from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._core.json_decoding import JsonError, decode_json
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

T = TypeVar("T")

ERROR_BY_STATUS: dict[int, type[PlatformError]] = {
    400: RequestRejectedError,
    404: NotFoundError,
    409: ConflictError,
    410: LeaseLostError,
    413: RequestRejectedError,
    503: PlatformUnavailableError,
}
JSON_HEADERS = ((b"content-type", b"application/json"),)


class JsonClient(Struct, frozen=True):
    """Sends JSON calls to one address of the platform."""

    address: Address
    timeout_ms: float

    async def read(self, path: str, kind: type[T], *, extra_timeout_ms: float = 0.0) -> T:
        """Return the decoded response of a read-only call."""
        response = await self.send(
            "GET", path, None, PlatformUnavailableError, extra_timeout_ms=extra_timeout_ms
        )
        return _decode(response, kind, PlatformUnavailableError)

    async def write(self, method: str, path: str, body: Any, kind: type[T]) -> T:
        """Return the decoded response of a call that writes."""
        response = await self.send(method, path, body, UnknownOutcomeError)
        return _decode(response, kind, UnknownOutcomeError)

    async def send(
        self,
        method: str,
        path: str,
        body: Any,
        interrupted_error: type[PlatformError],
        *,
        extra_timeout_ms: float = 0.0,
    ) -> Response:
        """Send one call; raise ``interrupted_error`` if its outcome is unknown."""
        content = b"" if body is None else msgspec.json.encode(body)
        deadline_ms = now_ms() + self.timeout_ms + extra_timeout_ms
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
            raise interrupted_error(str(error)) from error
        if response.status >= 300:
            _raise_for(response, f"{method} {path} at {self.address}", interrupted_error)
        return response


def _raise_for(response: Response, call: str, interrupted_error: type[PlatformError]) -> NoReturn:
    error_type = ERROR_BY_STATUS.get(response.status, interrupted_error)
    reason = response.body[:500].decode(errors="replace")
    raise error_type(f"{call} returned status {response.status}: {reason}")


def _decode(response: Response, kind: type[T], invalid_error: type[PlatformError]) -> T:
    try:
        decoded: T = decode_json(response.body, kind)
        return decoded
    except JsonError as error:
        raise invalid_error(f"the platform sent an invalid response: {error}") from error
