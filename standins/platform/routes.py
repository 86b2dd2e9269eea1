"""Routing table of the HTTP interfaces; decorators register the handlers."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar
from urllib.parse import parse_qsl, unquote, urlsplit

import msgspec
from msgspec import Struct

from kingcupusher._http.simple_client import Response
from kingcupusher._http.simple_server import Request

S = TypeVar("S")
B = TypeVar("B")


class BadRequestError(Exception):
    """Raised when a query field or a body is invalid; the response has status 400."""


class ApiCall(Struct, frozen=True):
    """A request as its handler gets it: the variable part of the path, the query and the body."""

    path_arg: str
    query: dict[str, str]
    body: bytes

    def int_parameter(self, name: str) -> int:
        """Return a query field as an integer; raise :class:`BadRequestError` if it is none."""
        try:
            return int(self.query[name])
        except (KeyError, ValueError):
            raise BadRequestError(f"query field {name} must be an integer") from None

    def decode_body(self, body_type: type[B]) -> B:
        """Return the JSON body decoded; raise :class:`BadRequestError` if it does not fit."""
        try:
            return msgspec.json.decode(self.body, type=body_type)
        except msgspec.DecodeError as error:
            raise BadRequestError(str(error)) from None


RouteHandler = Callable[[S, ApiCall], Awaitable[Response]]


class RouteMatch(Struct, Generic[S], frozen=True):
    """Handler of a request, and its operation name for the call counts."""

    operation: str
    handler: RouteHandler[S]
    call: ApiCall


class Routes(Generic[S]):
    """Maps method and path to a handler; ``*`` at the end of a path matches its variable part."""

    __slots__ = ("_table",)

    def __init__(self) -> None:
        self._table: list[tuple[str, re.Pattern[str], str, RouteHandler[S]]] = []

    def add(
        self, method: str, path: str, operation: str
    ) -> Callable[[RouteHandler[S]], RouteHandler[S]]:
        """Return a decorator that registers a handler under an operation name."""
        pattern = re.compile(re.escape(path).replace(r"\*", "(?P<name>.+)"))

        def register(handler: RouteHandler[S]) -> RouteHandler[S]:
            self._table.append((method, pattern, operation, handler))
            return handler

        return register

    def match(self, request: Request) -> RouteMatch[S] | None:
        """Return the handler of ``request``, or None if no route matches."""
        parts = urlsplit(request.path)
        for method, pattern, operation, handler in self._table:
            found = pattern.fullmatch(parts.path)
            if method == request.method and found:
                path_arg = unquote(found.groupdict().get("name", ""))
                call = ApiCall(path_arg, dict(parse_qsl(parts.query)), request.body)
                return RouteMatch(operation, handler, call)
        return None


def json_response(content: Any, *, status: int = 200) -> Response:
    """Return a response with ``content`` encoded as JSON."""
    headers = [(b"content-type", b"application/json")]
    return Response(status, headers, msgspec.json.encode(content))


def error_response(status: int, message: str) -> Response:
    """Return a JSON response with an error message."""
    return json_response({"error": message}, status=status)
