"""Route, customer and deadline of a request."""

from __future__ import annotations

import curio
from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._discovery import Catalog, Customer, Route
from kingcupusher._gateway.error_responses import (
    NO_ROUTE,
    NO_ROUTES_YET,
    UNKNOWN_KEY,
    ErrorResponse,
)
from kingcupusher._gateway.header_codec import CallerIdentity, HeaderCodec
from kingcupusher._http.caller_request import CallerRequest
from kingcupusher._http.heads import first_header_value, host_name

MAX_ROUTES_WAIT_MS = 300.0
"""Time for which requests to a process that has just started wait for the routes."""
ROUTES_POLL_S = 0.01


class RouteMatch(Struct, frozen=True):
    """Route of a request, its customer, and the time at which its response is due.

    ``customer`` is None on a public route, and if the configuration names no customers.
    """

    route: Route
    deadline_ms: float
    customer: Customer | None = None
    identity: CallerIdentity | None = None

    @property
    def priority(self) -> int:
        """Priority of the request, 0 is the highest."""
        if self.customer is None or self.customer.priority is None:
            return self.route.priority
        return self.customer.priority


async def match_route(
    caller: CallerRequest, catalog: Catalog, header_codec: HeaderCodec
) -> RouteMatch | ErrorResponse:
    """Return the route of a request, or the response if it has none or its key is unknown."""
    until_ms = caller.received_ms + MAX_ROUTES_WAIT_MS
    while not catalog.has_routes:
        if now_ms() >= until_ms:
            return NO_ROUTES_YET
        await curio.sleep(ROUTES_POLL_S)
    head = caller.head
    host = host_name(first_header_value(head.headers, b"host") or b"")
    route = catalog.route_for(host, head.target.partition(b"?")[0])
    if route is None:
        return NO_ROUTE
    customer: Customer | None = None
    identity: CallerIdentity | None = None
    if catalog.has_customers:
        if not route.is_public:
            customer = catalog.customer_with_key(header_codec.customer_key(head))
            if customer is None:
                return UNKNOWN_KEY
        identity = CallerIdentity(customer.name if customer else None)
    left_ms = header_codec.time_left_ms(head)
    timeout_ms = route.timeout_ms if left_ms is None else min(route.timeout_ms, left_ms)
    return RouteMatch(route, caller.received_ms + timeout_ms, customer, identity)
