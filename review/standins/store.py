"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64encode
from urllib.parse import parse_qs, urlsplit

from standins.http1 import BrokenMessageError, Message, encode, read_message


class WatchCutError(Exception):
    """Ends the connection of a waiting watch without an answer."""


class Store:
    """Items with revisions, a history, leases and watches."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 70_000
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.port = 0
        self.cut_watches_after_s: float | None = None
        """A watch that has waited for this long without an event is cut."""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._expiry = asyncio.create_task(self._expire_leases())

    async def move(self) -> int:
        """Listen on a new port too; return the old one, which :meth:`close_old` closes."""
        old_port, self._old_server = self.port, self._server
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return old_port

    def close_old(self) -> None:
        """Refuse further connections on the port before the last :meth:`move`."""
        self._old_server.close()

    async def put(self, key: str, value: object) -> int:
        """Write an item as the operator or a server does; return the acknowledged revision."""
        self._put(key, b64encode(json.dumps(value).encode()).decode(), 0)
        await self._notify()
        return self.revision

    async def remove(self, key: str) -> None:
        self._remove(key)
        await self._notify()

    def _put(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": value, "revision": self.revision}
        self.items[key] = item | {"created": created, "lease": lease}
        self.events.append(self.items[key])

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "tombstone": True})

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [i for i, (end, _) in self.leases.items() if end < now]:
                await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)
        await self._notify()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, content = await self._answer(request)
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                body = json.dumps(content).encode()
                writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        except (OSError, BrokenMessageError, WatchCutError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, object]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        if url.path == "/api/kv-range":
            return self._range(query)
        if url.path == "/api/kv-watch":
            return await self._watch(query)
        if url.path == "/api/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, item | {"asOf": self.revision}) if item else (404, {})
        if url.path == "/api/kv-txn":
            return await self._transact(body)
        if url.path == "/api/kv-lease":
            ttl_s = max(1.0, float(body["ttlS_time"]))
            self._last_lease += 1
            self.leases[self._last_lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": self._last_lease, "ttlS_time": ttl_s}
        lease = int(url.path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if url.path.startswith("/api/kv-keep/"):
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttlS_time": ttl_s}
        await self._end_lease(lease)
        return 200, {}

    def _range(self, query: dict[str, str]) -> tuple[int, object]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[:500]]
        return 200, {"items": items, "hasMore": len(keys) > 500, "asOf": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        begun = time.monotonic()
        end = begun + min(int(query.get("waitMs", 0)), 30_000) / 1000.0
        while True:
            events = [
                e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0.0:
                return 200, {"events": events, "asOf": self.revision}
            if self.cut_watches_after_s is not None:
                left_uncut = begun + self.cut_watches_after_s - time.monotonic()
                if left_uncut <= 0.0:
                    raise WatchCutError
                left = min(left, left_uncut)
            try:
                async with asyncio.timeout(left):
                    async with self._changed:
                        await self._changed.wait()
            except TimeoutError:
                continue

    async def _transact(self, body: dict) -> tuple[int, object]:
        rows = body.get("expect", [])
        current = [self.items.get(row["key"], {"key": row["key"], "revision": 0}) for row in rows]
        if any(c["revision"] != row["revision"] for c, row in zip(current, rows, strict=True)):
            return 412, {"items": current}
        puts = body.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        await self._notify()
        return 200, {"revision": self.revision}
