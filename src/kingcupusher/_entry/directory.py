"""The request path's view of services, targets and other entries."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from random import Random

from kingcupusher._config import ConfigDocument, Service
from kingcupusher._core.address import Address
from kingcupusher._entry.members import GroupKey, Member
from kingcupusher._entry.target_events import note_at_router, note_at_table
from kingcupusher._http.pool import ConnectionPool
from kingcupusher._limits import RetryBudget, connection_share
from kingcupusher._membership import DenialReason, PermissionKind, TargetTable, group_of
from kingcupusher._platform import VmRecord
from kingcupusher._proxy import TargetEvent
from kingcupusher._routing import ServiceRouter, Target

# Rights are looked up again after this time; each send checks its right exactly before the write.
RIGHTS_CACHE_MS = 10.0
RETRY_FLOOR_PER_S = 1.0
HANDOFF_CONNECTIONS = 32


@dataclass(slots=True)
class ServiceState:
    """Routing state of one service."""

    service: Service
    router: ServiceRouter
    budget: RetryBudget
    target_ids: list[str] = field(default_factory=list)
    open_ids: frozenset[str] = frozenset()
    ramp_ids: tuple[str, ...] = ()
    cache_until_ms: float = float("-inf")


class EntryDirectory:
    """Implements the directory protocol of the request path over the membership table.

    Calls are immediate and run in the task of the request, because a message and its answer
    would cost more than the choice itself.
    """

    def __init__(
        self, table: TargetTable, *, seat: int, zone: str, policy: str, rng: Random
    ) -> None:
        self._table = table
        self._seat = seat
        self._zone = zone
        self._policy = policy
        self._rng = rng
        self._max_entries = 1
        self._services: dict[str, ServiceState] = {}
        self._by_host: dict[bytes, Service] = {}
        self._vms: dict[str, VmRecord] = {}
        self._pools: dict[str, ConnectionPool] = {}
        self._handoff_pools: dict[Address, ConnectionPool] = {}
        self._retired: list[ConnectionPool] = []
        self._members: Mapping[int, Member] = {}
        self._groups: Mapping[int, GroupKey] = {}
        self.in_flight = 0

    # -- changes

    def on_config(self, document: ConfigDocument) -> None:
        """Take over services and the number of entries among which connections are divided."""
        if document.max_entries != self._max_entries:
            self._max_entries = document.max_entries
            self._retire_pools(list(self._pools))
        removed = self._services.keys() - document.services.keys()
        for name in removed:
            del self._services[name]
        for service in document.services.values():
            self._put_service(service)
        self._by_host = {
            host.lower().encode(): service
            for service in document.services.values()
            for host in service.hosts
        }
        self._sync_targets()

    def on_vm_list(self, records: Collection[VmRecord]) -> None:
        """Take over the addresses of the targets."""
        vms = {record.vm_id: record for record in records if record.service in self._services}
        if vms == self._vms:
            return
        moved = [i for i, vm in self._vms.items() if i in vms and vms[i].address != vm.address]
        gone = [i for i in self._pools if i not in vms]
        self._vms = vms
        self._retire_pools([i for i in {*moved, *gone} if i in self._pools])
        self._sync_targets()

    def on_fleet(self, members: Mapping[int, Member], groups: Mapping[int, GroupKey]) -> None:
        """Take over the registered entries and the coordinators."""
        self._members = members
        self._groups = groups

    async def close_retired(self) -> None:
        """Close pools that are no longer in use, and connections that were idle for too long."""
        retired, self._retired = self._retired, []
        for pool in retired:
            await pool.close()
        for pool in [*self._pools.values(), *self._handoff_pools.values()]:
            await pool.close_idle()

    async def check_idle_connections(self, *, now_ms: float) -> None:
        """Close the targets that closed all their idle connections: they may have restarted.

        Cost: a target whose own idle limit is below the 15 s of the pool is closed and ramped
        again after each pause in its traffic.
        """
        for target_id, pool in list(self._pools.items()):
            if await pool.discard_closed():
                self._table.on_connection_reset(target_id, sent_ms=now_ms, now_ms=now_ms)

    async def close(self) -> None:
        """Close all connections to targets and entries."""
        self._retire_pools(list(self._pools))
        self._retired += self._handoff_pools.values()
        self._handoff_pools = {}
        await self.close_retired()

    # -- the directory protocol

    def service_for(self, host: bytes) -> Service | None:
        """Return the service that answers for the value of a ``Host`` header."""
        return self._by_host.get(host)

    def choose_target(
        self, service: Service, *, now_ms: float, exclude: Collection[str]
    ) -> str | None:
        """Return a target that may take one more request now and reserve a place at it."""
        state = self._services.get(service.name)
        if state is None:
            return None
        allowed = self._allowed(state, exclude, now_ms)
        view = state.router.choose(now_ms=now_ms, allowed=allowed, exclude=exclude)
        if view is None:
            return None
        state.router.on_sent(view.target_id, now_ms=now_ms)
        self.in_flight += 1
        return view.target_id

    def may_send(self, target_id: str, *, now_ms: float) -> bool:
        """Return whether work may be sent to ``target_id`` at this moment."""
        right = self._table.send_permission(target_id, now_ms=now_ms)
        if right.kind is PermissionKind.OPEN:
            return True
        if right.kind is not PermissionKind.RAMP:
            return False
        vm = self._vms.get(target_id)
        state = self._services.get(vm.service) if vm else None
        if state is None:
            return False
        return state.router.view(target_id).in_flight <= (right.max_in_flight or 0)

    def pool(self, target_id: str) -> ConnectionPool:
        """Return the connections of ``target_id``."""
        pool = self._pools.get(target_id)
        if pool is None:
            vm = self._vms[target_id]
            limits = self._services[vm.service].service.target
            share = connection_share(limits.connections, max_entries=self._max_entries)
            pool = ConnectionPool(vm.address, limit=max(1, share))
            self._pools[target_id] = pool
        return pool

    def handoff_pool(self, service: Service, *, now_ms: float) -> ConnectionPool | None:
        """Return the connections of another entry that coordinates a closed target of ``service``.

        An entry without a confirmation hands nothing on: the other end of a link that it cannot
        confirm may never respond, and the request could then not be reported as not run.
        """
        state = self._services.get(service.name)
        if state is None:
            return None
        seats = sorted(self._ramping_seats(state, now_ms))
        if not seats:
            return None
        seat = seats[self._rng.randrange(len(seats))]
        address = self._members[seat].caller
        pool = self._handoff_pools.get(address)
        if pool is None:
            pool = ConnectionPool(address, limit=HANDOFF_CONNECTIONS)
            self._handoff_pools[address] = pool
        return pool

    def retry_budget(self, service: Service) -> RetryBudget:
        """Return the retry budget of ``service``."""
        state = self._services.get(service.name)
        return state.budget if state else create_retry_budget(service)

    def report(self, event: TargetEvent) -> None:
        """Take note of what became of a request that was given to a target."""
        self.in_flight -= 1
        state = self._services.get(event.service)
        if state is not None:
            note_at_router(state.router, event)
        note_at_table(self._table, event)

    # -- details

    def in_flight_at(self, target_id: str) -> int:
        """Return how many requests of this entry ``target_id`` holds."""
        vm = self._vms.get(target_id)
        state = self._services.get(vm.service) if vm else None
        if state is None or target_id not in state.target_ids:
            return 0
        return state.router.view(target_id).in_flight

    def address_of(self, target_id: str) -> Address | None:
        """Return the address of a listed target."""
        vm = self._vms.get(target_id)
        return vm.address if vm else None

    def _allowed(
        self, state: ServiceState, exclude: Collection[str], now_ms: float
    ) -> Collection[str]:
        if now_ms >= state.cache_until_ms:
            self._refresh_rights(state, now_ms)
        if state.ramp_ids:
            ramping = {i for i in state.ramp_ids if self._has_allowance(state, i, now_ms)}
            # A ramp needs requests to proceed, and only this entry may send them: at 15 entries
            # an equal choice would give a target less than one request per second.
            if ramping - set(exclude):
                return ramping
        return {i for i in state.open_ids if self._has_room(i)}

    def _has_allowance(self, state: ServiceState, target_id: str, now_ms: float) -> bool:
        right = self._table.send_permission(target_id, now_ms=now_ms)
        if right.kind is not PermissionKind.RAMP:
            return False
        return state.router.view(target_id).in_flight < (right.max_in_flight or 0)

    def _refresh_rights(self, state: ServiceState, now_ms: float) -> None:
        open_ids = []
        ramp_ids = []
        for target_id in state.target_ids:
            kind = self._table.send_permission(target_id, now_ms=now_ms).kind
            if kind is PermissionKind.OPEN:
                open_ids.append(target_id)
            elif kind is PermissionKind.RAMP:
                ramp_ids.append(target_id)
        state.open_ids = frozenset(open_ids)
        state.ramp_ids = tuple(ramp_ids)
        state.cache_until_ms = now_ms + RIGHTS_CACHE_MS

    def _has_room(self, target_id: str) -> bool:
        pool = self._pools.get(target_id)
        return pool is None or pool.can_acquire

    def _ramping_seats(self, state: ServiceState, now_ms: float) -> set[int]:
        """Return the other entries that may ramp a target that is closed for this one."""
        seats = set()
        for target_id in state.target_ids:
            right = self._table.send_permission(target_id, now_ms=now_ms)
            seat = self._coordinator_seat(target_id)
            if right.denial_reason is DenialReason.CLOSED and seat is not None:
                seats.add(seat)
        return seats

    def _coordinator_seat(self, target_id: str) -> int | None:
        key = self._groups.get(group_of(target_id))
        if key is None or key.holder.seat == self._seat or key.holder.seat not in self._members:
            return None
        return key.holder.seat

    def _put_service(self, service: Service) -> None:
        state = self._services.get(service.name)
        if state is None:
            router = ServiceRouter(
                service.name,
                policy=self._policy,
                seat=self._seat,
                seat_count=self._max_entries,
                rng=self._rng,
                zone=self._zone,
            )
            self._services[service.name] = ServiceState(
                service, router, create_retry_budget(service)
            )
            return
        if state.service.request != service.request:
            state.budget = create_retry_budget(service)
        if state.service.target != service.target:
            self._retire_pools([i for i in state.target_ids if i in self._pools])
        state.service = service

    def _sync_targets(self) -> None:
        by_service: dict[str, list[VmRecord]] = {name: [] for name in self._services}
        for vm in self._vms.values():
            if vm.service in by_service:
                by_service[vm.service].append(vm)
        for name, state in self._services.items():
            vms = by_service[name]
            slots = state.service.target.slots
            state.router.set_targets(Target(vm.vm_id, vm.zone, slots) for vm in vms)
            state.target_ids = [vm.vm_id for vm in vms]
            state.cache_until_ms = float("-inf")

    def _retire_pools(self, target_ids: Collection[str]) -> None:
        self._retired += [self._pools.pop(target_id) for target_id in target_ids]


def create_retry_budget(service: Service) -> RetryBudget:
    """Return a budget with which the requests in flight at one target that dies can be retried."""
    return RetryBudget(
        percent=service.request.retry_percent,
        floor_per_s=RETRY_FLOOR_PER_S,
        burst=service.target.slots,
    )
