"""Messages between a reader, its subscribers and the entries that call it, encoded as CBOR arrays.

Long messages are compressed, since names and addresses repeat in routes and registrations. Ages
are durations because the clocks of entries differ; a receiver converts them to a time on its own
clock at once.
"""

from __future__ import annotations

import zlib
from typing import Any

from msgspec import Struct

from kingcupusher._discovery import Change, RolloutPhase, StorePosition
from kingcupusher._limits.quota_terms import TokenAnswer, TokenWish
from kingcupusher._limits.rollout_ledger import EntryCounts
from kingcupusher._peers import codec
from kingcupusher._peers.errors import MessageError

MIN_COMPRESSED_BYTES = 1_024
COMPRESSION_LEVEL = 1
MAX_DECOMPRESSED_BYTES = 16_777_216


class Subscribe(Struct, array_like=True, frozen=True, tag=1):
    """First message of a subscriber: its entry name and its position, if any."""

    entry: str
    position: StorePosition | None


class CatalogUpdate(Struct, array_like=True, frozen=True, tag=2):
    """Changes up to ``position``; a full snapshot if ``is_full``. A confirmation follows."""

    position: StorePosition
    is_full: bool
    changes: list[Change]


class Confirmation(Struct, array_like=True, frozen=True, tag=3):
    """The state at ``position`` is current; the store confirmed it ``age_ms`` ago.

    The entries that the reader has listed are still its subscribers. Registrations that lapsed in
    an outage may be renewed for ``grace_left_ms`` from now, 0 if none are expected.
    """

    position: StorePosition
    age_ms: int
    grace_left_ms: float = 0.0


class EntriesChanged(Struct, array_like=True, frozen=True, tag=4):
    """Names of entries, a reader and its subscribers, that joined or left its list."""

    joined: list[str]
    left: list[str]


class Compressed(Struct, array_like=True, frozen=True, tag=5):
    """Another message, encoded and compressed by zlib."""

    data: bytes


class LeadHello(Struct, array_like=True, frozen=True, tag=6):
    """First message of an entry that makes calls to the lead."""

    entry: str


class LeadPing(Struct, array_like=True, frozen=True, tag=1):
    """Shows that the link works; the reply is the same message."""


class RolloutReport(Struct, array_like=True, frozen=True, tag=11):
    """What an entry counted since the order of a rollout that is identified by its revision.

    ``run`` differs after a restart of the entry, which counts from 0 again. ``phase`` is the one
    that new requests of the entry follow, and ``old_in_flight`` the number of its attempts in
    flight to targets of other versions.
    """

    service: str
    order_revision: int
    order_age_ms: int
    run: int
    counts: EntryCounts
    phase: RolloutPhase | None = None
    old_in_flight: int = 0

    @property
    def has_moved(self) -> bool:
        """Whether all requests of the entry go to the new version."""
        return self.phase is RolloutPhase.SHIFT and not self.old_in_flight


class TokenRequest(Struct, array_like=True, frozen=True, tag=2):
    """What an entry used of the quotas of its customers, and the tokens that it wants.

    ``entries`` is the number of live entries that it knows, 0 if unknown, for a lead that has just
    started.
    """

    wishes: list[TokenWish]
    entries: int = 0


class TokenGrant(Struct, array_like=True, frozen=True, tag=3):
    """Answers to the wishes of a request, in their order, None for a customer without a quota.

    The tokens of ``scarce`` customers must be asked for; those of others may be used in advance.
    """

    answers: list[TokenAnswer | None]
    scarce: list[str]


LeadMessage = LeadPing | TokenRequest | TokenGrant | RolloutReport


class LeadCall(Struct, array_like=True, frozen=True, tag=7):
    """A call to the lead; ``call_id`` is 0 if no reply is expected."""

    call_id: int
    message: LeadMessage


class LeadReply(Struct, array_like=True, frozen=True, tag=8):
    """Reply to the call with the same ``call_id``."""

    call_id: int
    message: LeadMessage


RelayMessage = (
    Subscribe | CatalogUpdate | Confirmation | EntriesChanged | LeadHello | LeadCall | LeadReply
)


def encode(message: RelayMessage) -> bytes:
    """Return ``message`` as CBOR, compressed if it is long."""
    data = codec.encode(message)
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    return codec.encode(Compressed(zlib.compress(data, COMPRESSION_LEVEL)))


def decode(data: bytes) -> RelayMessage:
    """Decode a message; raise :class:`MessageError` if it is malformed or of unknown type."""
    message: RelayMessage | Compressed = _decode_as(data, RelayMessage | Compressed)
    if not isinstance(message, Compressed):
        return message
    decompressed: RelayMessage = _decode_as(_decompress(message.data), RelayMessage)
    return decompressed


def _decode_as(data: bytes, kind: Any) -> Any:
    return codec.decode_as(data, kind, expected="a relay message")


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise MessageError(f"{len(data)} bytes are not a compressed message: {error}") from error
    if not decompressor.eof:
        limit = f"{MAX_DECOMPRESSED_BYTES} when decompressed"
        raise MessageError(f"{len(data)} bytes are cut off, or more than {limit}")
    return decompressed
