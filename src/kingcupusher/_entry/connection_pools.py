"""Pools of connections from one entry to its targets and to other entries."""

from __future__ import annotations

from collections.abc import Collection

from kingcupusher._core.address import Address
from kingcupusher._http.pool import ConnectionPool

MAX_HANDOFF_CONNECTIONS = 32


class ConnectionPools:
    """One pool for each target, by its id, and for each entry that gets requests, by its address.

    A retired pool takes no further request and is closed by :meth:`close_unused`.
    """

    __slots__ = ("_by_entry", "_by_target", "_retired")

    def __init__(self) -> None:
        self._by_target: dict[str, ConnectionPool] = {}
        self._by_entry: dict[Address, ConnectionPool] = {}
        self._retired: list[ConnectionPool] = []

    @property
    def target_ids(self) -> Collection[str]:
        """Targets that have a pool."""
        return self._by_target.keys()

    def for_target(self, target_id: str) -> ConnectionPool | None:
        """Return the pool of a target, if it has one."""
        return self._by_target.get(target_id)

    def add_target(self, target_id: str, address: Address, *, limit: int) -> ConnectionPool:
        """Create the pool of a target with at most ``limit`` connections."""
        pool = ConnectionPool(address, limit=limit)
        self._by_target[target_id] = pool
        return pool

    def for_entry(self, address: Address) -> ConnectionPool:
        """Return the pool of another entry."""
        pool = self._by_entry.get(address)
        if pool is None:
            pool = ConnectionPool(address, limit=MAX_HANDOFF_CONNECTIONS)
            self._by_entry[address] = pool
        return pool

    def has_free_connection(self, target_id: str) -> bool:
        """Return whether a request to a target would get a connection at once."""
        pool = self._by_target.get(target_id)
        return pool is None or pool.can_acquire

    def retire(self, target_ids: Collection[str]) -> None:
        """Retire the pools of ``target_ids``; those without a pool are ignored."""
        for target_id in list(target_ids):
            pool = self._by_target.pop(target_id, None)
            if pool is not None:
                self._retired.append(pool)

    async def close_unused(self) -> None:
        """Close retired pools, and connections that were idle for too long."""
        retired, self._retired = self._retired, []
        for pool in retired:
            await pool.close()
        for pool in [*self._by_target.values(), *self._by_entry.values()]:
            await pool.close_idle()

    async def discard_closed(self) -> list[str]:
        """Discard connections that their targets closed; return targets that closed all of them."""
        pools = list(self._by_target.items())
        return [target_id for target_id, pool in pools if await pool.discard_closed()]

    async def close(self) -> None:
        """Close all connections."""
        self.retire(self.target_ids)
        self._retired += self._by_entry.values()
        self._by_entry = {}
        await self.close_unused()
