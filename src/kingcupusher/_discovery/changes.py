"""Changes of routes, targets, zones and readers, in the order of their writes."""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._core.address import Address
from kingcupusher._discovery.model import RolloutOrder, RolloutState, RouteTable, TargetRegistration


class RoutesPublished(Struct, frozen=True, tag=True):
    """A version of the routes was published."""

    table: RouteTable


class TargetSeen(Struct, frozen=True, tag=True):
    """A target registered itself or updated its registration."""

    record: TargetRegistration


class TargetGone(Struct, frozen=True, tag=True):
    """The registration of a target was removed or lapsed."""

    target_id: str


class ZoneTakenOut(Struct, frozen=True, tag=True):
    """An operator took a zone out, so that it gets no new requests."""

    zone: str


class ZoneReturned(Struct, frozen=True, tag=True):
    """An operator brought a zone back."""

    zone: str


class ReaderSeen(Struct, frozen=True, tag=True):
    """An entry took the reader slot ``slot``: it follows the store on behalf of other entries.

    ``lease`` is the lease under which it holds the slot.
    """

    slot: int
    entry: str
    zone: str
    address: Address
    lease: int = 0


class ReaderGone(Struct, frozen=True, tag=True):
    """The reader slot ``slot`` is vacant."""

    slot: int


REREGISTRATION_GRACE_MS = 2_200.0
"""Registrations that lapsed during a store outage are renewed within 2 s of its end."""


class StoreReturned(Struct, frozen=True, tag=True):
    """The store responds again after an outage in which registrations may have lapsed.

    They may be renewed for ``grace_left_ms`` from now. It is a duration, since entries have no
    common clock; a receiver converts it to a deadline at once.
    """

    grace_left_ms: float = REREGISTRATION_GRACE_MS


class CrashSeen(Struct, frozen=True, tag=True):
    """The target ``target_id`` ended its connection while it ran a request."""

    fingerprint: str
    target_id: str


class CrashWithdrawn(Struct, frozen=True, tag=True):
    """An equal request succeeded, or the evidence is too old."""

    fingerprint: str
    target_id: str


class RolloutOrdered(Struct, frozen=True, tag=True):
    """An operator ordered the rollout of a version."""

    order: RolloutOrder


class RolloutWithdrawn(Struct, frozen=True, tag=True):
    """The order for ``service`` was removed."""

    service: str


class RolloutPhaseSeen(Struct, frozen=True, tag=True):
    """A lead wrote the phase of a rollout."""

    state: RolloutState


class RolloutPhaseGone(Struct, frozen=True, tag=True):
    """The phase of the rollout of ``service`` was removed."""

    service: str


Change = (
    RoutesPublished
    | TargetSeen
    | TargetGone
    | ZoneTakenOut
    | ZoneReturned
    | ReaderSeen
    | ReaderGone
    | StoreReturned
    | CrashSeen
    | CrashWithdrawn
    | RolloutOrdered
    | RolloutWithdrawn
    | RolloutPhaseSeen
    | RolloutPhaseGone
)
