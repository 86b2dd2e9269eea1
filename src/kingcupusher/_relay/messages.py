"""Messages between a reader and its subscribers, as CBOR arrays.

Ages are durations because clocks of entries differ; a receiver turns them into a point in time
on its own clock at once.
"""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._discovery import Change
from kingcupusher._peers.codec import decode_as, encode

__all__ = ["Attendance", "News", "Pulse", "RelayMessage", "Subscribe", "decode", "encode"]


class Subscribe(Struct, array_like=True, frozen=True, tag=1):
    """First message of a subscriber: its name and the revision that it knows, if any."""

    entry: str
    revision: int | None


class News(Struct, array_like=True, frozen=True, tag=2):
    """Changes up to ``revision``; a whole picture if ``is_whole``."""

    revision: int
    age_ms: int
    is_whole: bool
    changes: list[Change]


class Pulse(Struct, array_like=True, frozen=True, tag=3):
    """Nothing changed up to ``revision``, which the store confirmed ``age_ms`` ago."""

    revision: int
    age_ms: int


class Attendance(Struct, array_like=True, frozen=True, tag=4):
    """The entries that a reader hands the news to, and itself."""

    entries: list[str]


RelayMessage = Subscribe | News | Pulse | Attendance


def decode(data: bytes) -> RelayMessage:
    """Return the message in ``data``; raise :class:`MessageError` if it is not a known one."""
    message: RelayMessage = decode_as(data, RelayMessage, expected="a message of the relay")
    return message
