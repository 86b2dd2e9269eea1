"""Keeping the document in force and the stored one at the newer of both."""

from __future__ import annotations

from kingcupusher._config.model import ConfigDocument
from kingcupusher._config.reconcile import Reconciled, reconcile
from kingcupusher._config.stored import ConfigStore, read_stored, write_stored
from kingcupusher._platform import ConflictError

# Each conflict means that another entry or publisher wrote; one of them ends the loop.
ATTEMPTS = 8


async def follow(store: ConfigStore, in_force: ConfigDocument) -> Reconciled:
    """Return the document to put in force now; write it back first if the store was rewound.

    Errors of the platform pass through; the document in force then stays as it is.
    """
    for _ in range(ATTEMPTS):
        stored = await read_stored(store)
        result = reconcile(in_force, stored.document)
        if result.document is stored.document:
            return result
        try:
            await write_stored(store, result.document, replacing=stored)
        except ConflictError:
            continue
        return result
    return Reconciled(document=in_force)
