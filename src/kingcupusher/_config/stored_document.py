"""The configuration document under its key in the key-value service."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from kingcupusher._config.document import decode_document, encode_document
from kingcupusher._config.model import ConfigDocument
from kingcupusher._platform import VersionedValue

CONFIG_KEY = "config/current"


class ConfigStore(Protocol):
    """The part of the key-value client that the configuration needs."""

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of ``key``, or None."""

    async def put(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Write ``value`` if ``key`` has ``expected_revision``; return the new revision."""


class Stored(Struct, frozen=True):
    """A document with the revision of its key; 0 if the key does not exist."""

    document: ConfigDocument
    revision: int


async def read_stored_document(store: ConfigStore) -> Stored:
    """Return the stored document; an empty one of version 0 if there is none."""
    return stored_from(await store.get(CONFIG_KEY))


def stored_from(value: VersionedValue | None) -> Stored:
    """Return the document in the value of the key; an empty one of version 0 if it is None."""
    if value is None:
        return Stored(ConfigDocument(), 0)
    return Stored(decode_document(value.value), value.revision)


async def write_stored(store: ConfigStore, document: ConfigDocument, *, replacing: Stored) -> None:
    """Replace ``replacing`` by ``document``; raise ConflictError if it is no longer there."""
    await store.put(CONFIG_KEY, encode_document(document), expected_revision=replacing.revision)
