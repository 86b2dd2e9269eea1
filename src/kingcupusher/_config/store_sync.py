"""Synchronises the document in force at an entry with the stored one."""

from __future__ import annotations

from kingcupusher._config.model import ConfigDocument
from kingcupusher._config.reconcile import ReconcileResult, reconcile
from kingcupusher._config.stored_document import (
    ConfigStore,
    read_stored_document,
    stored_document_from,
    write_stored_document,
)
from kingcupusher._platform import ConflictError, VersionedValue

# Each conflict means that another entry or publisher has written; one of these writes ends the
# loop.
MAX_ATTEMPTS = 8


async def sync_with_store(
    store: ConfigStore, in_force: ConfigDocument, *, watched: VersionedValue | None = None
) -> ReconcileResult:
    """Return the document to put in force now; write it back first if the store was rewound.

    ``watched`` is the value that a watch returned; it saves the first read. Raises PlatformError
    if the store fails, and DocumentError if the stored document cannot be read; the caller then
    keeps ``in_force``.
    """
    for attempt in range(MAX_ATTEMPTS):
        value = watched if attempt == 0 else None
        stored = stored_document_from(value) if value else await read_stored_document(store)
        result = reconcile(in_force, stored.document)
        if result.document is stored.document:
            return result
        try:
            await write_stored_document(store, result.document, replacing=stored)
        except ConflictError:
            continue
        return result
    return ReconcileResult(document=in_force)
