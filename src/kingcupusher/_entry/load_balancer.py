"""Services, targets and other entries, as the request path uses them."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from random import Random

from kingcupusher._config import ConfigDocument, Service
from kingcupusher._core.address import Address
from kingcupusher._entry.connection_pools import ConnectionPools
from kingcupusher._entry.members import GroupCoordinator, Member
from kingcupusher._entry.target_events import update_router, update_table
from kingcupusher._http.pool import ConnectionPool
from kingcupusher._limits import RetryBudget, connection_share
from kingcupusher._membership import DenialReason, PermissionKind, TargetTable, group_of
from kingcupusher._platform import VmRecord
from kingcupusher._proxy import TargetEvent
from kingcupusher._routing import ServiceRouter, Target

# Cached permissions are renewed after this time; each send checks its permission before it writes.
PERMISSION_CACHE_MS = 10.0
RETRY_FLOOR_PER_S = 1.0


@dataclass(slots=True)
class ServiceState:
    """Routing state of one service."""

    service: Service
    router: ServiceRouter
    budget: RetryBudget
    target_ids: list[str] = field(default_factory=list)
    open_ids: frozenset[str] = frozenset()
    ramping_ids: tuple[str, ...] = ()
    permissions_valid_until_ms: float = float("-inf")


class EntryLoadBalancer:
    """Implements the ``LoadBalancer`` protocol of the request path on the target table.

    Calls do not block and run in the task of the request: a message to another task and its
    reply would cost more than the choice of a target.
    """

    def __init__(
        self, target_table: TargetTable, *, seat: int, zone: str, policy: str, rng: Random
    ) -> None:
        self._target_table = target_table
        self._seat = seat
        self._zone = zone
        self._policy = policy
        self._rng = rng
        self._max_entries = 1
        self._services: dict[str, ServiceState] = {}
        self._by_host: dict[bytes, Service] = {}
        self._vms: dict[str, VmRecord] = {}
        self._pools = ConnectionPools()
        self._members: Mapping[int, Member] = {}
        self._coordinators: Mapping[int, GroupCoordinator] = {}
        self.in_flight = 0

    # -- updates

    def on_config(self, document: ConfigDocument) -> None:
        """Apply the services and the number of entries that share the connections."""
        if document.max_entries != self._max_entries:
            self._max_entries = document.max_entries
            self._pools.retire(self._pools.target_ids)
        removed = self._services.keys() - document.services.keys()
        for name in removed:
            del self._services[name]
        for service in document.services.values():
            self._update_service(service)
        self._by_host = {
            host.lower().encode(): service
            for service in document.services.values()
            for host in service.hosts
        }
        self._sync_targets()

    def on_vm_list(self, records: Collection[VmRecord]) -> None:
        """Apply the addresses of the targets."""
        vms = {record.vm_id: record for record in records if record.service in self._services}
        if vms == self._vms:
            return
        moved = [i for i, vm in self._vms.items() if i in vms and vms[i].address != vm.address]
        removed = [i for i in self._pools.target_ids if i not in vms]
        self._vms = vms
        self._pools.retire({*moved, *removed})
        self._sync_targets()

    def on_members(
        self, members: Mapping[int, Member], coordinators: Mapping[int, GroupCoordinator]
    ) -> None:
        """Apply the registered entries and the coordinators."""
        self._members = members
        self._coordinators = coordinators

    async def close_unused_connections(self) -> None:
        """Close retired pools, and connections that were idle for too long."""
        await self._pools.close_unused()

    async def check_idle_connections(self, *, now_ms: float) -> None:
        """Report a reset for targets that closed all idle connections: they may have restarted.

        As a side effect, a target whose idle timeout is below the 15 s of the pool goes through
        its ramp again after each pause in its traffic.
        """
        for target_id in await self._pools.discard_closed():
            self._target_table.on_connection_reset(target_id, sent_ms=now_ms, now_ms=now_ms)

    async def close(self) -> None:
        """Close all connections to targets and entries."""
        await self._pools.close()

    # -- the LoadBalancer protocol

    def service_for(self, host: bytes) -> Service | None:
        """Return the service for the value of a ``Host`` header."""
        return self._by_host.get(host)

    def choose_target(
        self, service: Service, *, now_ms: float, exclude: Collection[str]
    ) -> str | None:
        """Reserve a slot at a target that may take one more request now; return its id, if any."""
        state = self._services.get(service.name)
        if state is None:
            return None
        allowed = self._usable_targets(state, exclude, now_ms)
        view = state.router.choose(now_ms=now_ms, allowed=allowed, exclude=exclude)
        if view is None:
            return None
        state.router.on_sent(view.target_id, now_ms=now_ms)
        self.in_flight += 1
        return view.target_id

    def may_send(self, target_id: str, *, now_ms: float) -> bool:
        """Return whether a request may be sent to ``target_id`` now."""
        permission = self._target_table.send_permission(target_id, now_ms=now_ms)
        if permission.kind is PermissionKind.OPEN:
            return True
        if permission.kind is not PermissionKind.RAMP:
            return False
        vm = self._vms.get(target_id)
        state = self._services.get(vm.service) if vm else None
        if state is None:
            return False
        return state.router.view(target_id).in_flight <= (permission.max_in_flight or 0)

    def pool(self, target_id: str) -> ConnectionPool:
        """Return the connection pool of ``target_id``."""
        pool = self._pools.for_target(target_id)
        if pool is not None:
            return pool
        vm = self._vms[target_id]
        limits = self._services[vm.service].service.target
        share = connection_share(limits.connections, max_entries=self._max_entries)
        return self._pools.add_target(target_id, vm.address, limit=max(1, share))

    def handoff_pool(self, service: Service, *, now_ms: float) -> ConnectionPool | None:
        """Return the pool of another entry that coordinates a closed target of ``service``.

        An entry without a confirmation gets None: the other entry might never respond, and the
        request could then not be reported as not run.
        """
        state = self._services.get(service.name)
        if state is None:
            return None
        seats = sorted(self._ramping_coordinators(state, now_ms))
        if not seats:
            return None
        seat = seats[self._rng.randrange(len(seats))]
        return self._pools.for_entry(self._members[seat].caller_endpoint)

    def retry_budget(self, service: Service) -> RetryBudget:
        """Return the retry budget of ``service``."""
        state = self._services.get(service.name)
        return state.budget if state else create_retry_budget(service)

    def report(self, event: TargetEvent) -> None:
        """Release the slot of a request and record its outcome."""
        self.in_flight -= 1
        state = self._services.get(event.service)
        if state is not None:
            update_router(state.router, event)
        update_table(self._target_table, event)

    # -- details

    def in_flight_at(self, target_id: str) -> int:
        """Return the number of requests of this entry that are in flight at ``target_id``."""
        vm = self._vms.get(target_id)
        state = self._services.get(vm.service) if vm else None
        if state is None or target_id not in state.target_ids:
            return 0
        return state.router.view(target_id).in_flight

    def address_of(self, target_id: str) -> Address | None:
        """Return the address of a listed target."""
        vm = self._vms.get(target_id)
        return vm.address if vm else None

    def _usable_targets(
        self, state: ServiceState, exclude: Collection[str], now_ms: float
    ) -> Collection[str]:
        if now_ms >= state.permissions_valid_until_ms:
            self._refresh_permissions(state, now_ms)
        if state.ramping_ids:
            ramping = {i for i in state.ramping_ids if self._has_ramp_capacity(state, i, now_ms)}
            # A ramp needs requests to proceed, and only this entry may send them: with 15 entries
            # a uniform choice would give the target less than one request per second.
            if ramping - set(exclude):
                return ramping
        return {i for i in state.open_ids if self._pools.has_free_connection(i)}

    def _has_ramp_capacity(self, state: ServiceState, target_id: str, now_ms: float) -> bool:
        permission = self._target_table.send_permission(target_id, now_ms=now_ms)
        if permission.kind is not PermissionKind.RAMP:
            return False
        return state.router.view(target_id).in_flight < (permission.max_in_flight or 0)

    def _refresh_permissions(self, state: ServiceState, now_ms: float) -> None:
        open_ids = []
        ramping_ids = []
        for target_id in state.target_ids:
            kind = self._target_table.send_permission(target_id, now_ms=now_ms).kind
            if kind is PermissionKind.OPEN:
                open_ids.append(target_id)
            elif kind is PermissionKind.RAMP:
                ramping_ids.append(target_id)
        state.open_ids = frozenset(open_ids)
        state.ramping_ids = tuple(ramping_ids)
        state.permissions_valid_until_ms = now_ms + PERMISSION_CACHE_MS

    def _ramping_coordinators(self, state: ServiceState, now_ms: float) -> set[int]:
        """Return the seats of other entries that may ramp a target that is closed for this one."""
        seats = set()
        for target_id in state.target_ids:
            permission = self._target_table.send_permission(target_id, now_ms=now_ms)
            seat = self._coordinator_seat(target_id)
            if permission.denial_reason is DenialReason.CLOSED and seat is not None:
                seats.add(seat)
        return seats

    def _coordinator_seat(self, target_id: str) -> int | None:
        record = self._coordinators.get(group_of(target_id))
        if (
            record is None
            or record.coordinator.seat == self._seat
            or record.coordinator.seat not in self._members
        ):
            return None
        return record.coordinator.seat

    def _update_service(self, service: Service) -> None:
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
            self._pools.retire(state.target_ids)
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
            state.permissions_valid_until_ms = float("-inf")


def create_retry_budget(service: Service) -> RetryBudget:
    """Return a budget that covers the requests in flight at one target that fails."""
    return RetryBudget(
        percent=service.request.retry_percent,
        floor_per_s=RETRY_FLOOR_PER_S,
        burst=service.target.slots,
    )
