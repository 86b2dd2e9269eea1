"""Interface between the request path and target selection."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from msgspec import Struct

from kingcupusher._config import Service
from kingcupusher._http.pool import ConnectionPool
from kingcupusher._proxy.load_report import LoadReport


class TargetEvent(Struct, kw_only=True):
    """Result of a request for which a slot at a target was reserved.

    Each successful :meth:`LoadBalancer.choose_target` is followed by exactly one event, which
    releases the slot.
    """

    service: str
    target_id: str
    at_ms: float
    elapsed_ms: float
    load: LoadReport | None = None


class ResponseEvent(TargetEvent, kw_only=True):
    """The target sent a complete response; ``status`` may be an error."""

    status: int


class FailureEvent(TargetEvent):
    """The target sent no complete response in time, or an invalid one."""


class RefusalEvent(TargetEvent):
    """The target refused the request and did not run it."""


class ResetEvent(TargetEvent, kw_only=True):
    """The target closed or reset the connection, or did not accept a new one.

    With ``is_stale``, the connection was reused and no byte of the response was received; the
    target may only have closed an idle connection, so this does not indicate a failure.
    """

    is_stale: bool = False


class NotSentEvent(TargetEvent):
    """Nothing was written to the target, and the target is not the cause."""


class AbandonedEvent(TargetEvent):
    """The caller closed its connection before the response was complete."""


class RetryBudget(Protocol):
    """Limits retries to a share of the requests."""

    def on_request(self, *, now_ms: float) -> None:
        """Count one request that is not a retry."""

    def try_spend(self, *, now_ms: float) -> bool:
        """Use one retry; return ``False`` if none is left."""


class LoadBalancer(Protocol):
    """Finds services, selects targets and records results; no call waits."""

    def service_for(self, host: bytes) -> Service | None:
        """Return the service for ``host``, the lower-case ``Host`` header without port."""

    def choose_target(
        self, service: Service, *, now_ms: float, exclude: Collection[str]
    ) -> str | None:
        """Reserve a slot at a usable target outside ``exclude``; return its id, if any."""

    def may_send(self, target_id: str, *, now_ms: float) -> bool:
        """Return whether a request may be sent to ``target_id`` now."""

    def pool(self, target_id: str) -> ConnectionPool:
        """Return the connection pool of ``target_id``."""

    def handoff_pool(self, service: Service, *, now_ms: float) -> ConnectionPool | None:
        """Return the connection pool of another entry that may send to ``service``, if any."""

    def retry_budget(self, service: Service) -> RetryBudget:
        """Return the retry budget of ``service``."""

    def report(self, event: TargetEvent) -> None:
        """Release the slot and record the result of a request."""
