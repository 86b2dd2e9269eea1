"""CBOR encoding of messages."""

from __future__ import annotations

from typing import Any

import cbor2
import msgspec
from msgspec import Struct

from kingcupusher._peers.errors import MessageError
from kingcupusher._peers.messages import Message

ERROR_PREVIEW_BYTES = 16


def encode(message: Struct) -> bytes:
    """Return ``message`` as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(data: bytes) -> Message:
    """Return the message in ``data``; raise :class:`MessageError` if it is not valid."""
    message: Message = decode_as(data, Message, expected="a message")
    return message


def decode_as(data: bytes, kind: Any, *, expected: str) -> Any:
    """Return the message of type ``kind`` in ``data``; ``expected`` describes it in the error."""
    try:
        return msgspec.convert(cbor2.loads(data), kind)
    except (cbor2.CBORError, msgspec.ValidationError) as error:
        preview = bytes(data[:ERROR_PREVIEW_BYTES]).hex()
        raise MessageError(
            f"{len(data)} bytes starting with {preview} are not {expected}: {error}"
        ) from error
