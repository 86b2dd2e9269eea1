"""Messages between a reader and its subscribers, encoded as CBOR arrays.

Ages are durations because the clocks of entries differ; a receiver converts them to a time on its
own clock at once.
"""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._discovery import Change, StorePosition
from kingcupusher._peers.codec import decode_as, encode

__all__ = [
    "CatalogUpdate",
    "Confirmation",
    "EntryList",
    "RelayMessage",
    "Subscribe",
    "decode",
    "encode",
]


class Subscribe(Struct, array_like=True, frozen=True, tag=1):
    """First message of a subscriber: its entry name and its position, if any."""

    entry: str
    position: StorePosition | None


class CatalogUpdate(Struct, array_like=True, frozen=True, tag=2):
    """Changes up to ``position``; a full snapshot if ``is_full``."""

    position: StorePosition
    age_ms: int
    is_full: bool
    changes: list[Change]


class Confirmation(Struct, array_like=True, frozen=True, tag=3):
    """The state at ``position`` is current; the store confirmed it ``age_ms`` ago."""

    position: StorePosition
    age_ms: int


class EntryList(Struct, array_like=True, frozen=True, tag=4):
    """Names of a reader and its subscribers."""

    entries: list[str]


RelayMessage = Subscribe | CatalogUpdate | Confirmation | EntryList


def decode(data: bytes) -> RelayMessage:
    """Decode a message; raise :class:`MessageError` if it is malformed or of unknown type."""
    message: RelayMessage = decode_as(data, RelayMessage, expected="a relay message")
    return message
