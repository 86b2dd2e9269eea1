"""Steps for the admission queue, the budgets, the ramp and the connection shares."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter
from dataclasses import dataclass
from itertools import combinations_with_replacement

from behave import then
from hypothesis import given
from hypothesis import strategies as st

from kingcupusher._config import Service, TargetLimits
from kingcupusher._entry.load_balancer import create_retry_budget
from kingcupusher._limits import (
    AdmissionQueue,
    ColdStartRamp,
    LimitsError,
    ProbeBudget,
    RetryBudget,
    connection_share,
)
from testing.property_settings import PROPERTY

TOLERANCE = 1e-6
GAPS_MS = st.one_of(st.just(0.0), st.floats(0.0, 50.0), st.floats(0.0, 3_000.0))
LIMITS = st.builds(
    TargetLimits,
    slots=st.integers(1, 20),
    cold_concurrency=st.integers(1, 20),
    warmup_ms=st.integers(0, 5_000),
)


def assert_windows(spent_ms, *, allowed):
    """Assert that each window between two grants contains no more than ``allowed`` grants."""
    for first, last in combinations_with_replacement(range(len(spent_ms)), 2):
        assert last - first + 1 <= allowed(spent_ms[first], spent_ms[last]) + TOLERANCE


@then("in every window retries stay within the percentage, the floor and the saved credit")
@PROPERTY
@given(
    percent=st.floats(0.0, 100.0),
    floor_per_s=st.floats(0.0, 20.0),
    burst=st.integers(1, 8),
    events=st.lists(st.tuples(GAPS_MS, st.integers(0, 6), st.integers(0, 3)), max_size=40),
)
def retries_bounded(context, percent, floor_per_s, burst, events):
    budget = RetryBudget(percent=percent, floor_per_s=floor_per_s, burst=burst)
    now_ms = 0.0
    requests_ms, retries_ms = [], []
    for gap_ms, requests, attempts in events:
        now_ms += gap_ms
        for _ in range(requests):
            budget.on_request(now_ms=now_ms)
            requests_ms.append(now_ms)
        retries_ms += [now_ms for _ in range(attempts) if budget.try_spend(now_ms=now_ms)]

    def allowed(start_ms, end_ms):
        requests = bisect_right(requests_ms, end_ms) - bisect_left(requests_ms, start_ms)
        earned = percent / 100.0 * requests
        return earned + floor_per_s * (end_ms - start_ms) / 1000.0 + max(burst, floor_per_s)

    assert_windows(retries_ms, allowed=allowed)


@then("a retry is allowed once the floor has accrued credit for it")
@PROPERTY
@given(floor_per_s=st.floats(0.1, 20.0), attempts=st.integers(0, 50))
def retries_granted(context, floor_per_s, attempts):
    budget = RetryBudget(percent=0.0, floor_per_s=floor_per_s)
    for _ in range(attempts):
        budget.try_spend(now_ms=0.0)
    assert budget.try_spend(now_ms=1000.0 / floor_per_s + TOLERANCE)


@then("all requests in flight at one target that dies may be retried")
@PROPERTY
@given(slots=st.integers(1, 50), idle_ms=st.floats(0.0, 1e6))
def retries_cover_one_target(context, slots, idle_ms):
    # Guards against a budget that allows only one retry when a target with several requests dies.
    service = Service(name="s", team="t", hosts=["s.example"], target=TargetLimits(slots=slots))
    budget = create_retry_budget(service)
    granted = [budget.try_spend(now_ms=idle_ms) for _ in range(slots)]
    assert all(granted), granted


@then("in every window the probes of all coordinators stay within the probe budget")
@PROPERTY
@given(
    rate_per_s=st.floats(0.1, 100.0),
    coordinators=st.lists(st.lists(GAPS_MS, max_size=15), min_size=1, max_size=4),
)
def probes_bounded(context, rate_per_s, coordinators):
    now_ms = 0.0
    probes_ms = []
    for gaps_ms in coordinators:
        budget = ProbeBudget(rate_per_s, start_ms=now_ms)
        for gap_ms in gaps_ms:
            now_ms += gap_ms
            probes_ms += [now_ms for _ in range(2) if budget.try_take(now_ms=now_ms)]
    assert_windows(probes_ms, allowed=lambda start, end: 1 + rate_per_s * (end - start) / 1000.0)


@then("a coordinator that asks often may use its whole probe budget")
@PROPERTY
@given(rate_per_s=st.floats(0.1, 100.0), probes=st.integers(1, 10))
def probes_granted(context, rate_per_s, probes):
    budget = ProbeBudget(rate_per_s, start_ms=0.0)
    step_ms = 100.0 / rate_per_s
    asked = range(1, probes * 11 + 1)
    assert sum(budget.try_take(now_ms=count * step_ms) for count in asked) >= probes


@then("the ramp allows at most the cold concurrency until a request succeeds")
@PROPERTY
@given(limits=LIMITS, failures=st.integers(0, 5), now_ms=st.floats(0.0, 1e6))
def ramp_starts_cold(context, limits, failures, now_ms):
    ramp = ColdStartRamp(limits)
    for _ in range(failures):
        ramp.on_failure(now_ms=now_ms)
    assert 1 <= ramp.allowance(now_ms=now_ms) <= limits.cold_concurrency
    assert not ramp.is_warm(now_ms=now_ms + 1e9)


@then("a failure resets the ramp to its first step")
@PROPERTY
@given(limits=LIMITS, outcomes=st.lists(st.booleans(), max_size=80))
def ramp_falls_back(context, limits, outcomes):
    ramp = ColdStartRamp(limits)
    successes = 0
    for count, is_success in enumerate(outcomes):
        now_ms = count * 200.0
        (ramp.on_success if is_success else ramp.on_failure)(now_ms=now_ms)
        successes = successes + 1 if is_success else 0
        allowance = ramp.allowance(now_ms=now_ms)
        assert allowance <= limits.slots
        assert allowance <= max(limits.cold_concurrency, successes * 2)
        assert successes or not ramp.is_warm(now_ms=now_ms + 1e9)


@then("enough successes make the target warm, but not before the warm-up time")
@PROPERTY
@given(limits=LIMITS)
def ramp_warms(context, limits):
    ramp = ColdStartRamp(limits)
    for _ in range(limits.slots * 4):
        ramp.on_success(now_ms=10.0)
    assert ramp.allowance(now_ms=10.0) == limits.slots
    assert ramp.is_warm(now_ms=10.0 + limits.warmup_ms)
    assert not ramp.is_warm(now_ms=9.0 + limits.warmup_ms)


@dataclass(slots=True, frozen=True)
class Item:
    """A queued request."""

    number: int
    size_bytes: int
    deadline_ms: float
    priority: int


OFFERS = st.tuples(st.integers(0, 40), st.floats(-5.0, 100.0), st.integers(0, 2))


def queue_events(*others):
    """Generate offers and the events in ``others``, each with the time that passes before it."""
    event = st.one_of(OFFERS, OFFERS, st.sampled_from(others))
    return st.lists(st.tuples(st.floats(0.0, 30.0), event), max_size=60)


QUEUE_EVENTS = queue_events("take", "expire")


class QueueDriver:
    """Applies events to an admission queue and records the accepted items in order."""

    def __init__(self, max_length, max_bytes):
        self.queue = AdmissionQueue(max_length=max_length, max_bytes=max_bytes)
        self.waiting = []
        self.collected = Counter()
        self.accepted = 0
        self.now_ms = 0.0

    def step(self, number, gap_ms, event):
        """Apply one event; return the offered item and the result, or the taken item."""
        self.now_ms += gap_ms
        if event == "take":
            taken = self.queue.take(now_ms=self.now_ms)
            self._collect([] if taken is None else [taken])
            return taken, None
        if event == "expire":
            self._collect(self.queue.expire(now_ms=self.now_ms))
            return None, None
        item = Item(number, event[0], self.now_ms + event[1], event[2])
        is_accepted = self.queue.offer(
            item,
            size_bytes=item.size_bytes,
            deadline_ms=item.deadline_ms,
            priority=item.priority,
            now_ms=self.now_ms,
        )
        self.accepted += is_accepted
        self.waiting += [item] if is_accepted else []
        return item, is_accepted

    def _collect(self, items):
        self.collected.update(item.number for item in items)
        self.waiting = [item for item in self.waiting if item not in items]


@then("the admission queue keeps its bounds and loses no item")
@PROPERTY
@given(st.integers(0, 6), st.integers(0, 100), st.one_of(QUEUE_EVENTS, queue_events("take")))
def queue_bounded(context, max_length, max_bytes, events):
    driver = QueueDriver(max_length, max_bytes)
    for number, (gap_ms, event) in enumerate(events):
        driver.step(number, gap_ms, event)
        assert len(driver.queue) <= max_length
        assert 0 <= driver.queue.size_bytes <= max_bytes
        # Items that expired or were evicted but not collected count too.
        assert len(driver.waiting) <= 2 * max_length
        assert sum(item.size_bytes for item in driver.waiting) <= 2 * max_bytes + 40
    while driver.step(-1, 0.0, "take")[0] is not None:
        pass
    driver.step(-1, 1_000.0, "expire")
    assert len(driver.queue) == driver.queue.size_bytes == 0
    assert driver.collected.total() == len(driver.collected) == driver.accepted


@then("the admission queue returns the oldest unexpired item of the highest priority")
@PROPERTY
@given(st.integers(1, 6), st.integers(20, 100), QUEUE_EVENTS)
def queue_ordered(context, max_length, max_bytes, events):
    driver = QueueDriver(max_length, max_bytes)
    for number, (gap_ms, event) in enumerate(events):
        driver.step(-1, 0.0, "expire")
        before = list(driver.waiting)
        taken, _ = driver.step(number, gap_ms, event)
        if event == "take":
            live = [item for item in before if item.deadline_ms > driver.now_ms]
            assert taken == min(live, key=lambda item: item.priority, default=None)


@then("the admission queue rejects an unexpired item only for lack of room")
@PROPERTY
@given(st.integers(1, 6), st.integers(20, 100), QUEUE_EVENTS)
def queue_rejects_for_room(context, max_length, max_bytes, events):
    driver = QueueDriver(max_length, max_bytes)
    for number, (gap_ms, event) in enumerate(events):
        driver.step(-1, 0.0, "expire")
        before = list(driver.waiting)
        item, is_accepted = driver.step(number, gap_ms, event)
        if is_accepted is None:
            continue
        competing = [
            other
            for other in before
            if other.deadline_ms > driver.now_ms and other.priority <= item.priority
        ]
        size_bytes = sum(other.size_bytes for other in competing) + item.size_bytes
        has_room = len(competing) < max_length and size_bytes <= max_bytes
        assert is_accepted == (has_room and item.deadline_ms > driver.now_ms)


@then("connection shares sum to at most the limit and leave less than one unused per entry")
@PROPERTY
@given(connections=st.integers(0, 100_000), entries=st.integers(1, 1_000))
def shares_bounded(context, connections, entries):
    share = connection_share(connections, max_entries=entries)
    assert share * entries <= connections < (share + 1) * entries


INVALID_LIMITS = {
    "a probe rate of -1": lambda: ProbeBudget(-1, start_ms=0.0),
    "a retry percentage of -5": lambda: RetryBudget(percent=-5, floor_per_s=1.0),
    "a connection share among 0 entries": lambda: connection_share(200, max_entries=0),
}


@then("{limit} is rejected with an error that contains {value}")
def invalid_limit_rejected(context, limit, value):
    try:
        INVALID_LIMITS[limit]()
    except LimitsError as error:
        assert value in str(error)
    else:
        raise AssertionError(f"{limit} was accepted")
