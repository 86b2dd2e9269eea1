"""Finds the route of a request and the service for it."""

from __future__ import annotations

from kingcupusher._discovery.model import Route, RouteTable
from kingcupusher._discovery.weighted_round_robin import WeightedRoundRobin


class RouteIndex:
    """The routes in force by host, and the position of each in the sequence of its services."""

    __slots__ = ("_by_host", "_round_robins")

    def __init__(self) -> None:
        self._by_host: dict[bytes, list[Route]] = {}
        self._round_robins: dict[tuple[str, tuple[object, ...]], WeightedRoundRobin] = {}

    def replace(self, table: RouteTable) -> None:
        """Index the routes of ``table``; a route with the same services keeps its position."""
        self._by_host = {}
        for route in sorted(table.routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host, []).append(route)
        splits = {(route.name, route.parts) for route in table.routes}
        self._round_robins = {
            key: round_robin for key, round_robin in self._round_robins.items() if key in splits
        }

    def find(self, host: bytes, path: bytes) -> Route | None:
        """Return the route with the longest prefix of ``path`` among those of ``host``."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def next_service(self, route: Route) -> str:
        """Return the name of the service for the next request, by weighted round robin."""
        key = (route.name, route.parts)
        round_robin = self._round_robins.get(key)
        if round_robin is None:
            round_robin = self._round_robins[key] = WeightedRoundRobin(route.parts)
        return round_robin.next_service()
