"""Changes that can be applied to whichever document turns out to be in force."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from kingcupusher._config.document import (
    SERVICE_ITEM,
    ZONE_ITEM,
    item_content,
    merge_services,
    with_zone_state,
)
from kingcupusher._config.model import ConfigDocument, Service


class Change(Protocol):
    """A change that can be applied to whichever document turns out to be in force."""

    @property
    def items(self) -> list[str]:
        """Items that the change sets."""

    def apply(self, document: ConfigDocument, publication_id: str, at_ms: int) -> ConfigDocument:
        """Return the next version, or ``document`` itself if it says the same already."""


class ServiceChange(Struct, frozen=True):
    """Adds or replaces services."""

    services: list[Service]

    @property
    def items(self) -> list[str]:
        """Items that the change sets."""
        return sorted(SERVICE_ITEM + service.name for service in self.services)

    def apply(self, document: ConfigDocument, publication_id: str, at_ms: int) -> ConfigDocument:
        """Return the next version, or ``document`` itself if it says the same already."""
        return merge_services(document, self.services, publication_id=publication_id, at_ms=at_ms)


class ZoneChange(Struct, frozen=True):
    """Takes a zone out or in."""

    zone: str
    out: bool

    @property
    def items(self) -> list[str]:
        """Items that the change sets."""
        return [ZONE_ITEM + self.zone]

    def apply(self, document: ConfigDocument, publication_id: str, at_ms: int) -> ConfigDocument:
        """Return the next version, or ``document`` itself if it says the same already."""
        return with_zone_state(
            document, self.zone, out=self.out, publication_id=publication_id, at_ms=at_ms
        )


def raced_items(change: Change, before: ConfigDocument, now: ConfigDocument) -> list[str]:
    """Return the items of ``change`` that others changed between two documents."""
    return [item for item in change.items if item_content(before, item) != item_content(now, item)]
