"""Rules by which one configuration document replaces another."""

from __future__ import annotations

from hashlib import blake2b

from msgspec import Struct
from msgspec.structs import replace

from kingcupusher._config.document import (
    HISTORY_LENGTH,
    SERVICE_ITEM,
    ZONE_ITEM,
    item_content,
)
from kingcupusher._config.model import ConfigDocument, Publication, Service


class Reconciled(Struct, frozen=True, kw_only=True):
    """Document to put in force, and items whose content in force a later publication replaced."""

    document: ConfigDocument
    replaced_items: list[str] = []


def newer_document(ours: ConfigDocument, theirs: ConfigDocument) -> ConfigDocument:
    """Return ``theirs`` if its version is higher and it contains every change of ``ours``.

    A higher version that lacks one of our changes comes from a rewound store; it is resolved
    by :func:`reconcile` with the stored document and never taken from a peer.
    """
    if theirs.version > ours.version and contains(theirs, ours):
        return theirs
    return ours


def contains(document: ConfigDocument, other: ConfigDocument) -> bool:
    """Return whether ``document`` contains every publication of ``other``.

    Publications older than the history of ``document`` count as contained.
    """
    known = {publication.publication_id for publication in document.history}
    floor = _oldest_version(document)
    return all(
        publication.publication_id in known or publication.version < floor
        for publication in other.history
    )


def reconcile(ours: ConfigDocument, stored: ConfigDocument) -> Reconciled:
    """Return the document that replaces both; it is ``stored`` itself unless that was rewound."""
    if contains(stored, ours) and stored.version >= ours.version:
        return Reconciled(document=stored)
    if contains(ours, stored) and ours.version > stored.version:
        return Reconciled(document=ours)
    return _combine(ours, stored)


def _combine(ours: ConfigDocument, theirs: ConfigDocument) -> Reconciled:
    """Join two documents that a rewind made independent, item by item.

    The content of the later publication of an item is kept. The result depends only on the two
    documents, so that entries that combine the same ones agree.
    """
    times = _times(ours), _times(theirs)
    items = sorted({*times[0], *times[1]})
    kept = [item for item in items if times[0].get(item, _NEVER) > times[1].get(item, _NEVER)]
    services = _with_services(theirs, ours, kept)
    latest = {item: max(times[0].get(item, _NEVER), times[1].get(item, _NEVER)) for item in items}
    services = _without_shared_hosts(services, latest)
    zones_out = _with_zones(theirs, ours, kept)
    combined = replace(theirs, services=services, zones_out=zones_out)
    history = _joined_history(ours, theirs)
    replaced = [i for i in items if item_content(ours, i) != item_content(combined, i)]
    return Reconciled(
        document=_as_next_version(combined, ours, theirs, history), replaced_items=replaced
    )


_Time = tuple[int, str]
_NEVER: _Time = (0, "")


def _times(document: ConfigDocument) -> dict[str, _Time]:
    """Return the time of the last publication of each item."""
    times: dict[str, _Time] = {}
    for publication in document.history:
        for item in publication.items:
            time = (publication.at_ms, publication.publication_id)
            times[item] = max(time, times.get(item, _NEVER))
    return times


def _with_services(
    theirs: ConfigDocument, ours: ConfigDocument, items: list[str]
) -> dict[str, Service]:
    names = [i.removeprefix(SERVICE_ITEM) for i in items if i.startswith(SERVICE_ITEM)]
    return {**theirs.services, **{name: ours.services[name] for name in names}}


def _without_shared_hosts(
    services: dict[str, Service], times: dict[str, _Time]
) -> dict[str, Service]:
    """Give a host that two services claim to the one published later.

    A service without any host left is dropped; it cannot receive a request.
    """
    owners: dict[str, str] = {}
    for name in sorted(services, key=lambda name: times.get(SERVICE_ITEM + name, _NEVER)):
        owners.update(dict.fromkeys(services[name].hosts, name))
    kept = {
        name: replace(service, hosts=[host for host in service.hosts if owners[host] == name])
        for name, service in services.items()
    }
    return {name: service for name, service in kept.items() if service.hosts}


def _with_zones(theirs: ConfigDocument, ours: ConfigDocument, items: list[str]) -> list[str]:
    zones = {i.removeprefix(ZONE_ITEM) for i in items if i.startswith(ZONE_ITEM)}
    return sorted((set(theirs.zones_out) - zones) | (set(ours.zones_out) & zones))


def _joined_history(ours: ConfigDocument, theirs: ConfigDocument) -> list[Publication]:
    joined: dict[str, Publication] = {}
    for publication in sorted([*ours.history, *theirs.history], key=_order):
        joined[publication.publication_id] = publication
    return sorted(joined.values(), key=_order)


def _order(publication: Publication) -> tuple[int, int, str]:
    return publication.version, publication.at_ms, publication.publication_id


def _as_next_version(
    combined: ConfigDocument,
    ours: ConfigDocument,
    theirs: ConfigDocument,
    history: list[Publication],
) -> ConfigDocument:
    digest = blake2b(digest_size=8)
    for publication in history:
        digest.update(publication.publication_id.encode())
    joint = Publication(
        version=max(ours.version, theirs.version) + 1,
        publication_id=digest.hexdigest(),
        at_ms=max((publication.at_ms for publication in history), default=0),
    )
    return replace(
        combined,
        version=joint.version,
        publication_id=joint.publication_id,
        history=[*history, joint][-HISTORY_LENGTH:],
    )


def _oldest_version(document: ConfigDocument) -> int:
    """Return the version from which on the history of ``document`` is complete."""
    if len(document.history) < HISTORY_LENGTH:
        return 0
    return document.history[0].version
