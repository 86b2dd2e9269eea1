"""Reads and writes the configuration document in the key-value service."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from kingcupusher._config.document import decode_document, encode_document
from kingcupusher._config.model import ConfigDocument
from kingcupusher._platform import VersionedValue

CONFIG_KEY = "config/current"


class ConfigStore(Protocol):
    """The calls of the key-value client that the configuration needs."""

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of ``key``, or None."""

    async def put(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Write ``value`` if ``key`` has ``expected_revision``; return the new revision."""


class StoredDocument(Struct, frozen=True):
    """A document with the revision of its key; 0 if the key does not exist."""

    document: ConfigDocument
    revision: int


async def read_stored_document(store: ConfigStore) -> StoredDocument:
    """Return the stored document; an empty one of version 0 if there is none."""
    return stored_document_from(await store.get(CONFIG_KEY))


def stored_document_from(value: VersionedValue | None) -> StoredDocument:
    """Return the document in ``value``; an empty one of version 0 if it is None."""
    if value is None:
        return StoredDocument(ConfigDocument(), 0)
    return StoredDocument(decode_document(value.value), value.revision)


async def write_stored_document(
    store: ConfigStore, document: ConfigDocument, *, replacing: StoredDocument
) -> None:
    """Replace ``replacing`` by ``document``; raise ConflictError if it is not stored any more."""
    await store.put(CONFIG_KEY, encode_document(document), expected_revision=replacing.revision)
