"""Rules for sending one request to a first target, and to another one after it."""

from __future__ import annotations

from kingcupusher._core import now_ms
from kingcupusher._discovery import Route, ServiceConfig
from kingcupusher._gateway.error_responses import QUARANTINED, SHUTTING_DOWN, ErrorResponse
from kingcupusher._gateway.state import GatewayState


class SendRules:
    """Applies the quarantine, the stop of the entry and the retry budget to one request."""

    __slots__ = ("_fingerprint", "_gateway")

    def __init__(self, gateway: GatewayState, *, fingerprint: str) -> None:
        self._gateway = gateway
        self._fingerprint = fingerprint

    def refusal(self) -> ErrorResponse | None:
        """Return the response to a request that must not be sent to any target, else None."""
        if self._gateway.catalog.crashes.is_refused(self._fingerprint, now_ms=now_ms()):
            return QUARANTINED
        return None if self._gateway.drain.may_send() else SHUTTING_DOWN

    def may_retry(self, route: Route) -> bool:
        """Return whether the request may be sent to another target now."""
        typical_ms = self._gateway.response_time(route).typical_ms
        return self._gateway.drain.may_retry(
            typical_ms=typical_ms
        ) and self._gateway.catalog.crashes.may_retry(self._fingerprint, now_ms=now_ms())

    def spend_retry(self, service: ServiceConfig, *, reserve: int) -> bool:
        """Take a retry from the budget, of which ``reserve`` stay; return whether there was one."""
        current_ms = now_ms()
        slack = self._gateway.retry_slack(now_ms=current_ms) - reserve
        return self._gateway.retry_budget(service.name).try_spend(slack=slack, now_ms=current_ms)

    def refund_retry(self, service: ServiceConfig) -> None:
        """Return a retry that was not sent."""
        self._gateway.retry_budget(service.name).refund()
