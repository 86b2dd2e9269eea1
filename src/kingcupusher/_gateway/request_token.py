"""The token of a customer's quota that one request takes."""

from __future__ import annotations

from kingcupusher._discovery import Customer
from kingcupusher._gateway.error_responses import ErrorResponse
from kingcupusher._gateway.state import GatewayState
from kingcupusher._limits.quota_tokens import TakenToken


class RequestToken:
    """Takes a token for one request, and gives it back if the request was sent to no target."""

    __slots__ = ("_gateway", "_taken")

    def __init__(self, gateway: GatewayState) -> None:
        self._gateway = gateway
        self._taken: TakenToken | None = None

    async def take(self, customer: Customer | None) -> ErrorResponse | None:
        """Take a token of the quota of ``customer``; return the refusal if there is none."""
        quotas = self._gateway.customer_quotas
        if customer is None or not customer.has_quota or quotas is None:
            return None
        taken = await quotas.take(customer.name)
        if isinstance(taken, ErrorResponse):
            return taken
        self._taken = taken
        return None

    def give_back(self) -> None:
        """Give the token back, if one was taken."""
        quotas = self._gateway.customer_quotas
        if self._taken is not None and quotas is not None:
            quotas.give_back(self._taken)
            self._taken = None
