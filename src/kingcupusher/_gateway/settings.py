"""Settings of an entry whose targets register themselves."""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._core.address import Address
from kingcupusher._core.heartbeats import DEFAULT_HEARTBEAT_MS
from kingcupusher._gateway.fleet_limits import FleetLimits
from kingcupusher._http.pipeline_limits import DEFAULT_CONNECTION_LIMIT, DEFAULT_MEMORY_BYTES


class GatewaySettings(Struct, frozen=True, kw_only=True):
    """Addresses, identity and limits of an entry.

    ``seeds`` are relay addresses of other entries, used to start while the store is unavailable.
    ``link_mbps`` is the bandwidth of the VM's network link. ``response_memory_bytes`` bounds what
    all responses take in total, from their first byte until they are written.
    ``caller_memory_bytes`` bounds what all requests take, from their first byte until they end,
    and ``caller_connection_limit`` the open connections of callers. ``hedge_percent`` limits hedged
    requests as a share of the requests of a service; 0 means that none is sent. Targets renew their
    registration every ``heartbeat_ms``.
    """

    entry: str
    zone: str
    caller_address: Address
    readiness_address: Address
    metrics_address: Address
    relay_address: Address
    seeds: tuple[Address, ...] = ()
    fleet_limits: FleetLimits
    connection_limit: int
    link_mbps: float
    response_memory_bytes: int
    caller_memory_bytes: int = DEFAULT_MEMORY_BYTES
    caller_connection_limit: int = DEFAULT_CONNECTION_LIMIT
    hedge_percent: float = 0.0
    heartbeat_ms: float = DEFAULT_HEARTBEAT_MS
