"""Request path of an entry: admission, choice of a target, forwarding and outcomes."""

from __future__ import annotations

from kingcupusher._proxy.directory import (
    AbandonedEvent,
    Directory,
    FailureEvent,
    NotSentEvent,
    RefusalEvent,
    ResetEvent,
    ResponseEvent,
    RetryBudget,
    TargetEvent,
)
from kingcupusher._proxy.errors import ProxyError
from kingcupusher._proxy.load_report import LoadReport
from kingcupusher._proxy.proxy import Proxy
from kingcupusher._proxy.static_directory import StaticDirectory
from kingcupusher._proxy.tracing import NO_TRACER, Tracer

__all__ = [
    "AbandonedEvent",
    "Directory",
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
    "StaticDirectory",
    "TargetEvent",
    "Tracer",
]
