"""Rules for replacing one configuration document by another, and for merging two."""

from __future__ import annotations

from hashlib import blake2b

from msgspec import Struct
from msgspec.structs import replace

from kingcupusher._config.document import (
    MAX_HISTORY_LENGTH,
    SERVICE_ITEM_PREFIX,
    ZONE_ITEM_PREFIX,
    item_content,
)
from kingcupusher._config.model import ConfigDocument, Publication, Service


class ReconcileResult(Struct, frozen=True, kw_only=True):
    """Document to put in force, and the items whose content in force it replaces."""

    document: ConfigDocument
    replaced_items: list[str] = []


def newer_document(ours: ConfigDocument, theirs: ConfigDocument) -> ConfigDocument:
    """Return ``theirs`` if its version is higher and it contains every change of ``ours``.

    A higher version that lacks a change of ``ours`` comes from a rewound store. It is never
    accepted from a peer: :func:`reconcile` merges it once it is read from the store.
    """
    if theirs.version > ours.version and contains(theirs, ours):
        return theirs
    return ours


def contains(document: ConfigDocument, other: ConfigDocument) -> bool:
    """Return whether ``document`` contains every publication of ``other``.

    Publications older than the history of ``document`` count as contained.
    """
    publication_ids = {publication.publication_id for publication in document.history}
    start_version = _history_start_version(document)
    return all(
        publication.publication_id in publication_ids or publication.version < start_version
        for publication in other.history
    )


def reconcile(ours: ConfigDocument, stored: ConfigDocument) -> ReconcileResult:
    """Return the document that replaces both; ``stored`` itself unless the store was rewound."""
    if contains(stored, ours) and stored.version >= ours.version:
        return ReconcileResult(document=stored)
    if contains(ours, stored) and ours.version > stored.version:
        return ReconcileResult(document=ours)
    return _merge(ours, stored)


def _merge(ours: ConfigDocument, theirs: ConfigDocument) -> ReconcileResult:
    """Merge, item by item, two documents whose histories diverged when the store was rewound.

    Each item gets the content of its later publication. The result depends only on the two
    documents, so that all entries that merge them get the same result.
    """
    times = _last_publication_times(ours), _last_publication_times(theirs)
    items = sorted({*times[0], *times[1]})
    our_items = [item for item in items if times[0].get(item, _NEVER) > times[1].get(item, _NEVER)]
    services = _replace_services(theirs, ours, our_items)
    latest_times = {
        item: max(times[0].get(item, _NEVER), times[1].get(item, _NEVER)) for item in items
    }
    services = _resolve_host_conflicts(services, latest_times)
    zones_out = _replace_zones(theirs, ours, our_items)
    merged = replace(theirs, services=services, zones_out=zones_out)
    history = _merge_histories(ours, theirs)
    replaced = [i for i in items if item_content(ours, i) != item_content(merged, i)]
    return ReconcileResult(
        document=_as_next_version(merged, ours, theirs, history), replaced_items=replaced
    )


_PublicationTime = tuple[int, str]
_NEVER: _PublicationTime = (0, "")


def _last_publication_times(document: ConfigDocument) -> dict[str, _PublicationTime]:
    """Return time and id of the last publication of each item."""
    times: dict[str, _PublicationTime] = {}
    for publication in document.history:
        for item in publication.items:
            time = (publication.at_ms, publication.publication_id)
            times[item] = max(time, times.get(item, _NEVER))
    return times


def _replace_services(
    theirs: ConfigDocument, ours: ConfigDocument, items: list[str]
) -> dict[str, Service]:
    names = [
        i.removeprefix(SERVICE_ITEM_PREFIX) for i in items if i.startswith(SERVICE_ITEM_PREFIX)
    ]
    return {**theirs.services, **{name: ours.services[name] for name in names}}


def _resolve_host_conflicts(
    services: dict[str, Service], times: dict[str, _PublicationTime]
) -> dict[str, Service]:
    """Leave a host that two services list with the service that was published later.

    A service without any host left is removed, since it cannot receive requests.
    """
    service_by_host: dict[str, str] = {}
    for name in sorted(services, key=lambda name: times.get(SERVICE_ITEM_PREFIX + name, _NEVER)):
        service_by_host.update(dict.fromkeys(services[name].hosts, name))
    resolved = {
        name: replace(
            service, hosts=[host for host in service.hosts if service_by_host[host] == name]
        )
        for name, service in services.items()
    }
    return {name: service for name, service in resolved.items() if service.hosts}


def _replace_zones(theirs: ConfigDocument, ours: ConfigDocument, items: list[str]) -> list[str]:
    zones = {i.removeprefix(ZONE_ITEM_PREFIX) for i in items if i.startswith(ZONE_ITEM_PREFIX)}
    return sorted((set(theirs.zones_out) - zones) | (set(ours.zones_out) & zones))


def _merge_histories(ours: ConfigDocument, theirs: ConfigDocument) -> list[Publication]:
    by_publication_id: dict[str, Publication] = {}
    for publication in sorted([*ours.history, *theirs.history], key=_history_order):
        by_publication_id[publication.publication_id] = publication
    return sorted(by_publication_id.values(), key=_history_order)


def _history_order(publication: Publication) -> tuple[int, int, str]:
    return publication.version, publication.at_ms, publication.publication_id


def _as_next_version(
    merged: ConfigDocument,
    ours: ConfigDocument,
    theirs: ConfigDocument,
    history: list[Publication],
) -> ConfigDocument:
    digest = blake2b(digest_size=8)
    for publication in history:
        digest.update(publication.publication_id.encode())
    merge_publication = Publication(
        version=max(ours.version, theirs.version) + 1,
        publication_id=digest.hexdigest(),
        at_ms=max((publication.at_ms for publication in history), default=0),
    )
    return replace(
        merged,
        version=merge_publication.version,
        publication_id=merge_publication.publication_id,
        history=[*history, merge_publication][-MAX_HISTORY_LENGTH:],
    )


def _history_start_version(document: ConfigDocument) -> int:
    """Return the first version from which the history of ``document`` is complete."""
    if len(document.history) < MAX_HISTORY_LENGTH:
        return 0
    return document.history[0].version
