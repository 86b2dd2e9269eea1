"""Explains how an entry would handle a request, from what it knows now; sends nothing."""

from __future__ import annotations

from math import inf

import msgspec
from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._discovery import Customer, Route, ServiceConfig, Target
from kingcupusher._gateway.error_responses import (
    NO_ROUTE,
    NO_ROUTES_YET,
    NO_TARGET,
    SHUTTING_DOWN,
    UNKNOWN_KEY,
    ErrorResponse,
)
from kingcupusher._gateway.route_match import RouteMatch
from kingcupusher._gateway.selector import PROBE_COUNT
from kingcupusher._gateway.state import GatewayState
from kingcupusher._gateway.target_search import zone_preference
from kingcupusher._http.heads import host_name
from kingcupusher._http.simple_client import Response
from kingcupusher._http.simple_server import Request
from kingcupusher._limits.announcements import TargetInstance
from kingcupusher._routing.acceptance import MAX_GOOD_COST
from kingcupusher._routing.selection import target_cost
from kingcupusher._routing.version_choice import OLD_VERSION_DRAW

EXPLAIN_PATH = "/explain"
JSON_HEADERS = [(b"content-type", b"application/json")]


class Question(Struct, frozen=True, kw_only=True):
    """A request to explain; the method is accepted, but no route depends on it."""

    host: str
    path: str
    method: str = "GET"
    key: str | None = None


class CandidateState(Struct, frozen=True, kw_only=True):
    """What the entry knows of a target; ``position`` is its place in the probe order.

    Without a position, ``excluded_because`` is set. Without a reading, its fields are None.
    """

    target: str
    zone: str
    position: int | None = None
    excluded_because: str | None = None
    reading_age_ms: float | None = None
    cost: float | None = None
    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    slowness_percent: int | None = None
    cold_left_ms: float = 0.0
    suspended_ms: float = 0.0
    paused_ms: float = 0.0


class ServiceExplanation(Struct, frozen=True, kw_only=True):
    """Candidates of one service of the route, and which of them would be chosen."""

    service: str
    weight: float
    waiting_requests: int
    chosen: str | None
    why: str
    candidates: list[CandidateState]


class Explanation(Struct, frozen=True, kw_only=True):
    """Handling of a request; with a ``refusal_status`` it would be refused."""

    entry: str
    refusal_status: int | None = None
    refusal_reason: str | None = None
    route: str | None = None
    routes_version: int | None = None
    is_idempotent: bool | None = None
    customer: str | None = None
    priority: int | None = None
    quota_tokens: int | None = None
    services: list[ServiceExplanation] = []


def respond_to_question(request: Request, gateway: GatewayState) -> Response:
    """Return the response to ``POST /explain``; it never contains the key."""
    if request.method != "POST":
        return Response(405, [(b"allow", b"POST")], b"use POST\n")
    try:
        question = msgspec.json.decode(request.body, type=Question)
    except msgspec.MsgspecError:
        # The message of the error could quote a part of the key.
        return Response(400, [], b"the body must be JSON with host and path\n")
    return Response(200, JSON_HEADERS, msgspec.json.encode(explain(question, gateway)))


def explain(question: Question, gateway: GatewayState) -> Explanation:
    """Return how the entry would handle the request in ``question`` now."""
    catalog = gateway.catalog
    entry = gateway.settings.entry
    if catalog.route_table is None:
        return _refusal(entry, NO_ROUTES_YET)
    route = catalog.route_for(
        host_name(question.host.encode()), question.path.partition("?")[0].encode()
    )
    if route is None:
        return _refusal(entry, NO_ROUTE)
    customer: Customer | None = None
    if catalog.has_customers and not route.is_public:
        key = None if question.key is None else question.key.encode()
        customer = catalog.customer_with_key(key)
        if customer is None:
            return _refusal(entry, UNKNOWN_KEY, route=route)
    refusal = None if gateway.drain.may_send() else SHUTTING_DOWN
    services = [
        _explain_service(catalog.route_table.services[part.service], part.weight, route, gateway)
        for part in route.parts
        if part.service in catalog.route_table.services
    ]
    if refusal is None and not services:
        refusal = NO_TARGET
    return Explanation(
        entry=entry,
        refusal_status=refusal.status if refusal else None,
        refusal_reason=refusal.reason if refusal else None,
        route=route.name,
        routes_version=catalog.route_table.version,
        is_idempotent=route.is_idempotent,
        customer=customer.name if customer else None,
        priority=RouteMatch(route, inf, customer).priority,
        quota_tokens=_quota_tokens(customer, gateway),
        services=services,
    )


def _quota_tokens(customer: Customer | None, gateway: GatewayState) -> int | None:
    """Return how many requests this entry may serve before it asks the lead; None if unlimited."""
    if customer is None or not customer.has_quota or gateway.customer_quotas is None:
        return None
    return gateway.customer_quotas.tokens(customer.name)


def _refusal(entry: str, refusal: ErrorResponse, *, route: Route | None = None) -> Explanation:
    return Explanation(
        entry=entry,
        refusal_status=refusal.status,
        refusal_reason=refusal.reason,
        route=route.name if route else None,
    )


def _explain_service(
    service: ServiceConfig, weight: float, route: Route, gateway: GatewayState
) -> ServiceExplanation:
    order = gateway.selector.probe_order(service, exclude=(), preference=zone_preference(route))
    candidates = [
        _describe(target, gateway, position=index + 1) for index, target in enumerate(order)
    ]
    candidates += [
        _describe(target, gateway, excluded_because=_exclusion(target, gateway))
        for target in gateway.catalog.targets.values()
        if target.record.service == service.name and target not in order
    ]
    waiting = len(gateway.wait_queue(service.name))
    chosen, why = _choose(candidates, waiting=waiting)
    return ServiceExplanation(
        service=service.name,
        weight=weight,
        waiting_requests=waiting,
        chosen=chosen,
        why=why,
        candidates=candidates,
    )


def _exclusion(target: Target, gateway: GatewayState) -> str:
    """Return why ``target`` is not in the probe order."""
    if not gateway.catalog.may_send(target):
        return "it is draining or gone, or its zone is out of service"
    client = gateway.target_clients.get(target)
    if gateway.selector.quotas.is_exhausted(client):
        return "it is paused, or this entry's share of its request rate is used up"
    if not gateway.rollout_traffic.allowed(target.record.service, [target], OLD_VERSION_DRAW):
        return "a rollout keeps requests from its version"
    return "it has no recent reading, and the limit on probes allows none now"


def _describe(
    target: Target,
    gateway: GatewayState,
    *,
    position: int | None = None,
    excluded_because: str | None = None,
) -> CandidateState:
    current_ms = now_ms()
    client = gateway.target_clients.get(target)
    reading = client.last_reading
    zone = target.record.zone
    instance: TargetInstance = target.record.instance
    paused_until_ms = gateway.catalog.announcements.paused_until_ms(instance)
    state = CandidateState(
        target=target.target_id,
        zone=zone,
        position=position,
        excluded_because=excluded_because,
        cold_left_ms=max(0.0, target.warm_at_ms - current_ms),
        suspended_ms=max(0.0, client.suspended_until_ms - current_ms),
        paused_ms=max(0.0, paused_until_ms - current_ms),
    )
    if reading is None:
        return state
    cost = target_cost(reading, is_own_zone=zone == gateway.settings.zone)
    return msgspec.structs.replace(
        state,
        reading_age_ms=current_ms - reading.read_ms,
        cost=cost,
        running=reading.running,
        waiting=reading.waiting,
        slots=reading.slots,
        slowness_percent=reading.slowness_percent,
        cold_left_ms=reading.cold_left_ms,
    )


def _choose(candidates: list[CandidateState], *, waiting: int) -> tuple[str | None, str]:
    """Return the target that the last readings favour, and the reason for it or for none."""
    probed = [c for c in candidates if c.position is not None and c.position <= PROBE_COUNT]
    if not probed:
        return None, "no target may be probed now; the request would wait or be refused"
    if waiting:
        return None, f"{waiting} requests wait for a target; this one would wait with them"
    known = [c for c in probed if c.cost is not None and c.cold_left_ms == 0.0]
    best = min(known, key=lambda c: c.cost or 0.0, default=None)
    if best is None or best.cost is None:
        return None, f"no warm target among the first {len(probed)} has a reading; they are probed"
    if best.cost > MAX_GOOD_COST:
        return None, (
            f"the lowest cost among the first {len(probed)} is {best.cost:.2f}, above"
            f" {MAX_GOOD_COST}; further ones would be probed, then the request would wait"
        )
    return best.target, (
        f"its cost {best.cost:.2f} is the lowest among the first {len(probed)} by the last"
        " readings; a new probe may change this"
    )
