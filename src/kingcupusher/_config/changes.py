"""Changes that a publication applies to the stored configuration document."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from kingcupusher._config.document import (
    SERVICE_ITEM_PREFIX,
    ZONE_ITEM_PREFIX,
    item_content,
    merge_services,
    with_zone_state,
)
from kingcupusher._config.model import ConfigDocument, Service


class Change(Protocol):
    """A change that can be applied again whenever the stored document has a new version."""

    @property
    def items(self) -> list[str]:
        """Items that the change sets."""

    def apply(self, document: ConfigDocument, publication_id: str, at_ms: int) -> ConfigDocument:
        """Return the next version of ``document``, or ``document`` itself if nothing changes."""


class ServiceChange(Struct, frozen=True):
    """Adds or replaces services."""

    services: list[Service]

    @property
    def items(self) -> list[str]:
        """Items that the change sets."""
        return sorted(SERVICE_ITEM_PREFIX + service.name for service in self.services)

    def apply(self, document: ConfigDocument, publication_id: str, at_ms: int) -> ConfigDocument:
        """Return the next version of ``document``, or ``document`` itself if nothing changes."""
        return merge_services(document, self.services, publication_id=publication_id, at_ms=at_ms)


class ZoneChange(Struct, frozen=True):
    """Takes a zone out of service or brings it back."""

    zone: str
    out: bool

    @property
    def items(self) -> list[str]:
        """Items that the change sets."""
        return [ZONE_ITEM_PREFIX + self.zone]

    def apply(self, document: ConfigDocument, publication_id: str, at_ms: int) -> ConfigDocument:
        """Return the next version of ``document``, or ``document`` itself if nothing changes."""
        return with_zone_state(
            document, self.zone, out=self.out, publication_id=publication_id, at_ms=at_ms
        )


def raced_items(change: Change, earlier: ConfigDocument, later: ConfigDocument) -> list[str]:
    """Return the items of ``change`` whose content differs between two documents."""
    return [
        item for item in change.items if item_content(earlier, item) != item_content(later, item)
    ]
