"""Keeping the document in force and the stored one at the newer of both."""

from __future__ import annotations

from kingcupusher._config.model import ConfigDocument
from kingcupusher._config.reconcile import Reconciled, reconcile
from kingcupusher._config.stored_document import (
    ConfigStore,
    read_stored_document,
    stored_from,
    write_stored,
)
from kingcupusher._platform import ConflictError, VersionedValue

# Each conflict means that another entry or publisher wrote; one of them ends the loop.
ATTEMPTS = 8


async def sync_with_store(
    store: ConfigStore, in_force: ConfigDocument, *, watched: VersionedValue | None = None
) -> Reconciled:
    """Return the document to put in force now; write it back first if the store was rewound.

    ``watched`` is the value that a watch returned; it saves the first read. Errors of the
    platform and an unreadable stored document pass through; the document in force then stays.
    """
    for attempt in range(ATTEMPTS):
        known = watched if attempt == 0 else None
        stored = stored_from(known) if known else await read_stored_document(store)
        result = reconcile(in_force, stored.document)
        if result.document is stored.document:
            return result
        try:
            await write_stored(store, result.document, replacing=stored)
        except ConflictError:
            continue
        return result
    return Reconciled(document=in_force)
