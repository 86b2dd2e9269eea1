"""Steps for target selection."""

from __future__ import annotations

from collections import Counter, deque
from random import Random

from behave import then
from hypothesis import given
from hypothesis import strategies as st

from kingcupusher._routing import (
    InvalidLoadReportError,
    LoadReport,
    ServiceRouter,
    Target,
    UnknownTargetError,
)
from testing.property_settings import LONG_PROPERTY, PROPERTY

NAMES = [f"t{number}" for number in range(8)]
NAME_SETS = st.frozensets(st.sampled_from(NAMES))
SEEDS = st.integers(0, 2**32)
FAULTY = "t3"
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("sync"), NAME_SETS, NAME_SETS),
        st.tuples(st.just("send"), NAME_SETS, NAME_SETS),
        st.tuples(st.just("send"), st.just(frozenset(NAMES)), NAME_SETS),
        st.tuples(st.sampled_from(["respond", "fail", "cancel"]), st.none(), st.none()),
    ),
    max_size=60,
)


def create_router(policy, seed=0, names=NAMES, zone=""):
    router = ServiceRouter(
        "lookups", policy=policy, seat=1, seat_count=3, rng=Random(seed), zone=zone
    )
    router.set_targets(Target(name, "z0", 3) for name in names)
    return router


def create_report(load, boot_id="1"):
    return LoadReport(min(load, 3), max(0, load - 3), 3, "warm", boot_id)


@then("{policy} only selects listed, allowed targets that are not excluded")
def selects_usable(context, policy):
    @PROPERTY
    @given(events=EVENTS, seed=SEEDS)
    def check(events, seed):
        router = create_router(policy, seed)
        listed = frozenset(NAMES)
        in_flight = deque()
        for count, (kind, names, exclude) in enumerate(events):
            now_ms = count * 2.0
            if kind == "sync":
                listed = names
                router.set_targets(Target(name, "z0", 3) for name in names)
            elif kind == "send":
                view = router.choose(now_ms=now_ms, allowed=names, exclude=exclude)
                usable = (listed & names) - exclude
                assert (view.target_id in usable) if usable else view is None
                if view is not None:
                    router.on_sent(view.target_id, now_ms=now_ms)
                    in_flight.append(view.target_id)
            elif in_flight:
                name = in_flight.popleft()
                if kind == "fail":
                    router.on_failure(name, now_ms=now_ms, elapsed_ms=1.0)
                elif kind == "cancel":
                    router.on_cancelled(name, now_ms=now_ms)
                else:
                    router.on_response(
                        name, now_ms=now_ms, elapsed_ms=9.0, report=create_report(count % 7)
                    )
            counts = Counter(in_flight)
            for name in listed | set(counts):
                assert router.view(name).in_flight == counts[name]

    check()


class Traffic:
    """Sends requests at a constant rate and completes them in the order in which they end."""

    def __init__(self, policy, fault, seed):
        self.router = create_router(policy, seed)
        self.is_failing = fault == "fails at once"
        self.rng = Random(seed)
        self.pending = []
        self.now_ms = 0.0

    def run(self, requests, *, is_faulty):
        """Send the requests; return the faulty target's share of the second half."""
        sent = []
        for _ in range(requests):
            self.now_ms += 5.0
            self._complete_due()
            view = self.router.choose(now_ms=self.now_ms, allowed=NAMES)
            self.router.on_sent(view.target_id, now_ms=self.now_ms)
            sent.append(view.target_id)
            self._start(view.target_id, is_faulty=is_faulty and view.target_id == FAULTY)
        tail = sent[requests // 2 :]
        return tail.count(FAULTY) / len(tail)

    def _start(self, name, *, is_faulty):
        elapsed_ms = self.rng.gammavariate(4.0, 2.5)
        if is_faulty:
            elapsed_ms = 0.2 if self.is_failing else elapsed_ms * 10.0
        fails = is_faulty and self.is_failing
        self.pending.append((self.now_ms + elapsed_ms, name, elapsed_ms, fails))

    def _complete_due(self):
        ended = sorted(entry for entry in self.pending if entry[0] <= self.now_ms)
        self.pending = [entry for entry in self.pending if entry[0] > self.now_ms]
        for end_ms, name, elapsed_ms, fails in ended:
            if fails:
                self.router.on_failure(name, now_ms=end_ms, elapsed_ms=elapsed_ms)
            else:
                self.router.on_response(name, now_ms=end_ms, elapsed_ms=elapsed_ms, report=None)


@then("with {policy} a target that {fault} gets under 1 % of the requests")
def bad_target_avoided(context, policy, fault):
    @LONG_PROPERTY
    @given(seed=SEEDS)
    def check(seed):
        assert Traffic(policy, fault, seed).run(1_600, is_faulty=True) < 0.01

    check()


@then("with {policy} a target that {fault} gets at least half of its fair share after it recovers")
def recovered_target_used(context, policy, fault):
    @LONG_PROPERTY
    @given(seed=SEEDS)
    def check(seed):
        traffic = Traffic(policy, fault, seed)
        traffic.run(400, is_faulty=True)
        assert traffic.run(3_200, is_faulty=False) > 0.5 / len(NAMES)

    check()


@then("a target with cancelled requests is neither slow nor has requests in flight")
def cancelled_is_neutral(context):
    traffic = Traffic("random", "fails at once", 1)
    traffic.run(400, is_faulty=False)
    for _ in range(100):
        traffic.router.on_sent(FAULTY, now_ms=traffic.now_ms)
        traffic.router.on_cancelled(FAULTY, now_ms=traffic.now_ms)
    view = traffic.router.view(FAULTY)
    assert not view.is_slow
    assert view.in_flight == sum(entry[1] == FAULTY for entry in traffic.pending)


@then("a target that was slow because of failures is not slow after a restart")
def restart_resets_latency(context):
    traffic = Traffic("expected_load", "fails at once", 1)
    traffic.run(800, is_faulty=True)
    view = traffic.router.view(FAULTY)
    assert view.is_slow
    traffic.router.on_sent(FAULTY, now_ms=traffic.now_ms)
    traffic.router.on_response(
        FAULTY, now_ms=traffic.now_ms, elapsed_ms=10.0, report=create_report(0, "2")
    )
    assert not view.is_slow


@then("expected_load selects a target with the lowest reported load")
@PROPERTY
@given(seed=SEEDS, loads=st.lists(st.integers(0, 9), min_size=8, max_size=8))
def loaded_avoided(context, seed, loads):
    router = create_router("expected_load", seed)
    for name, load in zip(NAMES, loads, strict=True):
        router.on_sent(name, now_ms=0.0)
        router.on_response(name, now_ms=1.0, elapsed_ms=1.0, report=create_report(load))
    view = router.choose(now_ms=1.0, allowed=NAMES)
    assert loads[NAMES.index(view.target_id)] == min(loads)


@then("a target in the entry's own zone is preferred only at equal load")
@PROPERTY
@given(seed=SEEDS, own_zone_load=st.integers(0, 9), other_zone_load=st.integers(0, 9))
def zone_preferred(context, seed, own_zone_load, other_zone_load):
    router = create_router("expected_load", seed, names=[], zone="z1")
    router.set_targets([Target("near", "z1", 3), Target("far", "z2", 3)])
    for name, load in (("near", own_zone_load), ("far", other_zone_load)):
        router.on_sent(name, now_ms=0.0)
        router.on_response(name, now_ms=1.0, elapsed_ms=1.0, report=create_report(load))
    view = router.choose(now_ms=1.0, allowed={"near", "far"})
    assert view.target_id == ("near" if own_zone_load <= other_zone_load else "far")


@then("a new target is assumed to have the average load of the others")
def new_target_expected(context):
    router = create_router("expected_load", names=NAMES[:2])
    for name in NAMES[:2]:
        router.on_sent(name, now_ms=0.0)
        router.on_response(name, now_ms=1.0, elapsed_ms=1.0, report=create_report(4))
    router.set_targets(Target(name, "z0", 3) for name in NAMES[:3])
    assert router.view(NAMES[2]).others_load == router.view(NAMES[0]).others_load > 0


@then("every load report that a target writes is parsed")
@PROPERTY
@given(
    counts=st.tuples(st.integers(0, 999), st.integers(0, 999), st.integers(1, 999)),
    state=st.sampled_from(["warm", "cold", "draining"]),
    boot_id=st.integers(0, 10**9).map(str),
    order=st.permutations(range(6)),
)
def report_round_trip(context, counts, state, boot_id, order):
    names = ("inflight", "queued", "slots", "state", "boot", "later")
    fields = [f"{n}={v}" for n, v in zip(names, (*counts, state, boot_id, 1), strict=True)]
    text = ", ".join(fields[index] for index in order)
    expected = LoadReport(*counts, state, boot_id)
    assert LoadReport.parse(text) == LoadReport.parse(text.encode()) == expected


BAD_REPORTS = [
    "",
    "inflight",
    "inflight=x, queued=0, slots=3, state=warm, boot=1",
    "inflight=-1, queued=0, slots=3, state=warm, boot=1",
    "inflight=1, queued=0, slots=0, state=warm, boot=1",
    "inflight=1, queued=0, slots=3, state=warm",
]


@then("text that is not a load report raises an error that contains the text")
def invalid_report_rejected(context):
    for text in BAD_REPORTS:
        try:
            LoadReport.parse(text)
        except InvalidLoadReportError as error:
            assert repr(text) in str(error)
        else:
            raise AssertionError(f"{text!r} was accepted")


@then("an event for a target that was never listed is rejected with an error that names it")
def unknown_target_rejected(context):
    try:
        create_router("random").on_sent("t99", now_ms=0.0)
    except UnknownTargetError as error:
        assert "t99" in str(error)
    else:
        raise AssertionError("the event was accepted")
