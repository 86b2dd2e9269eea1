"""The active configuration of an entry and the listeners for its changes."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from kingcupusher._config import ConfigDocument, newer_document
from kingcupusher._core import now_ms

Listener = Callable[[ConfigDocument], None]

log = logbook.Logger("config")


class ActiveConfig:
    """Holds the active configuration; only a newer version replaces it."""

    __slots__ = ("_listeners", "activated_ms", "document")

    def __init__(self) -> None:
        self.document = ConfigDocument()
        self.activated_ms = now_ms()
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with each new document, in the task that activates it."""
        self._listeners.append(listener)

    def activate_if_newer(self, document: ConfigDocument) -> bool:
        """Activate ``document`` if it is newer; return whether it was."""
        if newer_document(self.document, document) is self.document:
            return False
        self.activate(document)
        return True

    def activate(self, document: ConfigDocument) -> None:
        """Activate a reconciled document; ignore it if its version is not newer."""
        if document.version <= self.document.version:
            return
        self.document = document
        self.activated_ms = now_ms()
        log.info("configuration in force", version=document.version)
        for listener in self._listeners:
            listener(document)
