"""News about routes, targets, zones and entries, in the order in which it was written."""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._discovery.model import RouteTable, TargetRecord


class RoutesPublished(Struct, frozen=True):
    """A version of the routes was published."""

    table: RouteTable


class TargetSeen(Struct, frozen=True):
    """A target registered itself or changed what it says."""

    record: TargetRecord


class TargetGone(Struct, frozen=True):
    """The registration of a target was removed or lapsed."""

    target_id: str


class ZoneTakenOut(Struct, frozen=True):
    """An operator ordered that a zone gets no new work."""

    zone: str


class ZoneReturned(Struct, frozen=True):
    """An operator took the order for a zone back."""

    zone: str


class EntrySeen(Struct, frozen=True):
    """An entry registered itself."""

    name: str


class EntryGone(Struct, frozen=True):
    """The registration of an entry ended."""

    name: str


Change = (
    RoutesPublished
    | TargetSeen
    | TargetGone
    | ZoneTakenOut
    | ZoneReturned
    | EntrySeen
    | EntryGone
)
