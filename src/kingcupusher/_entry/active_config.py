"""The configuration in force at an entry, and who is told of a new one."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from kingcupusher._config import ConfigDocument, newer_document
from kingcupusher._core import now_ms

Listener = Callable[[ConfigDocument], None]

log = logbook.Logger("config")


class ActiveConfig:
    """Holds the configuration in force; only a newer one replaces it."""

    __slots__ = ("_listeners", "document", "since_ms")

    def __init__(self) -> None:
        self.document = ConfigDocument()
        self.since_ms = now_ms()
        self._listeners: list[Listener] = []

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each new document, from the task that found it."""
        self._listeners.append(listener)

    def offer(self, document: ConfigDocument) -> bool:
        """Put ``document`` in force if it is newer; return whether it was."""
        if newer_document(self.document, document) is self.document:
            return False
        self.put_in_force(document)
        return True

    def put_in_force(self, document: ConfigDocument) -> None:
        """Put a reconciled document in force."""
        if document.version <= self.document.version:
            return
        self.document = document
        self.since_ms = now_ms()
        log.info("configuration in force", version=document.version)
        for listener in self._listeners:
            listener(document)
