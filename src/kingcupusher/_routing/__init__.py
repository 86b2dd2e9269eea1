"""Selection of a target for a request."""

from __future__ import annotations

from kingcupusher._routing.errors import InvalidLoadReportError, RoutingError, UnknownTargetError
from kingcupusher._routing.policies import POLICIES
from kingcupusher._routing.report import LoadReport
from kingcupusher._routing.router import DEFAULT_POLICY, ServiceRouter
from kingcupusher._routing.view import Target, TargetView

__all__ = [
    "DEFAULT_POLICY",
    "POLICIES",
    "InvalidLoadReportError",
    "LoadReport",
    "RoutingError",
    "ServiceRouter",
    "Target",
    "TargetView",
    "UnknownTargetError",
]
