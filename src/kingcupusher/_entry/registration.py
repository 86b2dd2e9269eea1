"""Registration of this entry: its seat, its lease, and the groups that it coordinates."""

from __future__ import annotations

import secrets
from collections.abc import Callable

import curio
import logbook

from kingcupusher._core import now_ms
from kingcupusher._core.signal_event import SignalEvent
from kingcupusher._entry.assignment import assigned_groups
from kingcupusher._entry.errors import EntryError, SeatLostError
from kingcupusher._entry.key_value_watcher import KeyValueWatcher
from kingcupusher._entry.members import (
    CoordinatorId,
    GroupCoordinator,
    Member,
    coordinator_key,
    decode_members,
    encode_record,
    member_key,
)
from kingcupusher._entry.tasks import run_until_first_ends
from kingcupusher._membership import Membership
from kingcupusher._platform import ConflictError, KeyValueClient, Lease, LeaseLostError
from kingcupusher._platform.errors import PlatformError

LEASE_TTL_MS = 6_000
RENEW_INTERVAL_S = 2.0
RETRY_DELAY_S = 0.3
BOOT_ID_BITS = 48

MemberFactory = Callable[[int, int], Member]

log = logbook.Logger("registration")


class SeatReservation:
    """A seat that this process has reserved, with the lease of its key."""

    __slots__ = ("lease", "member")

    def __init__(self, member: Member, lease: Lease) -> None:
        self.member = member
        self.lease = lease


async def reserve_seat(
    store: KeyValueClient, *, max_entries: int, make_member: MemberFactory
) -> SeatReservation:
    """Reserve the lowest free seat; raise :class:`EntryError` if all are taken."""
    boot_id = secrets.randbits(BOOT_ID_BITS)
    lease = await store.grant_lease(LEASE_TTL_MS)
    taken = decode_members(await store.list("members/"))
    for number in range(max_entries):
        if number in taken:
            continue
        member = make_member(number, boot_id)
        try:
            await store.put(
                member_key(number),
                encode_record(member),
                expected_revision=0,
                lease_id=lease.lease_id,
            )
        except ConflictError:
            continue
        return SeatReservation(member, lease)
    raise EntryError(f"all {max_entries} seats are taken; raise max_entries or stop an entry")


class Registration:
    """Renews the lease and acquires the coordinator keys of the groups assigned to this entry."""

    def __init__(
        self,
        store: KeyValueClient,
        reservation: SeatReservation,
        *,
        membership: Membership,
        watcher: KeyValueWatcher,
    ) -> None:
        self._store = store
        self._reservation = reservation
        self._membership = membership
        self._watcher = watcher
        self._held_revisions: dict[int, int] = {}
        self._is_released = False
        self._is_renewing = True
        self._seen_rewind_count = 0
        self._lock = curio.Lock()
        membership.on_lease(until_ms=reservation.lease.deadline_ms, now_ms=now_ms())

    @property
    def held_groups(self) -> list[int]:
        """Groups whose coordinator key this entry holds."""
        return sorted(self._held_revisions)

    async def run(self) -> None:
        """Renew and rebalance until cancelled; raise :class:`SeatLostError`."""
        await run_until_first_ends(self._run_renewal, self._run_rebalancing)

    async def release_groups(self) -> None:
        """Release all groups, so that other entries can acquire them without delay."""
        self._is_released = True
        async with self._lock:
            try:
                for group in list(self._held_revisions):
                    await self._release_group(group)
            except PlatformError as error:
                self._remove_all_groups()
                log.warning(
                    "coordinator keys not released; they expire with the lease", error=str(error)
                )

    async def release_seat(self) -> None:
        """Revoke the lease, which also removes the key of the seat."""
        try:
            await self._store.revoke_lease(self._reservation.lease)
        except PlatformError as error:
            log.warning("lease not revoked; it expires by itself", error=str(error))

    # -- lease

    async def _run_renewal(self) -> None:
        while True:
            try:
                await self._renew()
                await curio.sleep(RENEW_INTERVAL_S)
            except LeaseLostError:
                await self._register_again()
            except PlatformError as error:
                if self._is_renewing:
                    log.warning("lease not renewed", error=str(error))
                self._is_renewing = False
                await curio.sleep(RETRY_DELAY_S)

    async def _renew(self) -> None:
        self._reservation.lease = await self._store.renew_lease(self._reservation.lease)
        self._membership.on_lease(until_ms=self._reservation.lease.deadline_ms, now_ms=now_ms())
        self._is_renewing = True

    async def _register_again(self) -> None:
        """Reserve the same seat under a new lease after the old one ended."""
        self._remove_all_groups()
        self._membership.on_lease_lost(now_ms=now_ms())
        try:
            lease = await self._store.grant_lease(LEASE_TTL_MS)
            await self._write_seat(lease)
        except PlatformError as error:
            log.warning("entry not registered again yet", error=str(error))
            await curio.sleep(RETRY_DELAY_S)
            return
        self._reservation.lease = lease
        self._membership.on_lease(until_ms=lease.deadline_ms, now_ms=now_ms())
        log.notice("entry registered again", seat=self._reservation.member.seat)

    async def _write_seat(self, lease: Lease) -> None:
        member = self._reservation.member
        current = await self._store.get(member_key(member.seat))
        if current is not None:
            owner = decode_members([current]).get(member.seat)
            if owner is None or owner.boot_id != member.boot_id:
                raise SeatLostError(f"seat {member.seat} was taken by another entry")
        await self._store.put(
            member_key(member.seat),
            encode_record(member),
            expected_revision=current.revision if current else 0,
            lease_id=lease.lease_id,
        )

    # -- groups

    async def _run_rebalancing(self) -> None:
        while True:
            self._watcher.changed.clear()
            try:
                await self._rebalance()
            except PlatformError as error:
                log.info("coordinator keys not rebalanced", error=str(error))
            await curio.ignore_after(RENEW_INTERVAL_S, self._watcher.changed.wait)

    async def _rebalance(self) -> None:
        if self._is_released:
            return
        async with self._lock:
            self._reconcile_groups(self._watcher.coordinators)
            wanted = assigned_groups(self._reservation.member.seat, self._watcher.members)
            for group in sorted(self._held_revisions.keys() - wanted):
                await self._release_group(group)
            for group in sorted(
                wanted - self._watcher.coordinators.keys() - self._held_revisions.keys()
            ):
                await self._acquire_group(group)

    def _reconcile_groups(self, coordinators: dict[int, GroupCoordinator]) -> None:
        """Update the held groups from the watch, which shows writes whose response was lost.

        A key under an earlier lease of this entry is ignored: it was removed with the lease, even
        if the watch result still contains it.
        """
        self._remove_rewound_groups(coordinators)
        own = self._own_id()
        for group, record in coordinators.items():
            if record.coordinator != own:
                self._remove_group(group)
            elif (
                record.lease_id == self._reservation.lease.lease_id
                and group not in self._held_revisions
            ):
                self._add_group(group, record.revision)

    def _remove_rewound_groups(self, coordinators: dict[int, GroupCoordinator]) -> None:
        """Remove the groups whose key was lost in a rewind of the store."""
        if self._seen_rewind_count == self._watcher.rewind_count:
            return
        self._seen_rewind_count = self._watcher.rewind_count
        for group in self._held_revisions.keys() - coordinators.keys():
            self._remove_group(group)

    async def _acquire_group(self, group: int) -> None:
        lease_id = self._reservation.lease.lease_id
        try:
            revision = await self._store.put(
                coordinator_key(group),
                encode_record(self._own_id()),
                expected_revision=0,
                lease_id=lease_id,
            )
        except ConflictError:
            return
        # If the lease ended during the call, the key was removed with it.
        if self._reservation.lease.lease_id == lease_id:
            self._add_group(group, revision)

    async def _release_group(self, group: int) -> None:
        revision = self._held_revisions.get(group)
        if revision is None:
            # The lease ended during an earlier call, which removed all groups.
            return
        self._remove_group(group)
        try:
            await self._store.delete(coordinator_key(group), expected_revision=revision)
        except ConflictError:
            return

    def _add_group(self, group: int, revision: int) -> None:
        self._held_revisions[group] = revision
        self._membership.on_group_acquired(group, term=revision, now_ms=now_ms())

    def _remove_group(self, group: int) -> None:
        if self._held_revisions.pop(group, None) is None:
            return
        self._membership.on_group_lost(group, now_ms=now_ms())

    def _remove_all_groups(self) -> None:
        for group in list(self._held_revisions):
            self._remove_group(group)

    def _own_id(self) -> CoordinatorId:
        return CoordinatorId(self._reservation.member.seat, self._reservation.member.boot_id)


async def run_registration(registration: Registration, stop: SignalEvent) -> None:
    """Run ``registration``; request a drain if another entry took the seat.

    After an outage a new entry may reserve the seat before its previous owner registers again.
    The owner still has requests in flight, so it drains instead of exiting at once.
    """
    try:
        await registration.run()
    except SeatLostError as error:
        log.error("seat lost; draining", reason=str(error))
        stop.set()
        await curio.Event().wait()
