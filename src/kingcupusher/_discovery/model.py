"""Routes, services and target registrations."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from kingcupusher._core.address import Address
from kingcupusher._limits.announcements import TargetInstance


class WeightedService(Struct, frozen=True):
    """One service of a route and its share of the requests, in proportion to ``weight``."""

    service: str
    weight: float


class Customer(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A customer, who is identified by a key, and what it may send.

    Entries know the digests of the keys only. ``priority`` takes precedence over that of a route,
    0 is the highest. A rate of 0 means no limit; rate and burst are summed over all entries.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    requests_per_s: float = 0.0
    burst: float = 0.0

    @property
    def has_quota(self) -> bool:
        """Whether the requests of the customer are limited."""
        return self.requests_per_s > 0.0


class Route(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Match rule of a route, its weighted services and its request limits.

    A request on a route that ``is_public`` needs no key.
    """

    name: str
    host: bytes
    prefix: bytes
    is_idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    max_targets: int
    parts: tuple[WeightedService, ...]
    is_public: bool = False
    has_large_responses: bool = False


class ServiceConfig(Struct, frozen=True, kw_only=True):
    """Limits of the targets of one service, in total over all entries."""

    name: str
    health_path: bytes
    max_connections: int
    cold_start_ms: float
    cold_requests_per_s: float


class CallerLimits(Struct, frozen=True, kw_only=True):
    """Size and time limits of a caller connection."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    head_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class RouteTable(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One version of the published routes, services and customers."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceConfig]
    limits: CallerLimits
    customers: tuple[Customer, ...] = ()


class TargetRegistration(Struct, frozen=True, kw_only=True):
    """Latest registration of a target.

    ``born_unix_ms`` identifies a restart under the same id; ``cold_left_ms`` counts from the
    write of the registration.
    """

    target_id: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool
    cold_left_ms: float
    born_unix_ms: int
    version: str = ""

    @property
    def instance(self) -> TargetInstance:
        """The process that registered itself."""
        return TargetInstance(self.target_id, self.born_unix_ms)


class RolloutPhase(Enum):
    """Phase of a rollout; the values are written to the store."""

    TRIAL = "trial"
    SHIFT = "shift"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether the rollout has ended."""
        return self in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)


class RolloutOrder(Struct, frozen=True, kw_only=True):
    """An order to move the requests of ``service`` to targets of ``target_version``.

    ``revision`` is that of its item in the store. It identifies the order, since a repeated order
    has the same content.
    """

    service: str
    target_version: str
    duration_ms: float
    revision: int


class RolloutState(Struct, frozen=True, kw_only=True):
    """The phase of the rollout that the order with ``order_revision`` began, as stored.

    ``order_age_ms`` is how old the order was when the state was written. ``rejected`` are versions
    of earlier orders that were rolled back. ``revision`` is that of the item in the store.
    """

    service: str
    target_version: str
    order_revision: int
    phase: RolloutPhase
    order_age_ms: float = 0.0
    rejected: tuple[str, ...] = ()
    revision: int = 0
