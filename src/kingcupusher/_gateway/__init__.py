"""Request path of an entry whose targets register themselves in the platform's store.

The load of a few targets is read just before each request is sent, and the request goes to the
one that is expected to answer first.
"""

from __future__ import annotations

from kingcupusher._gateway.dialect import Dialect, TargetAnswer, Verdict
from kingcupusher._gateway.process import run_gateway
from kingcupusher._gateway.rules import FleetRules
from kingcupusher._gateway.state import GatewaySettings

__all__ = [
    "Dialect",
    "FleetRules",
    "GatewaySettings",
    "TargetAnswer",
    "Verdict",
    "run_gateway",
]
