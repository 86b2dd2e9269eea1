"""Stand-in for the platform's store as a process, with faults that its test address orders."""

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
POLL_S = 0.02
LEASE_SWEEP_S = 0.1
Call = Callable[["Store", dict[str, str], dict], Awaitable[Response]]
CALLS: Registry[Call] = Registry("store call")


def _answer(content: object, status: int = 200) -> Response:
    return Response(status, JSON, json.dumps(content).encode())


class LostAnswerError(OSError):
    """Ends the connection in place of an answer."""


class Store:
    """Items with revisions, a history that may be dropped, and leases."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.history_start = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.mode = ""
        self.mode_until_ms = 0.0

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write an item; ``value`` is in base64."""
        self.revision += 1
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "lease": lease}
        self.events.append(self.items[key])

    def remove(self, key: str) -> None:
        """Remove an item if there is one."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "tombstone": True})

    def end_leases(self, *, ended_ms: float) -> None:
        """End the leases that ran out before ``ended_ms``, with their keys."""
        for lease in [i for i, (end_ms, _) in self.leases.items() if end_ms < ended_ms]:
            del self.leases[lease]
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)

    async def sweep(self) -> None:
        """End leases until cancelled."""
        while True:
            await curio.sleep(LEASE_SWEEP_S)
            self.end_leases(ended_ms=now_ms())

    async def handle(self, request: Request) -> Response:
        """Answer one call, unless a fault is ordered."""
        url = urlsplit(request.path)
        name = url.path.rstrip("0123456789").rstrip("/").rpartition("/")[2]
        mode = self.mode if now_ms() < self.mode_until_ms and name != "test" else ""
        if mode == "refuse":
            return _answer({}, 503)
        if mode == "slow":
            await curio.sleep(0.4)
        query = dict(parse_qsl(url.query)) | {"path": url.path}
        body = json.loads(request.body) if request.body else {}
        answer = await CALLS.get(name)(self, query, body)
        if mode == "lose":
            raise LostAnswerError("the answer is lost")
        return answer


@CALLS.register("kv-range")
async def _range(store: Store, query: dict[str, str], _body: dict) -> Response:
    prefix = query.get("prefix", "")
    items = [store.items[key] for key in sorted(store.items) if key.startswith(prefix)]
    return _answer({"items": items, "hasMore": False, "asOf": store.revision})


@CALLS.register("kv-watch")
async def _watch(store: Store, query: dict[str, str], _body: dict) -> Response:
    after, end_ms = int(query["after"]), now_ms() + int(query["waitMs"])
    while store.revision <= after and now_ms() < end_ms:
        await curio.sleep(POLL_S)
    if after < store.history_start:
        return _answer({}, 410)
    events = [event for event in store.events if event["revision"] > after]
    return _answer({"events": events, "asOf": store.revision})


@CALLS.register("kv-lease")
async def _lease(store: Store, _query: dict[str, str], body: dict) -> Response:
    ttl_ms = body["ttlS_time"] * 1000.0
    lease = 100 + store.revision * 10 + len(store.leases)
    store.leases[lease] = (now_ms() + ttl_ms, ttl_ms)
    return _answer({"lease": lease, "ttlS_time": body["ttlS_time"]})


@CALLS.register("kv-keep")
async def _keep(store: Store, query: dict[str, str], _body: dict) -> Response:
    lease = int(query["path"].rpartition("/")[2])
    if lease not in store.leases:
        return _answer({}, 404)
    ttl_ms = store.leases[lease][1]
    store.leases[lease] = (now_ms() + ttl_ms, ttl_ms)
    return _answer({"ttlS_time": ttl_ms / 1000.0})


@CALLS.register("kv-txn")
async def _change(store: Store, _query: dict[str, str], body: dict) -> Response:
    for row in body["expect"]:
        if store.items.get(row["key"], {"revision": 0})["revision"] != row["revision"]:
            return _answer({"items": []}, 412)
    if any(put.get("lease") and put["lease"] not in store.leases for put in body["puts"]):
        return _answer({}, 404)
    for put in body["puts"]:
        store.put(put["key"], put["value"], put.get("lease", 0))
    for key in body["remove"]:
        store.remove(key)
    return _answer({"revision": store.revision})


@CALLS.register("test")
async def _test(store: Store, _query: dict[str, str], body: dict) -> Response:
    """Write as the operator and the targets do, or order a fault."""
    for key, value in body.get("puts", {}).items():
        store.put(key, value)
    for key in body.get("remove", ()):
        store.remove(key)
    if body.get("forget"):
        store.history_start, store.events = store.revision, []
    if body.get("lapse"):
        store.end_leases(ended_ms=float("inf"))
    if "mode" in body:
        store.mode, store.mode_until_ms = body["mode"], now_ms() + body["for_ms"]
    return _answer({"revision": store.revision})


async def _main(address: Address) -> None:
    store = Store()
    await curio.spawn(store.sweep, daemon=True)
    await serve(address, store.handle)


if __name__ == "__main__":
    curio.run(_main, Address.parse(sys.argv[1]))
