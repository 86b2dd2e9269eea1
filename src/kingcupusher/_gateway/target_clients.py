"""Per-target connection pools, rate limits and suspension after failures."""

from __future__ import annotations

from collections.abc import Callable

from kingcupusher._core import Registry, now_ms
from kingcupusher._discovery import Catalog, Target
from kingcupusher._http.buffered import BufferedResponse
from kingcupusher._http.pool import ConnectionPool
from kingcupusher._limits.announcements import (
    NO_ANNOUNCEMENT,
    Announcement,
    TargetAnnouncements,
    TargetInstance,
)
from kingcupusher._limits.send_window import SendWindow
from kingcupusher._limits.shares import EntryRank
from kingcupusher._limits.token_bucket import TokenBucket
from kingcupusher._routing.load_reading import LoadReading

BASE_SUSPENSION_MS = 1_000.0
MAX_SUSPENSION_MS = 8_000.0
FAILURE_DECAY_MS = 6_000.0
"""Time in which the failure count decays by one."""
DEFAULT_IDLE_MS = 4_000.0
KEEP_ALIVE_SHARE = 0.8
"""Share of a target's announced keep-alive time for which idle connections are kept."""
INITIAL_PROBE_TOKENS = 4.0
"""Probes that a new target may get before the entry's share of the probe rate is set."""


ANNOUNCED_STATES: Registry[Callable[[TargetAnnouncements, TargetInstance, float], bool]] = Registry(
    "announced state"
)


@ANNOUNCED_STATES.register("leaving")
def _is_leaving(
    announcements: TargetAnnouncements, instance: TargetInstance, now_ms: float  # noqa: ARG001
) -> bool:
    return announcements.is_leaving(instance)


@ANNOUNCED_STATES.register("paused")
def _is_paused(announcements: TargetAnnouncements, instance: TargetInstance, now_ms: float) -> bool:
    return announcements.is_paused(instance, now_ms=now_ms)


class TargetClient:
    """Connections of this entry to one target, and the limits on their use."""

    __slots__ = (
        "_failures",
        "_last_failure_ms",
        "_connection_limit",
        "_rank",
        "_ranked_entries",
        "last_reading",
        "probe_tokens",
        "max_requests_per_s",
        "pool",
        "rate_limit_read_ms",
        "sends",
        "suspended_until_ms",
        "target",
    )

    def __init__(self, target: Target, *, limit: int) -> None:
        self.target = target
        self._connection_limit = limit
        self.pool = ConnectionPool(target.record.address, limit=limit, max_idle_ms=DEFAULT_IDLE_MS)
        self.sends = SendWindow()
        self.probe_tokens = TokenBucket(per_s=0.0, burst=INITIAL_PROBE_TOKENS, now_ms=0.0)
        self.last_reading: LoadReading | None = None
        self.max_requests_per_s: float | None = None
        self.rate_limit_read_ms = 0.0
        self.suspended_until_ms = 0.0
        self._failures = 0.0
        self._last_failure_ms = 0.0
        self._ranked_entries: list[str] | None = None
        self._rank = EntryRank(0, 1)

    def set_limits(self, *, probes_per_s: float, probe_burst: float, connections: int) -> None:
        """Set this entry's share of the limits of the target; open connections stay open."""
        self.probe_tokens.set_rate(per_s=probes_per_s, burst=probe_burst)
        self.pool.limit = min(self._connection_limit, connections)

    def apply_keep_alive(self, response: BufferedResponse) -> None:
        """Set the idle time of connections to a bit less than in the ``Keep-Alive`` header."""
        value = response.header(b"keep-alive") or b""
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.pool.max_idle_ms = int(seconds) * 1000.0 * KEEP_ALIVE_SHARE

    def rank(self, entry: str, *, entries: list[str]) -> EntryRank:
        """Return the rank of ``entry`` for this target; it is kept until another list is given."""
        if entries is not self._ranked_entries:
            target_id = self.target.target_id
            self._rank = EntryRank.of(entry, entries=entries, target_id=target_id)
            self._ranked_entries = entries
        return self._rank

    def recent_reading(self, *, max_age_ms: float, now_ms: float) -> LoadReading | None:
        """Return the last reading if it is at most ``max_age_ms`` old, and newer than a failure."""
        reading = self.last_reading
        if reading is None or now_ms - reading.read_ms > max_age_ms:
            return None
        return reading if reading.read_ms > self._last_failure_ms else None

    def is_suspended(self, *, now_ms: float) -> bool:
        """Whether the target failed recently, so that others are preferred."""
        return now_ms < self.suspended_until_ms

    def on_failure(self, *, now_ms: float) -> None:
        """Suspend the target for a time that doubles with each failure that has not decayed."""
        elapsed_ms = now_ms - self._last_failure_ms
        self._failures = max(0.0, self._failures - elapsed_ms / FAILURE_DECAY_MS) + 1.0
        self._last_failure_ms = now_ms
        suspend_ms = min(MAX_SUSPENSION_MS, BASE_SUSPENSION_MS * 2.0 ** (self._failures - 1.0))
        self.suspended_until_ms = max(self.suspended_until_ms, now_ms + suspend_ms)


class TargetClients:
    """Clients of all targets; a target that restarts gets a new one."""

    __slots__ = ("_catalog", "_connection_limit", "_clients", "_on_event", "_retired")

    def __init__(
        self, catalog: Catalog, *, connection_limit: int, on_event: Callable[..., None]
    ) -> None:
        self._catalog = catalog
        self._on_event = on_event
        self._connection_limit = connection_limit
        self._clients: dict[str, TargetClient] = {}
        self._retired: list[TargetClient] = []

    def get(self, target: Target) -> TargetClient:
        """Return the client of ``target``, which is created if needed."""
        client = self._clients.get(target.target_id)
        if client is not None and client.target is target:
            return client
        if client is not None:
            self._retired.append(client)
        client = TargetClient(target, limit=self._connection_limit)
        self._clients[target.target_id] = client
        return client

    def record_announcement(
        self, client: TargetClient, announcement: Announcement, *, request_id: str | None
    ) -> None:
        """Record what a target announced in the response to a request, or to a load probe."""
        if announcement is NO_ANNOUNCEMENT:
            return
        instance = client.target.record.instance
        is_new = self._catalog.announcements.record(instance, announcement, now_ms=now_ms())
        if is_new or announcement.problem:
            self._on_event(
                "target announcement",
                id=request_id,
                target=client.target.target_id,
                service=client.target.record.service,
                leaving=announcement.is_leaving,
                pause_ms=announcement.pause_ms,
                ignored=announcement.problem,
            )

    def announced_count(self, service: str, state: str) -> int:
        """Return how many known targets of ``service`` are in ``state``, see ANNOUNCED_STATES."""
        is_in_state = ANNOUNCED_STATES.get(state)
        announcements, current_ms = self._catalog.announcements, now_ms()
        return sum(
            is_in_state(announcements, target.record.instance, current_ms)
            for target in self._catalog.targets.values()
            if target.record.service == service
        )

    def record_reading(self, client: TargetClient, reading: LoadReading) -> None:
        """Record the latest load reading, with the request rate that the target states in it."""
        client.last_reading = reading
        client.rate_limit_read_ms = reading.read_ms
        before, max_requests_per_s = client.max_requests_per_s, reading.max_requests_per_s
        if max_requests_per_s == before:
            return
        client.max_requests_per_s = max_requests_per_s
        self._on_event(
            "target rate limit",
            target=client.target.target_id,
            service=client.target.record.service,
            max_requests_per_s=max_requests_per_s,
            before=before,
        )

    def rate_limited_count(self, service: str) -> int:
        """Return how many known targets of ``service`` state a request rate."""
        return sum(
            client.max_requests_per_s is not None and client.target.record.service == service
            for client in self._clients.values()
        )

    async def close_unused(self) -> None:
        """Close the connections to removed targets, and those that were idle for too long."""
        known = self._catalog.targets
        for target_id in [
            i for i, client in self._clients.items() if known.get(i) is not client.target
        ]:
            self._retired.append(self._clients.pop(target_id))
        retired, self._retired = self._retired, []
        for client in retired:
            await client.pool.close()
        for client in list(self._clients.values()):
            await client.pool.close_idle()

    async def close(self) -> None:
        """Close all connections."""
        for client in [*self._clients.values(), *self._retired]:
            await client.pool.close()
