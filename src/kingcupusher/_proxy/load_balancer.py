"""What the request path needs to know from the rest of the process."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from msgspec import Struct

from kingcupusher._config import Service
from kingcupusher._http.pool import ConnectionPool
from kingcupusher._proxy.load_report import LoadReport


class TargetEvent(Struct, kw_only=True):
    """Something that happened to a request which had been given to a target.

    Each successful :meth:`LoadBalancer.choose_target` is followed by exactly one event, which
    gives the place at the target back.
    """

    service: str
    target_id: str
    at_ms: float
    elapsed_ms: float
    load: LoadReport | None = None


class ResponseEvent(TargetEvent, kw_only=True):
    """A complete response came; ``status`` may still be an error."""

    status: int


class FailureEvent(TargetEvent):
    """No complete response came in time, or it was not valid."""


class RefusalEvent(TargetEvent):
    """The target said that it did not run the request."""


class ResetEvent(TargetEvent, kw_only=True):
    """The target closed or reset the connection, or did not accept a new one.

    With ``is_stale``, the connection had been used before and no byte of the response came; the
    target may only have closed it as idle, which says nothing about its state.
    """

    is_stale: bool = False


class NotSentEvent(TargetEvent):
    """Nothing was written to the target, for a reason that is not the target's."""


class AbandonedEvent(TargetEvent):
    """The caller closed its connection before the response was complete."""


class RetryBudget(Protocol):
    """Bounds retries to a share of the requests."""

    def on_request(self, *, now_ms: float) -> None:
        """Count one request that is not a retry."""

    def try_spend(self, *, now_ms: float) -> bool:
        """Take one retry; return whether there was one left."""


class LoadBalancer(Protocol):
    """The request path's view of services, targets and entries; all calls are immediate."""

    def service_for(self, host: bytes) -> Service | None:
        """Return the service that answers for the value of a ``Host`` header."""

    def choose_target(
        self, service: Service, *, now_ms: float, exclude: Collection[str]
    ) -> str | None:
        """Return a target that may take one more request now and reserve a place at it."""

    def may_send(self, target_id: str, *, now_ms: float) -> bool:
        """Return whether work may be sent to ``target_id`` at this moment."""

    def pool(self, target_id: str) -> ConnectionPool:
        """Return the connections of ``target_id``."""

    def handoff_pool(self, service: Service, *, now_ms: float) -> ConnectionPool | None:
        """Return the connections of another entry that may send to ``service``, if any."""

    def retry_budget(self, service: Service) -> RetryBudget:
        """Return the retry budget of ``service``."""

    def report(self, event: TargetEvent) -> None:
        """Take note of what became of a request that was given to a target."""
