"""Request path of an entry whose targets register themselves in the platform's store.

The entry probes the load of a few targets just before it sends a request, and sends the request to
the target with the lowest expected response time. This package exports only the settings: a process
reads them and listens before it imports :mod:`kingcupusher._gateway.process`.
"""

from __future__ import annotations

from kingcupusher._gateway.fleet_limits import FleetLimits
from kingcupusher._gateway.settings import GatewaySettings

__all__ = ["FleetLimits", "GatewaySettings"]
