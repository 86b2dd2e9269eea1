"""Routes, services and target registrations."""

from __future__ import annotations

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

    @property
    def instance(self) -> TargetInstance:
        """The process that registered itself."""
        return TargetInstance(self.target_id, self.born_unix_ms)
