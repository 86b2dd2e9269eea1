"""Routes of the administration interface and their authorization."""

from __future__ import annotations

import hmac
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import logbook
import msgspec

from kingcupusher._admin.status import EntryControl
from kingcupusher._core import Registry
from kingcupusher._http.simple_client import Response
from kingcupusher._http.simple_server import Request

JSON_TYPE = [(b"content-type", b"application/json")]
METRICS_TYPE = [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")]
ZONE_PATH = re.compile(r"/zones/([a-z0-9][a-z0-9-]{0,62})/(out|in)")

log = logbook.Logger("admin")


class MessageBody(msgspec.Struct, frozen=True):
    """Body of a response that carries only a message."""

    message: str


@dataclass(slots=True, frozen=True)
class Route:
    """Handler of one route; routes with ``is_write`` require the bearer token and are logged."""

    handler: Callable[[EntryControl, Request], Awaitable[Response]]
    is_write: bool


ROUTES: Registry[Route] = Registry("route")


def _json_response(status: int, content: msgspec.Struct) -> Response:
    return Response(status, JSON_TYPE, msgspec.json.encode(content) + b"\n")


def _route(key: str, *, is_write: bool = False) -> Callable[..., Route]:
    def add(handler: Callable[[EntryControl, Request], Awaitable[Response]]) -> Route:
        return ROUTES.register(key)(Route(handler, is_write))

    return add


@_route("GET /health")
async def get_health(_control: EntryControl, _request: Request) -> Response:
    """Return 200 while the process runs."""
    return _json_response(200, MessageBody("running"))


@_route("GET /ready")
async def get_ready(control: EntryControl, _request: Request) -> Response:
    """Return 200 if the platform's balancer should send callers here, 503 otherwise."""
    if control.is_ready():
        return _json_response(200, MessageBody("ready"))
    return _json_response(503, MessageBody("not ready"))


@_route("GET /status")
async def get_status(control: EntryControl, _request: Request) -> Response:
    """Return the state of the entry."""
    return _json_response(200, control.status())


@_route("GET /metrics")
async def get_metrics(control: EntryControl, _request: Request) -> Response:
    """Return the metrics in Prometheus text format."""
    return Response(200, METRICS_TYPE, control.render_metrics())


@_route("POST /drain", is_write=True)
async def post_drain(control: EntryControl, _request: Request) -> Response:
    """Begin a graceful shutdown."""
    control.start_drain()
    return _json_response(202, MessageBody("draining"))


@_route("POST /zones", is_write=True)
async def post_zone_state(control: EntryControl, request: Request) -> Response:
    """Take a zone out of service or bring it back."""
    match = ZONE_PATH.fullmatch(request.path)
    if match is None:
        return _json_response(
            404, MessageBody(f"no route {request.path!r}; use /zones/ZONE/out or /zones/ZONE/in")
        )
    result = await control.set_zone_state(match[1], out=match[2] == "out")
    return _json_response(200 if result.in_force else 409, result)


class AdminApi:
    """Dispatches requests to routes and checks the token of requests that change state."""

    __slots__ = ("_control", "_token")

    def __init__(self, control: EntryControl, *, token: str) -> None:
        self._control = control
        self._token = token.encode()

    async def handle(self, request: Request) -> Response:
        """Return the response to one request."""
        key = f"{request.method} /{request.path.split('/')[1].partition('?')[0]}"
        if key not in ROUTES:
            known = ", ".join(ROUTES)
            return _json_response(
                404, MessageBody(f"no route {request.method} {request.path!r}; use {known}")
            )
        route = ROUTES.get(key)
        if not route.is_write:
            return await route.handler(self._control, request)
        if not self._is_authorized(request):
            log.warning("write request refused", path=request.path, reason="wrong or missing token")
            return _json_response(403, MessageBody("send the header 'Authorization: Bearer TOKEN'"))
        response = await route.handler(self._control, request)
        operator = _header_value(request, b"x-operator").decode("latin-1") or "unnamed"
        log.notice("write request", path=request.path, operator=operator, status=response.status)
        return response

    def _is_authorized(self, request: Request) -> bool:
        if not self._token:
            return False
        credentials = _header_value(request, b"authorization")
        return hmac.compare_digest(credentials, b"Bearer " + self._token)


def _header_value(request: Request, name: bytes) -> bytes:
    return next((value for key, value in request.headers if key == name), b"")
