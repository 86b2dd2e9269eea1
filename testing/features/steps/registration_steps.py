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
from kingcupusher._entry.members import GroupKey, Holder, Member, encode, member_key
from kingcupusher._entry.registration import Registration, Seat, keep_registered
from kingcupusher._limits import ColdStartRamp, ProbeBudget
from kingcupusher._membership import GROUP_COUNT, Membership
from kingcupusher._platform import Lease, LeaseLostError, VersionedValue

# Ends the scenario when the drain is never asked for.
LOST_S = 10.0
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
    """Ends the lease of ``seat`` during the first call of the kind ``ends_at``."""

    def __init__(self):
        self.ends_at = None
        self.taken = None
        self.revision = 100
        self.registration = None

    async def put(self, key, value, *, expected_revision, lease_id=None):
        """Write a key."""
        await self._maybe_end("put")
        self.revision += 1
        return self.revision

    async def delete(self, key, *, expected_revision):
        """Remove a key."""
        await self._maybe_end("delete")

    async def get(self, key):
        """Return the seat's key: nothing unless another entry took it."""
        return self.taken

    async def renew_lease(self, lease):
        """Report that the lease has ended."""
        raise LeaseLostError(lease.lease_id)

    async def grant_lease(self, ttl_ms):
        """Grant another lease."""
        return Lease("lease-2", now_ms() + ttl_ms)

    async def _maybe_end(self, call):
        if self.ends_at == call:
            self.ends_at = None
            await self.registration._register_again()


def _entry(context, *, members, held):
    context.store = ScriptedStore()
    context.follower = SimpleNamespace(members=members, groups={}, rewinds=0, changed=curio.Event())
    membership = Membership(
        seat=0, boot_id=9, ramp_factory=ColdStartRamp, budget_factory=ProbeBudget
    )
    context.registration = Registration(
        context.store,
        Seat(MEMBER, Lease("lease-1", now_ms() + 6_000)),
        membership=membership,
        follower=context.follower,
    )
    context.store.registration = context.registration
    for group in held:
        context.registration._take(group, group)


def _balance(context):
    context.error = None
    try:
        curio.run(context.registration._balance)
    except Exception as error:
        context.error = error


def _key(group, lease_id):
    return GroupKey(group, Holder(0, 9), 50, lease_id)


@given("a registered entry that holds groups 1 and 2 and should hold none")
def given_surplus(context):
    _entry(context, members={}, held=[1, 2])


@given("a registered entry that holds groups 1 and 2 and should hold all")
def given_holder(context):
    _entry(context, members={0: MEMBER}, held=[1, 2])


@given("a registered entry that should hold all groups")
def given_candidate(context):
    _entry(context, members={0: MEMBER}, held=[])


@when("its lease ends during the first call that gives up a group")
def when_ends_at_delete(context):
    context.store.ends_at = "delete"
    _balance(context)


@when("its lease ends during the first call that acquires a group")
def when_ends_at_put(context):
    context.store.ends_at = "put"
    curio.run(context.registration._acquire, 3)


@when("the watch shows its key of group 7 under the present lease")
def when_watch_present(context):
    context.follower.groups = {7: _key(7, "lease-1")}
    context.registration._note_changes(context.follower.groups)


@when("the watch shows its key of group 7 under an ended lease")
def when_watch_ended(context):
    context.follower.groups = {7: _key(7, "lease-0")}
    context.registration._note_changes(context.follower.groups)


@when("the watch shows a rewound store without coordinator keys")
def when_rewound(context):
    context.follower.rewinds = 1
    context.registration._note_changes(context.follower.groups)


@when("another entry takes its seat and its lease ends")
def when_seat_taken(context):
    other = msgspec.structs.replace(MEMBER, boot_id=10)
    context.store.taken = VersionedValue(member_key(0), encode(other), 120)

    async def main():
        stop = SignalEvent()
        keeping = await curio.spawn(keep_registered, context.registration, stop)
        async with curio.ignore_after(LOST_S) as timeout:
            await stop.wait()
        context.is_drain_asked = not timeout.expired
        await curio.sleep(0)
        context.has_ended = keeping.terminated
        await keeping.cancel()

    curio.run(main)


@then("the entry is asked to drain")
def then_drain_asked(context):
    assert context.is_drain_asked


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


@then("each should coordinate at most its share of the groups, rounded up")
def then_share(context):
    share = -(-GROUP_COUNT // len(context.seats))
    assert max(Counter(context.assigned.values()).values()) <= share


@then("every group has one coordinator")
def then_covered(context):
    assert sorted(context.assigned) == list(range(GROUP_COUNT))


@then("at most {moved:d} groups change their coordinator when one more entry comes")
def then_moved(context, moved):
    grown = assign_groups([*context.seats, len(context.seats)])
    changed = [g for g in range(GROUP_COUNT) if grown[g] != context.assigned[g]]
    assert len(changed) <= moved, changed
