"""Steps for the registration of an entry, over a scripted store."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace

import curio
import msgspec
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._core.signal_event import SignalEvent
from kingcupusher._entry.assignment import assign_groups
from kingcupusher._entry.members import (
    CoordinatorId,
    GroupCoordinator,
    Member,
    encode_record,
    member_key,
)
from kingcupusher._entry.registration import Registration, SeatReservation, run_registration
from kingcupusher._limits import ColdStartRamp, ProbeBudget
from kingcupusher._membership import GROUP_COUNT, Membership
from kingcupusher._platform import Lease, LeaseLostError, VersionedValue

# Ends the scenario when the drain is never requested.
DRAIN_TIMEOUT_S = 10.0
MEMBER = Member(
    seat=0,
    boot_id=9,
    vm_id="vm",
    zone="a",
    peer_address="127.0.0.1:1",
    admin_address="127.0.0.1:2",
    caller_address="127.0.0.1:3",
)


class ScriptedStore:
    """Ends the lease of ``registration`` during the first call of the method ``ends_at``."""

    def __init__(self):
        self.ends_at = None
        self.taken = None
        self.revision = 100
        self.registration = None

    async def put(self, key, value, *, expected_revision, lease_id=None):
        """Write a key."""
        await self._maybe_end_lease("put")
        self.revision += 1
        return self.revision

    async def delete(self, key, *, expected_revision):
        """Remove a key."""
        await self._maybe_end_lease("delete")

    async def get(self, key):
        """Return the key of the seat, or None unless another entry took it."""
        return self.taken

    async def renew_lease(self, lease):
        """Report that the lease has ended."""
        raise LeaseLostError(lease.lease_id)

    async def grant_lease(self, ttl_ms):
        """Grant another lease."""
        return Lease("lease-2", now_ms() + ttl_ms)

    async def _maybe_end_lease(self, call):
        if self.ends_at == call:
            self.ends_at = None
            await self.registration._register_again()


def _register_entry(context, *, members, held):
    context.store = ScriptedStore()
    context.watcher = SimpleNamespace(
        members=members, coordinators={}, rewind_count=0, changed=curio.Event()
    )
    membership = Membership(
        seat=0, boot_id=9, ramp_factory=ColdStartRamp, budget_factory=ProbeBudget
    )
    context.registration = Registration(
        context.store,
        SeatReservation(MEMBER, Lease("lease-1", now_ms() + 6_000)),
        membership=membership,
        watcher=context.watcher,
    )
    context.store.registration = context.registration
    for group in held:
        context.registration._add_group(group, group)


def _rebalance(context):
    context.error = None
    try:
        curio.run(context.registration._rebalance)
    except Exception as error:
        context.error = error


def _key(group, lease_id):
    return GroupCoordinator(group, CoordinatorId(0, 9), 50, lease_id)


@given("a registered entry that holds groups 1 and 2 and is assigned none")
def given_unassigned(context):
    _register_entry(context, members={}, held=[1, 2])


@given("a registered entry that holds groups 1 and 2 and is assigned all")
def given_assigned_holder(context):
    _register_entry(context, members={0: MEMBER}, held=[1, 2])


@given("a registered entry that is assigned all groups")
def given_assigned(context):
    _register_entry(context, members={0: MEMBER}, held=[])


@when("its lease ends during the first call that releases a group")
def when_ends_at_delete(context):
    context.store.ends_at = "delete"
    _rebalance(context)


@when("its lease ends during the first call that acquires a group")
def when_ends_at_put(context):
    context.store.ends_at = "put"
    curio.run(context.registration._acquire_group, 3)


@when("the watch shows its key of group 7 under the current lease")
def when_watch_present(context):
    context.watcher.coordinators = {7: _key(7, "lease-1")}
    context.registration._reconcile_groups(context.watcher.coordinators)


@when("the watch shows its key of group 7 under an ended lease")
def when_watch_ended(context):
    context.watcher.coordinators = {7: _key(7, "lease-0")}
    context.registration._reconcile_groups(context.watcher.coordinators)


@when("the watch shows a rewound store without coordinator keys")
def when_rewound(context):
    context.watcher.rewind_count = 1
    context.registration._reconcile_groups(context.watcher.coordinators)


@when("another entry takes its seat and its lease ends")
def when_seat_taken(context):
    other = msgspec.structs.replace(MEMBER, boot_id=10)
    context.store.taken = VersionedValue(member_key(0), encode_record(other), 120)

    async def main():
        stop = SignalEvent()
        keeping = await curio.spawn(run_registration, context.registration, stop)
        async with curio.ignore_after(DRAIN_TIMEOUT_S) as timeout:
            await stop.wait()
        context.is_drain_requested = not timeout.expired
        await curio.sleep(0)
        context.has_ended = keeping.terminated
        await keeping.cancel()

    curio.run(main)


@then("a drain of the entry is requested")
def then_drain_asked(context):
    assert context.is_drain_requested


@then("its registration does not end the process")
def then_still_running(context):
    assert not context.has_ended


@then("the entry holds no group")
@then("the entry holds no group acquired under the ended lease")
@then("the entry holds no group acquired before the rewind")
def then_holds_none(context):
    assert context.registration.held_groups == [], context.registration.held_groups


@then("no call failed unexpectedly")
def then_no_failure(context):
    assert context.error is None, repr(context.error)


@then("the entry holds group 7")
def then_holds(context):
    assert context.registration.held_groups == [7]


@then("the entry does not hold group 7")
def then_does_not_hold(context):
    assert context.registration.held_groups == []


@given("{count:d} registered entries")
def given_entries(context, count):
    context.seats = list(range(count))
    context.assigned = assign_groups(context.seats)


@then("each is assigned at most its share of the groups, rounded up")
def then_share(context):
    share = -(-GROUP_COUNT // len(context.seats))
    assert max(Counter(context.assigned.values()).values()) <= share


@then("every group has one coordinator")
def then_covered(context):
    assert sorted(context.assigned) == list(range(GROUP_COUNT))


@then("at most {moved:d} groups change their coordinator when one more entry is added")
def then_moved(context, moved):
    grown = assign_groups([*context.seats, len(context.seats)])
    changed = [g for g in range(GROUP_COUNT) if grown[g] != context.assigned[g]]
    assert len(changed) <= moved, changed
