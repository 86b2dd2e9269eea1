"""A load balancer with fixed targets, for tests and benchmarks."""

# ruff: noqa: ARG002 - fixed targets need only some arguments of the protocol

from __future__ import annotations

from collections.abc import Collection

from kingcupusher._config import Service
from kingcupusher._core.address import Address
from kingcupusher._http.pool import ConnectionPool
from kingcupusher._proxy.load_balancer import TargetEvent


class FixedRetryBudget:
    """A retry budget with a fixed number of retries."""

    __slots__ = ("retries_left",)

    def __init__(self, retries_left: int) -> None:
        self.retries_left = retries_left

    def on_request(self, *, now_ms: float) -> None:
        """Do nothing; the number of retries does not grow with requests."""

    def try_spend(self, *, now_ms: float) -> bool:
        """Use one retry; return ``False`` if none is left."""
        if self.retries_left <= 0:
            return False
        self.retries_left -= 1
        return True


class StaticLoadBalancer:
    """One service with fixed targets; selects the target with the fewest requests in flight."""

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
        self._handoff_pool = ConnectionPool(entry, limit=connections) if entry else None
        self._hosts = {host.encode() for host in service.hosts}

    def service_for(self, host: bytes) -> Service | None:
        """Return the service if ``host`` is one of its hosts."""
        return self.service if host in self._hosts else None

    def choose_target(
        self, service: Service, *, now_ms: float, exclude: Collection[str]
    ) -> str | None:
        """Reserve a slot at the usable target with the fewest requests in flight."""
        chosen: str | None = None
        fewest = service.target.slots
        for target_id, count in self.in_flight.items():
            usable = target_id not in exclude and target_id not in self.closed
            if count < fewest and usable and self._pools[target_id].can_acquire:
                chosen, fewest = target_id, count
        if chosen is not None:
            self.in_flight[chosen] += 1
        return chosen

    def may_send(self, target_id: str, *, now_ms: float) -> bool:
        """Return whether the target is not closed."""
        return target_id not in self.closed

    def pool(self, target_id: str) -> ConnectionPool:
        """Return the connection pool of ``target_id``."""
        return self._pools[target_id]

    def handoff_pool(self, service: Service, *, now_ms: float) -> ConnectionPool | None:
        """Return the connection pool of the other entry, if there is one."""
        return self._handoff_pool

    def retry_budget(self, service: Service) -> FixedRetryBudget:
        """Return the retry budget, which is the same for all services."""
        return self.budget

    def report(self, event: TargetEvent) -> None:
        """Record the event and release the slot at the target."""
        self.in_flight[event.target_id] -= 1
        if self.keep_events:
            self.events.append(event)

    async def close(self) -> None:
        """Close the connections to all targets and the other entry."""
        for pool in self._pools.values():
            await pool.close()
        if self._handoff_pool is not None:
            await self._handoff_pool.close()
