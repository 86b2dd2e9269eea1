"""News about routes, targets, zones and readers, in the order in which it was written."""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._core.address import Address
from kingcupusher._discovery.model import RouteTable, TargetRegistration


class RoutesPublished(Struct, frozen=True, tag=True):
    """A version of the routes was published."""

    table: RouteTable


class TargetSeen(Struct, frozen=True, tag=True):
    """A target registered itself or changed what it says."""

    record: TargetRegistration


class TargetGone(Struct, frozen=True, tag=True):
    """The registration of a target was removed or lapsed."""

    target_id: str


class ZoneTakenOut(Struct, frozen=True, tag=True):
    """An operator ordered that a zone gets no new work."""

    zone: str


class ZoneReturned(Struct, frozen=True, tag=True):
    """An operator took the order for a zone back."""

    zone: str


class ReaderSeen(Struct, frozen=True, tag=True):
    """An entry took the reader's place ``slot``: it follows the store on behalf of others.

    ``lease`` is the lease under which it holds the place.
    """

    slot: int
    entry: str
    zone: str
    address: Address
    lease: int = 0


class ReaderGone(Struct, frozen=True, tag=True):
    """The reader's place ``slot`` is vacant."""

    slot: int


class StoreReturned(Struct, frozen=True, tag=True):
    """The store answers again after an outage in which registrations may have lapsed."""


Change = (
    RoutesPublished
    | TargetSeen
    | TargetGone
    | ZoneTakenOut
    | ZoneReturned
    | ReaderSeen
    | ReaderGone
    | StoreReturned
)
