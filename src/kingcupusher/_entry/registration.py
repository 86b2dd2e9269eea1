"""Registration of this entry: its seat, its lease, and the groups that it coordinates."""

from __future__ import annotations

import secrets
from collections.abc import Callable

import curio
import logbook

from kingcupusher._core import now_ms
from kingcupusher._core.signal_event import SignalEvent
from kingcupusher._entry.assignment import groups_of
from kingcupusher._entry.errors import EntryError, SeatLostError
from kingcupusher._entry.follower import PlatformFollower
from kingcupusher._entry.members import (
    GroupKey,
    Holder,
    Member,
    coordinator_key,
    decode_members,
    encode,
    member_key,
)
from kingcupusher._entry.tasks import run_until_first_ends
from kingcupusher._membership import Membership
from kingcupusher._platform import ConflictError, KeyValueClient, Lease, LeaseLostError
from kingcupusher._platform.errors import PlatformError

LEASE_TTL_MS = 6_000
RENEW_S = 2.0
RETRY_S = 0.3
BOOT_ID_BITS = 48

MemberFactory = Callable[[int, int], Member]

log = logbook.Logger("registration")


class Seat:
    """A seat reserved by this process, with the lease that holds it."""

    __slots__ = ("lease", "member")

    def __init__(self, member: Member, lease: Lease) -> None:
        self.member = member
        self.lease = lease


async def take_seat(store: KeyValueClient, *, max_entries: int, make: MemberFactory) -> Seat:
    """Reserve the lowest free seat; raise :class:`EntryError` if all are taken."""
    boot_id = secrets.randbits(BOOT_ID_BITS)
    lease = await store.grant_lease(LEASE_TTL_MS)
    taken = decode_members(await store.list("members/"))
    for number in range(max_entries):
        if number in taken:
            continue
        member = make(number, boot_id)
        try:
            await store.put(
                member_key(number), encode(member), expected_revision=0, lease_id=lease.lease_id
            )
        except ConflictError:
            continue
        return Seat(member, lease)
    raise EntryError(f"all {max_entries} seats are taken; raise max_entries or stop an entry")


class Registration:
    """Keeps the lease alive and holds the coordinator keys that this entry should hold."""

    def __init__(
        self,
        store: KeyValueClient,
        seat: Seat,
        *,
        membership: Membership,
        follower: PlatformFollower,
    ) -> None:
        self._store = store
        self._seat = seat
        self._membership = membership
        self._follower = follower
        self._held: dict[int, int] = {}
        self._is_released = False
        self._is_renewing = True
        self._rewinds = 0
        self._lock = curio.Lock()
        membership.on_lease(until_ms=seat.lease.deadline_ms, now_ms=now_ms())

    @property
    def held_groups(self) -> list[int]:
        """Groups whose coordinator key this entry holds."""
        return sorted(self._held)

    async def run(self) -> None:
        """Renew and rebalance until cancelled; raise :class:`SeatLostError`."""
        await run_until_first_ends(self._keep_renewing, self._keep_balancing)

    async def release(self) -> None:
        """Give up all groups, so that other entries take them over without delay."""
        self._is_released = True
        async with self._lock:
            try:
                for group in list(self._held):
                    await self._give_up(group)
            except PlatformError as error:
                self._forget_groups()
                log.warning("groups not released; they end with the lease", error=str(error))

    async def leave(self) -> None:
        """End the lease, and with it the seat."""
        try:
            await self._store.revoke_lease(self._seat.lease)
        except PlatformError as error:
            log.warning("lease not revoked; it ends by itself", error=str(error))

    # -- lease

    async def _keep_renewing(self) -> None:
        while True:
            try:
                await self._renew()
                await curio.sleep(RENEW_S)
            except LeaseLostError:
                await self._register_again()
            except PlatformError as error:
                if self._is_renewing:
                    log.warning("lease not renewed", error=str(error))
                self._is_renewing = False
                await curio.sleep(RETRY_S)

    async def _renew(self) -> None:
        self._seat.lease = await self._store.renew_lease(self._seat.lease)
        self._membership.on_lease(until_ms=self._seat.lease.deadline_ms, now_ms=now_ms())
        self._is_renewing = True

    async def _register_again(self) -> None:
        """Take the same seat under a new lease after the old one ended."""
        self._forget_groups()
        self._membership.on_lease_lost(now_ms=now_ms())
        try:
            lease = await self._store.grant_lease(LEASE_TTL_MS)
            await self._put_seat(lease)
        except PlatformError as error:
            log.warning("entry not registered again yet", error=str(error))
            await curio.sleep(RETRY_S)
            return
        self._seat.lease = lease
        self._membership.on_lease(until_ms=lease.deadline_ms, now_ms=now_ms())
        log.notice("entry registered again", seat=self._seat.member.seat)

    async def _put_seat(self, lease: Lease) -> None:
        member = self._seat.member
        current = await self._store.get(member_key(member.seat))
        if current is not None:
            holder = decode_members([current]).get(member.seat)
            if holder is None or holder.boot_id != member.boot_id:
                raise SeatLostError(f"seat {member.seat} was taken by another entry")
        await self._store.put(
            member_key(member.seat),
            encode(member),
            expected_revision=current.revision if current else 0,
            lease_id=lease.lease_id,
        )

    # -- groups

    async def _keep_balancing(self) -> None:
        while True:
            self._follower.changed.clear()
            try:
                await self._balance()
            except PlatformError as error:
                log.info("groups not balanced", error=str(error))
            await curio.ignore_after(RENEW_S, self._follower.changed.wait)

    async def _balance(self) -> None:
        if self._is_released:
            return
        async with self._lock:
            self._note_changes(self._follower.groups)
            wanted = groups_of(self._seat.member.seat, self._follower.members)
            for group in sorted(self._held.keys() - wanted):
                await self._give_up(group)
            for group in sorted(wanted - self._follower.groups.keys() - self._held.keys()):
                await self._acquire(group)

    def _note_changes(self, groups: dict[int, GroupKey]) -> None:
        """Compare with the watch: a lost response to a write shows up there.

        A key of an earlier lease of this entry is already gone, even if the watch still shows it.
        """
        self._note_rewind(groups)
        own = self._holder()
        for group, key in groups.items():
            if key.holder != own:
                self._drop(group)
            elif key.lease_id == self._seat.lease.lease_id and group not in self._held:
                self._take(group, key.revision)

    def _note_rewind(self, groups: dict[int, GroupKey]) -> None:
        """Drop the groups whose key was lost with a rewind of the store."""
        if self._rewinds == self._follower.rewinds:
            return
        self._rewinds = self._follower.rewinds
        for group in self._held.keys() - groups.keys():
            self._drop(group)

    async def _acquire(self, group: int) -> None:
        lease_id = self._seat.lease.lease_id
        try:
            revision = await self._store.put(
                coordinator_key(group),
                encode(self._holder()),
                expected_revision=0,
                lease_id=lease_id,
            )
        except ConflictError:
            return
        # The lease may have ended during the call, and the key with it.
        if self._seat.lease.lease_id == lease_id:
            self._take(group, revision)

    async def _give_up(self, group: int) -> None:
        revision = self._held.get(group)
        if revision is None:
            # The lease ended during an earlier call, and all groups with it.
            return
        self._drop(group)
        try:
            await self._store.delete(coordinator_key(group), expected_revision=revision)
        except ConflictError:
            return

    def _take(self, group: int, revision: int) -> None:
        self._held[group] = revision
        self._membership.on_group_acquired(group, term=revision, now_ms=now_ms())

    def _drop(self, group: int) -> None:
        if self._held.pop(group, None) is None:
            return
        self._membership.on_group_lost(group, now_ms=now_ms())

    def _forget_groups(self) -> None:
        for group in list(self._held):
            self._drop(group)

    def _holder(self) -> Holder:
        return Holder(self._seat.member.seat, self._seat.member.boot_id)


async def keep_registered(registration: Registration, stop: SignalEvent) -> None:
    """Run ``registration``; ask for a drain if another entry took the seat.

    After an outage a new entry may take the seat before its holder registers again. The holder
    has requests in flight, so that it must not end at once.
    """
    try:
        await registration.run()
    except SeatLostError as error:
        log.error("entry drains", reason=str(error))
        stop.set()
        await curio.Event().wait()
