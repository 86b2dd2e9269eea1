"""Service files, the configuration document, and the rules by which it changes."""

from __future__ import annotations

from kingcupusher._config.model import (
    ConfigDocument,
    Priority,
    RequestPolicy,
    RouteRule,
    Service,
    TargetLimits,
)

__all__ = [
    "ConfigDocument",
    "Priority",
    "RequestPolicy",
    "RouteRule",
    "Service",
    "TargetLimits",
]
