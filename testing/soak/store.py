"""Stand-in for the platform's store as a process; requests to ``/test`` inject its faults."""

from __future__ import annotations

import json
import sys
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, urlsplit

import curio

from kingcupusher._core import Registry, now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.simple_client import Response
from kingcupusher._http.simple_server import Request, serve

JSON = [(b"content-type", b"application/json")]
RESTORATIONS_HEADER = b"store-era"
COPY_INTERVAL_S = 1.0
COPY_COUNT = 4
"""A restoration uses the oldest of these copies."""
POLL_INTERVAL_S = 0.02
LEASE_CHECK_INTERVAL_S = 0.1
CallHandler = Callable[["Store", dict[str, str], dict], Awaitable[Response]]
CALL_HANDLERS: Registry[CallHandler] = Registry("store call")


def _json_response(content: object, status: int = 200) -> Response:
    return Response(status, JSON, json.dumps(content).encode())


class ResponseDroppedError(OSError):
    """Closes the connection instead of sending the response."""


class Store:
    """Items with revisions, an event history that may be dropped, and leases."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.history_start = 0
        self.leases: dict[int, tuple[float, float]] = {}
        """Instant of expiry and TTL of a lease, in milliseconds."""
        self.restorations = 1
        self.copies: list[tuple] = []
        self.fault = ""
        self.fault_until_ms = 0.0
        self.cut_count = 0

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write an item; ``value`` is encoded in base64."""
        self.revision += 1
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "lease": lease}
        self.events.append(self.items[key])

    def remove(self, key: str) -> None:
        """Remove an item if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "tombstone": True})

    def expire_leases(self, *, before_ms: float) -> None:
        """Remove the leases that expired before ``before_ms``, and their keys."""
        for lease in [i for i, (end_ms, _) in self.leases.items() if end_ms < before_ms]:
            del self.leases[lease]
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)

    async def run_lease_expiry(self) -> None:
        """Expire leases periodically until cancelled."""
        while True:
            await curio.sleep(LEASE_CHECK_INTERVAL_S)
            self.expire_leases(before_ms=now_ms())

    async def run_copies(self) -> None:
        """Keep a few recent copies until cancelled."""
        while True:
            self.copies.append((self.revision, dict(self.items), dict(self.leases)))
            del self.copies[:-COPY_COUNT]
            await curio.sleep(COPY_INTERVAL_S)

    def restore(self) -> None:
        """Return to the oldest copy; what others than the entries wrote is written again."""
        if not self.copies:
            return
        current = self.items
        self.revision, self.items, self.leases = self.copies.pop(0)
        self.copies.clear()
        self.restorations += 1
        self.history_start, self.events = self.revision, []
        foreign = {key: item for key, item in current.items() if not item["lease"]}
        for key in [k for k, item in self.items.items() if not item["lease"] and k not in foreign]:
            self.remove(key)
        for key, item in foreign.items():
            if self.items.get(key, {}).get("value") != item["value"]:
                self.put(key, item["value"])

    async def handle(self, request: Request) -> Response:
        """Respond to one call with the number of restorations, subject to the active fault."""
        response = await self._respond(request)
        header = (RESTORATIONS_HEADER, b"%d" % self.restorations)
        return Response(response.status, [*response.headers, header], response.body)

    async def _respond(self, request: Request) -> Response:
        url = urlsplit(request.path)
        name = url.path.rstrip("0123456789").rstrip("/").rpartition("/")[2]
        fault = self.fault if now_ms() < self.fault_until_ms and name != "test" else ""
        if fault == "refuse":
            return _json_response({}, 503)
        if fault == "limit":
            return _json_response({}, 429)
        if fault == "slow":
            await curio.sleep(0.4)
        query = dict(parse_qsl(url.query)) | {"path": url.path}
        body = json.loads(request.body) if request.body else {}
        response = await CALL_HANDLERS.get(name)(self, query, body)
        if fault == "lose":
            raise ResponseDroppedError("response dropped by a fault")
        return response


@CALL_HANDLERS.register("kv-range")
async def _range(store: Store, query: dict[str, str], _body: dict) -> Response:
    prefix = query.get("prefix", "")
    items = [store.items[key] for key in sorted(store.items) if key.startswith(prefix)]
    return _json_response({"items": items, "hasMore": False, "asOf": store.revision})


@CALL_HANDLERS.register("kv-watch")
async def _watch(store: Store, query: dict[str, str], _body: dict) -> Response:
    after, end_ms = int(query["after"]), now_ms() + int(query["waitMs"])
    cut_count = store.cut_count
    while store.revision <= after and now_ms() < end_ms:
        await curio.sleep(POLL_INTERVAL_S)
        if store.cut_count > cut_count:
            raise ResponseDroppedError("watch cut by a fault")
    if not store.history_start <= after <= store.revision:
        return _json_response({}, 410)
    events = [event for event in store.events if event["revision"] > after]
    return _json_response({"events": events, "asOf": store.revision})


@CALL_HANDLERS.register("kv-lease")
async def _grant_lease(store: Store, _query: dict[str, str], body: dict) -> Response:
    ttl_ms = body["ttlS_time"] * 1000.0
    lease = 100 + store.revision * 10 + len(store.leases)
    store.leases[lease] = (now_ms() + ttl_ms, ttl_ms)
    return _json_response({"lease": lease, "ttlS_time": body["ttlS_time"]})


@CALL_HANDLERS.register("kv-keep")
async def _renew_lease(store: Store, query: dict[str, str], _body: dict) -> Response:
    lease = int(query["path"].rpartition("/")[2])
    if lease not in store.leases:
        return _json_response({}, 404)
    ttl_ms = store.leases[lease][1]
    store.leases[lease] = (now_ms() + ttl_ms, ttl_ms)
    return _json_response({"ttlS_time": ttl_ms / 1000.0})


@CALL_HANDLERS.register("kv-txn")
async def _commit_transaction(store: Store, _query: dict[str, str], body: dict) -> Response:
    for expected in body["expect"]:
        if store.items.get(expected["key"], {"revision": 0})["revision"] != expected["revision"]:
            return _json_response({"items": []}, 412)
    if any(put.get("lease") and put["lease"] not in store.leases for put in body["puts"]):
        return _json_response({}, 404)
    for put in body["puts"]:
        store.put(put["key"], put["value"], put.get("lease", 0))
    for key in body["remove"]:
        store.remove(key)
    return _json_response({"revision": store.revision})


@CALL_HANDLERS.register("test")
async def _handle_test_request(store: Store, _query: dict[str, str], body: dict) -> Response:
    """Write or remove items without preconditions, or inject a fault."""
    for key, value in body.get("puts", {}).items():
        store.put(key, value)
    for key in body.get("remove", ()):
        store.remove(key)
    if body.get("forget"):
        store.history_start, store.events = store.revision, []
    if body.get("cut_watches"):
        store.cut_count += 1
    if body.get("restore"):
        store.restore()
    if body.get("lapse"):
        store.expire_leases(before_ms=float("inf"))
    if "mode" in body:
        store.fault, store.fault_until_ms = body["mode"], now_ms() + body["for_ms"]
    return _json_response({"revision": store.revision})


async def _main(address: Address) -> None:
    store = Store()
    await curio.spawn(store.run_lease_expiry, daemon=True)
    await curio.spawn(store.run_copies, daemon=True)
    await serve(address, store.handle)


if __name__ == "__main__":
    curio.run(_main, Address.parse(sys.argv[1]))
