"""Steps for limits that all entries keep together."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from random import Random

from behave import then, when
from hypothesis import strategies as st

from kingcupusher._discovery.live_entries import LiveEntries
from kingcupusher._limits.probe_shares import probe_shares
from kingcupusher._limits.send_window import SendQuota, SendWindow
from kingcupusher._limits.shares import NO_SHARE, EntryRank
from kingcupusher._limits.target_quotas import cold_quota, rate_quota
from kingcupusher._limits.token_bucket import TokenBucket
from kingcupusher._limits.windowed_retry import WindowedRetryBudget
from kingcupusher._routing.acceptance import AcceptanceCriteria
from kingcupusher._routing.load_reading import LoadReading, expected_slowness
from kingcupusher._routing.reading_reuse import max_reuse_age_ms
from testing.properties import check_property

GAPS_MS = st.one_of(st.just(0.0), st.floats(0.0, 50.0), st.floats(0.0, 3_000.0))


def _count_between(times_ms, start_ms, end_ms):
    return bisect_left(times_ms, end_ms) - bisect_left(times_ms, start_ms)


@then("for every sequence of requests and retries each window stays within the budget")
def retries_bounded(context):
    def prop(events, ratio, slack):
        budget = WindowedRetryBudget(ratio=ratio, window_ms=10_000.0)
        now_ms, requests_ms, retries_ms = 0.0, [], []
        for gap_ms, is_retry in events:
            now_ms += gap_ms
            if not is_retry:
                budget.on_request(now_ms=now_ms)
                requests_ms.append(now_ms)
            elif budget.try_spend(slack=slack, now_ms=now_ms):
                retries_ms.append(now_ms)
                start_ms = now_ms - 10_000.0
                spent = sum(time_ms > start_ms for time_ms in retries_ms)
                earned = ratio * sum(time_ms > start_ms for time_ms in requests_ms)
                assert spent <= earned + slack

    check_property(
        context,
        prop,
        events=st.lists(st.tuples(GAPS_MS, st.booleans()), max_size=60),
        ratio=st.floats(0.0, 0.5),
        slack=st.floats(0.0, 5.0),
    )


@then("for 3 to 300 entries the shares of a cold target add up to its limit")
def shares_add_up(context):
    def prop(count, total, target_id):
        names = [f"e{i}" for i in range(count)]
        shares = [
            EntryRank.of(name, entries=names, target_id=target_id).share(total) for name in names
        ]
        assert sum(shares) == total

    check_property(
        context,
        prop,
        examples=30,
        count=st.integers(3, 300),
        total=st.integers(0, 40),
        target_id=st.text(max_size=8),
    )


@then("no window of an entry contains more requests than its share")
def cold_window(context):
    def prop(gaps_ms, limit):
        window, quota = SendWindow(), cold_quota(limit, EntryRank(0, 1))
        now_ms, sent_ms = 0.0, []
        for gap_ms in gaps_ms:
            now_ms += gap_ms
            if window.has_room([quota], now_ms=now_ms):
                window.add(now_ms=now_ms)
                sent_ms.append(now_ms)
        for start_ms in sent_ms:
            assert _count_between(sent_ms, start_ms, start_ms + 1_000.0) <= limit

    check_property(context, prop, gaps_ms=st.lists(GAPS_MS, max_size=60), limit=st.integers(0, 5))


@then("for every sequence of probes each window stays within the rate and the burst")
def bucket_rate(context):
    def prop(gaps_ms, per_s, burst):
        bucket = TokenBucket(per_s=per_s, burst=burst, now_ms=0.0)
        now_ms, taken_ms = 0.0, []
        for gap_ms in gaps_ms:
            now_ms += gap_ms
            if bucket.try_take(now_ms=now_ms):
                taken_ms.append(now_ms)
        for first, start_ms in enumerate(taken_ms):
            for last, end_ms in enumerate(taken_ms[first:], start=first):
                assert last - first + 1 <= burst + per_s * (end_ms - start_ms) / 1000.0 + 1e-6

    check_property(
        context,
        prop,
        gaps_ms=st.lists(GAPS_MS, max_size=40),
        per_s=st.floats(0.1, 50.0),
        burst=st.floats(1.0, 20.0),
    )


@then(
    "an entry is counted for 30 s after it was last seen, and hard limits have no share before any"
    " is known"
)
def live_entries_retention(context):
    live_entries = LiveEntries()
    assert live_entries.count(now_ms=0.0) == 32
    assert not live_entries.is_known(now_ms=0.0)
    assert NO_SHARE.share(1_000_000) == 0
    live_entries.mark_seen(["e1", "e2"], now_ms=0.0)
    live_entries.mark_seen(["e2"], now_ms=20_000.0)
    assert live_entries.names(now_ms=29_999.0) == ["e1", "e2"]
    assert live_entries.names(now_ms=30_001.0) == ["e2"]
    assert live_entries.is_known(now_ms=49_999.0)
    assert live_entries.count(now_ms=50_001.0) == 32
    assert not live_entries.is_known(now_ms=50_001.0)


@when(
    "{entries:d} entries share the probes of {targets:d} targets that take {per_s:d} a second, with"
    " {near:d} near targets each"
)
def when_probes_shared(context, entries, targets, per_s, near):
    context.entries, context.targets = entries, targets
    context.shares = probe_shares(per_s, entries=entries, targets=targets, near_count=near)


@then(
    "an entry may send {per_target:g} probes a second to a near target, and all of them {per_s:d}"
    " for each target"
)
def then_probe_shares(context, per_target, per_s):
    # Guards against equal shares of each target: in a large fleet they are too small for the near
    # targets, so that each request opens connections to targets that the entry seldom uses.
    assert abs(context.shares.per_target_per_s - per_target) < 0.01, context.shares
    total_per_s = context.shares.per_service_per_s * context.entries
    assert abs(total_per_s - per_s * context.targets) < 1e-6, context.shares


@then(
    "readings are reused up to an age that rises from 0 to {bound_ms:g} ms while probes are scarce"
)
def then_reuse_age(context, bound_ms):
    # Guards against old readings while there are probes, and against none when there are not.
    table = [(1.0, 0.0), (0.5, 0.0), (0.25, bound_ms / 2.0), (0.0, bound_ms)]
    for saved_share, expected_ms in table:
        assert max_reuse_age_ms(saved_share) == expected_ms, saved_share
    bucket = TokenBucket(per_s=1.0, burst=10.0, now_ms=0.0)
    assert all(bucket.try_take(now_ms=0.0) for _ in range(6))
    assert bucket.saved_share(now_ms=0.0) == 0.4
    assert bucket.saved_share(now_ms=1_000.0) == 0.5


def _reading(running, waiting, slowness_percent):
    return LoadReading(
        running=running,
        waiting=waiting,
        slots=3,
        slowness_percent=slowness_percent,
        cold_left_ms=0.0,
        is_healthy=True,
        read_ms=0.0,
    )


@then("a free target at normal speed precedes a busy one, and that precedes a slow one")
def slowness_order(context):
    readings = [_reading(1, 0, 100), _reading(2, 0, 100), _reading(0, 0, 400), _reading(3, 9, 400)]
    costs = [expected_slowness(reading) for reading in readings]
    assert costs == sorted(costs) and len(set(costs)) == len(costs), costs


@then("a request waits for a good target, finally accepts a fair one and never a worse one")
def acceptance_criteria(context):
    criteria = AcceptanceCriteria(
        received_ms=0.0, now_ms=0.0, objective_ms=200.0, deadline_ms=1_000.0
    )
    table = [(1.0, False, True), (1.7, False, False), (1.7, True, True), (4.0, True, False)]
    for cost, is_last, expected in table:
        assert criteria.accepts(cost, is_last=is_last) is expected, (cost, is_last)
    assert criteria.wait_until_ms < 1_000.0
    assert criteria.can_meet_objective(typical_ms=80.0, now_ms=119.0)
    assert not criteria.can_meet_objective(typical_ms=80.0, now_ms=121.0)


@when(
    "{entries:d} entries use their whole retry budget for {duration_s:g} s, and a retry takes up to"
    " {delay_ms:g} ms to arrive"
)
def when_all_retry(context, entries, duration_s, delay_ms):
    context.entries, context.delay_ms = entries, delay_ms
    context.duration_ms = duration_s * 1000.0


def _simulate_entry(rng, slack, duration_ms, delay_ms):
    """Return when callers sent requests to one entry and when its retries arrived."""
    budget = WindowedRetryBudget(ratio=0.2, window_ms=10_000.0)
    sent_ms, arrived_ms, now_ms = [], [], 0.0
    while now_ms < duration_ms:
        now_ms += rng.expovariate(1.0 / 200.0)
        sent_ms.append(now_ms - rng.uniform(0.0, delay_ms))
        budget.on_request(now_ms=now_ms)
        for _ in range(3):
            if budget.try_spend(slack=slack, now_ms=now_ms):
                arrived_ms.append(now_ms + rng.uniform(0.0, delay_ms))
    return sent_ms, arrived_ms


@then(
    "no window of {window_s:g} s contains more retries than {ratio:g} of its requests plus"
    " {slack:g}"
)
def then_windows_keep(context, window_s, ratio, slack):
    # Guards against a budget exceeded in sum because retries of an earlier window arrive late.
    window_ms = window_s * 1000.0
    for seed in range(6):
        rng = Random(seed)
        sent_ms, arrived_ms = [], []
        for _ in range(context.entries):
            share = slack / context.entries
            sent, arrived = _simulate_entry(rng, share, context.duration_ms, context.delay_ms)
            sent_ms += sent
            arrived_ms += arrived
        sent_ms.sort()
        arrived_ms.sort()
        for last, end_ms in enumerate(arrived_ms):
            retries = last + 1 - bisect_right(arrived_ms, end_ms - window_ms)
            requests = bisect_right(sent_ms, end_ms) - bisect_right(sent_ms, end_ms - window_ms)
            assert retries <= ratio * requests + slack, (seed, end_ms, retries, requests)


@when(
    "{entries:d} entries send as much as they may to a target that takes {per_s:g} requests a"
    " second, and had sent without a limit before"
)
def when_rate_limited(context, entries, per_s):
    context.entries, context.per_s = entries, per_s


def _simulate_rate_limited_entry(rng, rank, per_s):
    """Return when the requests of one entry arrived that the rate allowed, from 4 s on."""
    window, quota = SendWindow(), rate_quota(per_s, rank)
    arrived_ms, now_ms = [], 0.0
    while now_ms < 60_000.0:
        now_ms += rng.expovariate(1.0 / 100.0)
        is_limited = now_ms > 4_000.0
        if not is_limited or window.has_room([quota], now_ms=now_ms):
            window.add(now_ms=now_ms)
            if is_limited:
                arrived_ms.append(now_ms + rng.uniform(0.0, 60.0))
    return arrived_ms


def _simulate_rate_limited_fleet(seed, entries, per_s):
    rng = Random(seed)
    names = [f"e{i}" for i in range(entries)]
    ranks = [EntryRank.of(name, entries=names, target_id=f"t{seed}") for name in names]
    arrived = [_simulate_rate_limited_entry(rng, rank, per_s) for rank in ranks]
    return sorted(time_ms for times in arrived for time_ms in times)


@then("no window of {window_s:g} s contains more requests than that rate allows")
def then_rate_kept(context, window_s):
    # Guards against a target in need that gets its limit from each entry instead of from all.
    allowed = max(1, int(context.per_s * window_s)) if context.per_s > 0 else 0
    for seed in range(6):
        arrived_ms = _simulate_rate_limited_fleet(seed, context.entries, context.per_s)
        for first, start_ms in enumerate(arrived_ms):
            end = bisect_left(arrived_ms, start_ms + window_s * 1000.0)
            assert end - first <= allowed, (seed, start_ms, end - first, allowed)


@then("it gets at least {share:g} of that rate")
def then_rate_used(context, share):
    # Guards against shares that all round down to nothing.
    arrived_ms = _simulate_rate_limited_fleet(0, context.entries, context.per_s)
    used = len(arrived_ms) / 56.0
    assert used >= share * context.per_s, (used, context.per_s)


@then(
    "for every sequence of requests, a request at each announced time is within the rate, and none"
    " before"
)
def openings_are_exact(context):
    # Guards against requests that are refused although a share opens in time, or that wait in vain.
    def prop(gaps_ms, limit):
        window, quota, now_ms = SendWindow(), SendQuota(limit, 4_000.0), 0.0
        for gap_ms in gaps_ms:
            now_ms += gap_ms
            window.add(now_ms=now_ms)
        openings_ms = window.openings_ms(quota, now_ms=now_ms)
        assert len(openings_ms) == limit and openings_ms == sorted(openings_ms)
        for opening_ms in openings_ms:
            if opening_ms > now_ms:
                assert not window.has_room([quota], now_ms=opening_ms - 0.5)
            assert window.has_room([quota], now_ms=opening_ms)
            window.add(now_ms=opening_ms)

    gaps_ms = st.lists(st.integers(0, 2_000).map(float), max_size=30)
    check_property(context, prop, gaps_ms=gaps_ms, limit=st.integers(0, 6))
