"""Connections to targets and what this entry itself has seen of them."""

from __future__ import annotations

from kingcupusher._discovery import Catalog, Target
from kingcupusher._http.buffered import BufferedResponse
from kingcupusher._http.pool import ConnectionPool
from kingcupusher._limits.cold_start import ColdStartWindow
from kingcupusher._limits.token_bucket import TokenBucket

SUSPEND_MS = 1_000.0
MAX_SUSPEND_MS = 8_000.0
FORGIVE_MS = 6_000.0
"""One failure is forgotten in this time."""
DEFAULT_IDLE_MS = 4_000.0
IDLE_SHARE = 0.8
"""Part of the idle time that a target announces for which a connection is kept."""
FIRST_ASKS = 4.0
"""Questions that a target which this entry has just met gets before its share is known."""


class Link:
    """Connections of this entry to one target, and its own experience with it."""

    __slots__ = (
        "_failures",
        "_noted_ms",
        "_own_limit",
        "asks",
        "cold",
        "pool",
        "suspended_ms",
        "target",
    )

    def __init__(self, target: Target, *, limit: int) -> None:
        self.target = target
        self._own_limit = limit
        self.pool = ConnectionPool(target.record.address, limit=limit, max_idle_ms=DEFAULT_IDLE_MS)
        self.cold = ColdStartWindow()
        self.asks = TokenBucket(per_s=0.0, burst=FIRST_ASKS, now_ms=0.0)
        self.suspended_ms = 0.0
        self._failures = 0.0
        self._noted_ms = 0.0

    def set_bounds(self, *, asks_per_s: float, asks_burst: float, connections: int) -> None:
        """Set this entry's part of what the target bears; connections that are open stay."""
        self.asks.set_rate(per_s=asks_per_s, burst=asks_burst)
        self.pool.limit = min(self._own_limit, connections)

    def note_idle_limit(self, response: BufferedResponse) -> None:
        """Keep connections as long as the target's ``Keep-Alive`` header says, and a bit less."""
        value = response.header(b"keep-alive") or b""
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.pool.max_idle_ms = int(seconds) * 1000.0 * IDLE_SHARE

    def is_suspended(self, *, now_ms: float) -> bool:
        """Whether the target failed lately, so that others are preferred."""
        return now_ms < self.suspended_ms

    def on_failure(self, *, now_ms: float) -> None:
        """Prefer others for a time that doubles with each failure that is not forgotten."""
        elapsed_ms = now_ms - self._noted_ms
        self._failures = max(0.0, self._failures - elapsed_ms / FORGIVE_MS) + 1.0
        self._noted_ms = now_ms
        suspend_ms = min(MAX_SUSPEND_MS, SUSPEND_MS * 2.0 ** (self._failures - 1.0))
        self.suspended_ms = max(self.suspended_ms, now_ms + suspend_ms)


class Links:
    """The links of all targets; a target that restarts gets a new one."""

    __slots__ = ("_catalog", "_connection_limit", "_links", "_retired")

    def __init__(self, catalog: Catalog, *, connection_limit: int) -> None:
        self._catalog = catalog
        self._connection_limit = connection_limit
        self._links: dict[str, Link] = {}
        self._retired: list[Link] = []

    def get(self, target: Target) -> Link:
        """Return the link to ``target``."""
        link = self._links.get(target.target_id)
        if link is not None and link.target is target:
            return link
        if link is not None:
            self._retired.append(link)
        link = Link(target, limit=self._connection_limit)
        self._links[target.target_id] = link
        return link

    async def tidy(self) -> None:
        """Close the connections to targets that are gone, and those that were idle for long."""
        known = self._catalog.targets
        for target_id in [i for i, link in self._links.items() if known.get(i) is not link.target]:
            self._retired.append(self._links.pop(target_id))
        retired, self._retired = self._retired, []
        for link in retired:
            await link.pool.close()
        for link in list(self._links.values()):
            await link.pool.close_idle()

    async def close(self) -> None:
        """Close all connections."""
        for link in [*self._links.values(), *self._retired]:
            await link.pool.close()
