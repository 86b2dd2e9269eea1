"""Decoding of JSON that another program wrote."""

from __future__ import annotations

from typing import Any

import msgspec

from kingcupusher._core.errors import KingcupusherError


class JsonError(KingcupusherError):
    """Raised when data is not JSON, has another type, or is nested too deeply."""


def decode_json(data: bytes | str, kind: Any = Any) -> Any:
    """Return the value of type ``kind`` in ``data``; raise :class:`JsonError` otherwise."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise JsonError(str(error)) from error
    except RecursionError:
        raise JsonError(f"{len(data)} bytes of JSON are nested too deeply") from None
