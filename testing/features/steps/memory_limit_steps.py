"""Steps for the memory of what an entry keeps."""

from __future__ import annotations

import gc
import tracemalloc

import msgspec
from behave import then, when

from kingcupusher._discovery import RoutesPublished, StorePosition
from kingcupusher._proxy.load_report import parse_load_report
from kingcupusher._relay.update_cache import UpdateCache
from testing.gateway.fixture import GatewayFixture, many_routes

LOAD_REPORT_CHARS = 16_000
UPDATE_BYTES = 400_000
ROUTES = 50


class _LoadReports:
    def repeat(self, number):
        assert parse_load_report(f"{number} ".ljust(LOAD_REPORT_CHARS, "x").encode()) is None


class _Updates:
    def __init__(self):
        self.cache = UpdateCache()

    def repeat(self, number):
        key = (StorePosition(1, number), StorePosition(1, number + 1), 0.0)
        self.cache.put(key, bytes(UPDATE_BYTES))
        assert self.cache.get(key) is not None


class _RenamedRoutes:
    """An entry whose configuration renames its routes; each route is used once."""

    def __init__(self):
        fixture = GatewayFixture(["healthy"])
        self.catalog, self.state = fixture.catalog, fixture.gateway

    def repeat(self, number):
        table = many_routes(ROUTES, version=number + 1)
        routes = [
            msgspec.structs.replace(route, name=f"{route.name} {number}") for route in table.routes
        ]
        table = msgspec.structs.replace(table, routes=tuple(routes))
        self.catalog.apply([RoutesPublished(table)], now_ms=0.0)
        for route in table.routes:
            assert self.catalog.pick_service(route) is not None
            self.state.response_time(route)


EVENTS = {
    "a target reports its load in 16 KB of text": _LoadReports,
    "a subscriber gets an encoded update of 400 KB": _Updates,
    "a configuration renames 50 routes, which are used": _RenamedRoutes,
}


@when("{count:d} times this happens: {event}")
def when_repeated(context, count, event):
    subject = EVENTS[event]()
    gc.collect()
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        for number in range(count):
            subject.repeat(number)
        gc.collect()
        after_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    context.kept_bytes = after_bytes - before_bytes


@then("the entry has kept at most {limit_kb:d} KB")
def then_kept(context, limit_kb):
    assert context.kept_bytes <= limit_kb * 1_000, context.kept_bytes


@then("an encoded update of {size_mb:d} MB is kept until the next one")
def then_newest_kept(context, size_mb):
    # Guards against a large update that is encoded again for each of many subscribers.
    del context
    cache = UpdateCache()
    first, second = (None, StorePosition(1, 1), 0.0), (None, StorePosition(1, 2), 0.0)
    cache.put(first, bytes(size_mb * 1_000_000))
    assert cache.get(first) is not None
    cache.put(second, b"small")
    assert cache.get(first) is None and cache.get(second) == b"small"
    assert cache.size_bytes == len(b"small")
