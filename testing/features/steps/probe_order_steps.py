"""Steps for the order in which an entry probes targets."""

from __future__ import annotations

from collections import Counter
from random import Random

from behave import given, then, when

from kingcupusher._routing.selection import PROBE_ORDERS


class Candidate:
    """A target as one entry observes it."""

    __slots__ = ("is_cold", "is_own_zone", "is_suspended", "target_id")

    def __init__(self, target_id, *, is_own_zone):
        self.target_id = target_id
        self.is_own_zone = is_own_zone
        self.is_cold = False
        self.is_suspended = False


def _order(context, policy, near_count, entry="e1"):
    selection = PROBE_ORDERS.get(policy)
    return selection.order(context.candidates, entry=entry, top_k=near_count, rng=context.rng)


@given("an entry in zone a with {own:d} targets in its zone and {other:d} in another")
def given_targets(context, own, other):
    context.rng = Random(1)
    context.candidates = [Candidate(f"a{i}", is_own_zone=True) for i in range(own)]
    context.candidates += [Candidate(f"b{i}", is_own_zone=False) for i in range(other)]


@given("{count:d} entries in zone a with {targets:d} targets in their zone")
def given_entries(context, count, targets):
    context.entries = [f"e{i}" for i in range(count)]
    context.rng = Random(1)
    context.candidates = [Candidate(f"a{i}", is_own_zone=True) for i in range(targets)]


@given("{share} of the targets in its zone are {kind}")
def given_kind(context, share, kind):
    for candidate in context.candidates if share == "all" else ():
        if candidate.is_own_zone:
            setattr(candidate, f"is_{kind}", True)


@when("it orders them for probing with {policy} and {near_count:d} near targets")
def when_ordered(context, policy, near_count):
    context.order = _order(context, policy, near_count)


@when("it orders them for probing {times:d} times with {policy} and {near_count:d} near targets")
def when_ordered_often(context, times, policy, near_count):
    context.orders = [_order(context, policy, near_count) for _ in range(times)]


@when("each orders them for probing with {policy} and {near_count:d} near targets")
def when_each_orders(context, policy, near_count):
    context.entries_by_near_target = Counter()
    for entry in context.entries:
        for candidate in _order(context, policy, near_count, entry)[:near_count]:
            context.entries_by_near_target[candidate.target_id] += 1


@then("the first {count:d} are in zone {zone}")
def then_zone(context, count, zone):
    head = context.order[:count]
    assert all(c.is_own_zone is (zone == "a") for c in head), [c.target_id for c in head]


@then("each target is in the order once")
def then_once(context):
    assert Counter(context.order) == Counter(context.candidates)


@then("the first {count:d} of each order are among at most {bound:d} targets")
def then_few_targets(context, count, bound):
    asked = {c.target_id for order in context.orders for c in order[:count]}
    assert len(asked) <= bound, asked


@then("each target is near to {least:d} to {most:d} entries")
def then_even(context, least, most):
    counts = [context.entries_by_near_target[c.target_id] for c in context.candidates]
    assert least <= min(counts) and max(counts) <= most, counts
