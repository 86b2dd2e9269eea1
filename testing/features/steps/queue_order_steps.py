"""Steps for the order of waiting requests."""

from __future__ import annotations

from collections import Counter, deque
from random import Random

from behave import then, when
from hypothesis import given as example_of
from hypothesis import strategies as st

from kingcupusher._limits.fair_order import FairOrder
from testing.property_settings import PROPERTY

HEAVY, SECONDS, STEPS_PER_S = 0, 300, 200
WAITS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from("abc"), st.integers(0, 40), st.booleans()),
    max_size=40,
)


def _add(order, number, *, priority=0, customer=None, late_at_ms=1e9):
    received_ms = float(number)
    return order.add(
        number,
        priority=priority,
        customer=customer,
        received_ms=received_ms,
        late_at_ms=late_at_ms,
    )


def _serve_all(order, *, now_ms):
    served = []
    while (waiting := order.first(now_ms=now_ms)) is not None:
        order.serve(waiting)
        served.append(waiting.item)
    return served


def _served_shares(customers, room, *, is_fair):
    """Serve waiting requests at ``room`` a second for each customer; return the served shares."""
    rng, order, waiting = Random(1), FairOrder(), deque()
    sent, served = Counter(), Counter()
    for step in range(SECONDS * STEPS_PER_S):
        for customer in range(customers):
            if rng.random() < (7.5 if customer == HEAVY else 1.0) / STEPS_PER_S:
                sent[customer] += 1
                name = str(customer) if is_fair else None
                ticket = order.add(
                    customer, priority=0, customer=name, received_ms=step, late_at_ms=1e9
                )
                waiting.append((step + 2 * STEPS_PER_S, ticket))
        while waiting and waiting[0][0] <= step:
            order.remove(waiting.popleft()[1])
        first = order.first(now_ms=step)
        if first is not None and rng.random() < room * customers / STEPS_PER_S:
            order.serve(first)
            served[first.item] += 1
    return [served[customer] / sent[customer] for customer in range(customers) if customer != HEAVY]


@when("8 customers wait for targets at {room:f} of their usual rate, one with 7.5 times its load")
def when_heavy(context, room):
    context.fair = _served_shares(8, room, is_fair=True)
    context.by_arrival = _served_shares(8, room, is_fair=False)


@then("each other customer is served at least {share:f} of its requests")
def then_peers(context, share):
    # Guards against a customer whose flood takes the targets of the others.
    assert min(context.fair) >= share, context.fair


@then("in order of arrival the others are served less than {share:f} of theirs")
def then_arrival(context, share):
    # Guards against a load that would not show an unfair order.
    assert max(context.by_arrival) < share, context.by_arrival


@then("for every sequence of waits, services of two customers that both wait differ by at most one")
@PROPERTY
@example_of(counts=st.lists(st.integers(0, 12), min_size=2, max_size=5), rng=st.randoms())
def then_equal(context, counts, rng):
    # Guards against an order that follows the number of requests instead of the customers.
    order, left, served = FairOrder(), Counter(), Counter()
    requests = [customer for customer, count in enumerate(counts) for _ in range(count)]
    rng.shuffle(requests)
    for number, customer in enumerate(requests):
        _add(order, number, customer=str(customer))
        left[customer] += 1
    for number in _serve_all(order, now_ms=0.0):
        customer = requests[number]
        served[customer] += 1
        left[customer] -= 1
        both = [served[other] for other in left if left[other] or other == customer]
        assert max(both) - min(both) <= 1, (served, left)


@then(
    "for every sequence of waits with customers, no request is served while a more urgent one waits"
)
@PROPERTY
@example_of(waits=WAITS, served_ms=st.integers(0, 50))
def then_urgent_first(context, waits, served_ms):
    # Guards against an urgent route that is served less often than a less urgent one.
    order = FairOrder()
    for number, (priority, customer, late_at_ms, _) in enumerate(waits):
        _add(order, number, priority=priority, customer=customer, late_at_ms=late_at_ms)
    priorities = [waits[number][0] for number in _serve_all(order, now_ms=served_ms)]
    assert len(priorities) == len(waits) and priorities == sorted(priorities), priorities


@then("for every sequence of waits without customers, the order is as sorted by these three")
@PROPERTY
@example_of(waits=WAITS, first_ms=st.integers(0, 50), then_ms=st.integers(0, 50))
def then_as_before(context, waits, first_ms, then_ms):
    # Guards against a change of the order where the configuration has no customers.
    order, kept = FairOrder(), []
    for number, (priority, _, late_at_ms, is_removed) in enumerate(waits):
        ticket = _add(order, number, priority=priority, late_at_ms=late_at_ms)
        if is_removed:
            order.first(now_ms=min(first_ms, then_ms))
            order.remove(ticket)
        else:
            kept.append((late_at_ms, priority, number))
    at_ms = max(first_ms, then_ms)
    expected = [n for _, _, n in sorted((late < at_ms, p, n) for late, p, n in kept)]
    assert _serve_all(order, now_ms=at_ms) == expected


@then(
    "for every sequence of waits, a new request is served after as many as were counted before it"
)
@PROPERTY
@example_of(
    waits=WAITS, new=WAITS.filter(len), served_ms=st.integers(0, 50), is_named=st.booleans()
)
def then_counted(context, waits, new, served_ms, is_named):
    # Guards against a forecast for another place in the queue than that of the request.
    order = FairOrder()
    for number, (priority, customer, late_at_ms, is_served) in enumerate(waits):
        name = customer if is_named else None
        ticket = _add(order, number, priority=priority, customer=name, late_at_ms=late_at_ms)
        if is_served:
            order.serve(ticket)
    priority, customer, late_at_ms, _ = new[0]
    key = {
        "priority": priority,
        "customer": customer if is_named else None,
        "late_at_ms": late_at_ms,
    }
    ahead = order.count_ahead(**key, now_ms=served_ms)
    _add(order, len(waits), **key)
    assert _serve_all(order, now_ms=served_ms).index(len(waits)) == ahead


@when("5000 requests of 50 customers come and leave, 10 at a time, most without a target")
def when_leave(context):
    context.order, waiting = FairOrder(), deque()
    _add(context.order, -1, customer="first", priority=1)
    for number in range(5_000):
        waiting.append(_add(context.order, number, customer=str(number % 50), late_at_ms=number))
        if len(waiting) > 10:
            ticket = waiting.popleft()
            if number % 7:
                context.order.remove(ticket)
            else:
                context.order.serve(ticket)
    context.ticket = waiting[-1]


def _held_items(order):
    held = len(order._late_heap)
    for level in order._levels.values():
        held += len(level.flows) + sum(map(len, level.heaps))
        held += sum(len(queue) for flow in level.flows.values() for queue in flow.queues)
    return held


@then("the order holds at most {bound:d} items, and a request that left while set aside stays out")
def then_bounded(context, bound):
    # Guards against memory that grows with the requests of a flood, and against a lost target.
    order = context.order
    assert _held_items(order) <= bound, _held_items(order)
    length = len(order)
    order.set_aside(context.ticket)
    order.remove(context.ticket)
    order.put_back(context.ticket)
    assert len(order) == length - 1, (len(order), length)
