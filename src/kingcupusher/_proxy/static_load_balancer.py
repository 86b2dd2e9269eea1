"""A directory with fixed targets, for tests and measurements."""

# ruff: noqa: ARG002 - a fixed directory needs only some arguments of the protocol

from __future__ import annotations

from collections.abc import Collection

from kingcupusher._config import Service
from kingcupusher._core.address import Address
from kingcupusher._http.pool import ConnectionPool
from kingcupusher._proxy.load_balancer import TargetEvent


class FixedRetryBudget:
    """A retry budget with a fixed number of retries."""

    __slots__ = ("left",)

    def __init__(self, left: int) -> None:
        self.left = left

    def on_request(self, *, now_ms: float) -> None:
        """Do nothing; the number of retries does not grow with requests."""

    def try_spend(self, *, now_ms: float) -> bool:
        """Take one retry if any is left."""
        if self.left <= 0:
            return False
        self.left -= 1
        return True


class StaticLoadBalancer:
    """One service over fixed targets; the one with the fewest requests in flight is chosen."""

    def __init__(
        self,
        service: Service,
        targets: dict[str, Address],
        *,
        connections: int = 12,
        retries: int = 1_000,
        entry: Address | None = None,
    ) -> None:
        self.service = service
        self.in_flight = dict.fromkeys(targets, 0)
        self.closed: set[str] = set()
        self.events: list[TargetEvent] = []
        self.budget = FixedRetryBudget(retries)
        self.keep_events = True
        self._pools = {
            target_id: ConnectionPool(address, limit=connections)
            for target_id, address in targets.items()
        }
        self._entry = ConnectionPool(entry, limit=connections) if entry else None
        self._hosts = {host.encode() for host in service.hosts}

    def service_for(self, host: bytes) -> Service | None:
        """Return the service if ``host`` is one of its hosts."""
        return self.service if host in self._hosts else None

    def choose_target(
        self, service: Service, *, now_ms: float, exclude: Collection[str]
    ) -> str | None:
        """Return the target with the fewest requests in flight that has a free slot."""
        best: str | None = None
        fewest = service.target.slots
        for target_id, count in self.in_flight.items():
            usable = target_id not in exclude and target_id not in self.closed
            if count < fewest and usable and self._pools[target_id].can_acquire:
                best, fewest = target_id, count
        if best is not None:
            self.in_flight[best] += 1
        return best

    def may_send(self, target_id: str, *, now_ms: float) -> bool:
        """Return whether the target is not closed."""
        return target_id not in self.closed

    def pool(self, target_id: str) -> ConnectionPool:
        """Return the connections of ``target_id``."""
        return self._pools[target_id]

    def handoff_pool(self, service: Service, *, now_ms: float) -> ConnectionPool | None:
        """Return the connections of the other entry, if there is one."""
        return self._entry

    def retry_budget(self, service: Service) -> FixedRetryBudget:
        """Return the one retry budget."""
        return self.budget

    def report(self, event: TargetEvent) -> None:
        """Keep the event and give the place at the target back."""
        self.in_flight[event.target_id] -= 1
        if self.keep_events:
            self.events.append(event)

    async def close(self) -> None:
        """Close the connections to all targets."""
        for pool in self._pools.values():
            await pool.close()
        if self._entry is not None:
            await self._entry.close()
