"""Settings of an entry whose targets register themselves."""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._core.address import Address
from kingcupusher._gateway.fleet_limits import FleetLimits


class GatewaySettings(Struct, frozen=True, kw_only=True):
    """Where an entry listens, who it is and which bounds it keeps.

    ``seeds`` are relay addresses of other entries for a start without the store. ``link_mbps`` is
    the bandwidth of the VM's network link.
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
