"""CBOR encoding of the messages."""

from __future__ import annotations

from typing import Any

import cbor2
import msgspec

from kingcupusher._peers.errors import MessageError
from kingcupusher._peers.messages import Message

SHOWN_BYTES = 16


def encode(message: Message) -> bytes:
    """Return the wire form of ``message``."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(data: bytes) -> Message:
    """Return the message in ``data``; raise :class:`MessageError` if it is not a known one."""
    try:
        content: Any = cbor2.loads(data)
        message: Message = msgspec.convert(content, Message)
    except (cbor2.CBORError, msgspec.ValidationError) as error:
        shown = bytes(data[:SHOWN_BYTES]).hex()
        raise MessageError(
            f"{len(data)} bytes starting with {shown} are not a message: {error}"
        ) from error
    return message
