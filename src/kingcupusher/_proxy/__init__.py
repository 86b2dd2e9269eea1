"""Request path of an entry: admission, target selection, forwarding and retries."""

from __future__ import annotations

from kingcupusher._proxy.errors import ProxyError
from kingcupusher._proxy.load_balancer import (
    AbandonedEvent,
    FailureEvent,
    LoadBalancer,
    NotSentEvent,
    RefusalEvent,
    ResetEvent,
    ResponseEvent,
    RetryBudget,
    TargetEvent,
)
from kingcupusher._proxy.load_report import LoadReport
from kingcupusher._proxy.proxy import Proxy
from kingcupusher._proxy.static_load_balancer import StaticLoadBalancer
from kingcupusher._proxy.tracing import NO_TRACER, Tracer

__all__ = [
    "AbandonedEvent",
    "LoadBalancer",
    "FailureEvent",
    "LoadReport",
    "NO_TRACER",
    "NotSentEvent",
    "Proxy",
    "ProxyError",
    "RefusalEvent",
    "ResetEvent",
    "ResponseEvent",
    "RetryBudget",
    "StaticLoadBalancer",
    "TargetEvent",
    "Tracer",
]
