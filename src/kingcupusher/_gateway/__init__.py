"""Request path of an entry whose targets register themselves in the platform's store.

The load of a few targets is read just before each request is sent, and the request goes to the
one that is expected to answer first. Only the settings are exported here: a process reads them
and listens before it loads :mod:`kingcupusher._gateway.process`.
"""

from __future__ import annotations

from kingcupusher._gateway.fleet_limits import FleetLimits
from kingcupusher._gateway.settings import GatewaySettings

__all__ = ["FleetLimits", "GatewaySettings"]
