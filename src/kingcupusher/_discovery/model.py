"""Routes, services and targets as the rest of the product uses them."""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._core.address import Address


class WeightedService(Struct, frozen=True):
    """One service of a route and its share of the requests, in proportion to ``weight``."""

    service: str
    weight: float


class Route(Struct, frozen=True, kw_only=True):
    """Which requests go to which services, and how they may be treated."""

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
    """What the targets of one service can bear, summed over all entries."""

    name: str
    health_path: bytes
    max_connections: int
    cold_start_ms: float
    cold_requests_per_s: float


class CallerLimits(Struct, frozen=True, kw_only=True):
    """Bounds on what one caller connection may send and for how long it may be idle."""

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
    """What a target last said of itself.

    ``born_unix_ms`` tells a restart under the same id; ``cold_left_ms`` counts from the moment
    at which the record was written.
    """

    target_id: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool
    cold_left_ms: float
    born_unix_ms: int
