"""Routes, services and target registrations."""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._core.address import Address
from kingcupusher._limits.announcements import TargetInstance


class WeightedService(Struct, frozen=True):
    """One service of a route and its share of the requests, in proportion to ``weight``."""

    service: str
    weight: float


class Route(Struct, frozen=True, kw_only=True):
    """Match rule of a route, its weighted services and its request limits."""

    name: str
    host: bytes
    prefix: bytes
    is_idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    max_targets: int
    parts: tuple[WeightedService, ...]


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


class RouteTable(Struct, frozen=True, kw_only=True):
    """One version of the published routes and services."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceConfig]
    limits: CallerLimits


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
