"""Table of HTTP routes that decorators fill."""

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
    """Raised when a request cannot be understood."""


class Call(Struct, frozen=True):
    """One request as a route sees it: the variable part of its path, its query and its body."""

    name: str
    query: dict[str, str]
    body: bytes

    def number(self, field: str) -> int:
        """Return the query field as an integer."""
        try:
            return int(self.query[field])
        except (KeyError, ValueError):
            raise BadRequestError(f"query field {field} must be an integer") from None

    def json(self, kind: type[B]) -> B:
        """Return the body decoded as ``kind``."""
        try:
            return msgspec.json.decode(self.body, type=kind)
        except msgspec.DecodeError as error:
            raise BadRequestError(str(error)) from None


Route = Callable[[S, Call], Awaitable[Response]]


class Match(Struct, Generic[S], frozen=True):
    """The route of a request."""

    operation: str
    route: Route[S]
    call: Call


class Routes(Generic[S]):
    """Maps method and path to a route; a path that ends in ``*`` has a variable part."""

    __slots__ = ("_table",)

    def __init__(self) -> None:
        self._table: list[tuple[str, re.Pattern[str], str, Route[S]]] = []

    def add(self, method: str, path: str, operation: str) -> Callable[[Route[S]], Route[S]]:
        """Return a decorator that registers a route under an operation name."""
        pattern = re.compile(re.escape(path).replace(r"\*", "(?P<name>.+)"))

        def register(route: Route[S]) -> Route[S]:
            self._table.append((method, pattern, operation, route))
            return route

        return register

    def match(self, request: Request) -> Match[S] | None:
        """Return the route of ``request``, or None if there is none."""
        parts = urlsplit(request.path)
        for method, pattern, operation, route in self._table:
            found = pattern.fullmatch(parts.path)
            if method == request.method and found:
                name = unquote(found.groupdict().get("name", ""))
                call = Call(name, dict(parse_qsl(parts.query)), request.body)
                return Match(operation, route, call)
        return None


def json_response(content: Any, *, status: int = 200) -> Response:
    """Return ``content`` as a JSON response."""
    headers = [(b"content-type", b"application/json")]
    return Response(status, headers, msgspec.json.encode(content))


def error_response(status: int, message: str) -> Response:
    """Return an error as a JSON response."""
    return json_response({"error": message}, status=status)
