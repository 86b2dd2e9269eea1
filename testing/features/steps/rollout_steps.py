"""Steps for rollouts: decoding, choices, verdicts and decisions."""

from __future__ import annotations

import json
from random import Random
from types import SimpleNamespace

import curio
import msgspec
from behave import given, then
from hypothesis import strategies as st

from kingcupusher._core import now_ms
from kingcupusher._discovery import (
    Catalog,
    RolloutPhase,
    RolloutPhaseSeen,
    RolloutState,
    RolloutWithdrawn,
    StorePosition,
    TargetGone,
    TargetSeen,
)
from kingcupusher._gateway.attempt import AttemptOutcome, AttemptResult
from kingcupusher._gateway.rollout_traffic import RolloutTraffic
from kingcupusher._http.simple_client import Response
from kingcupusher._http.simple_server import serve
from kingcupusher._limits.rollout_ledger import (
    EntryCounts,
    Outcomes,
    RolloutLedger,
    RouteOutcomes,
    latency_bucket,
)
from kingcupusher._limits.rollout_phases import Evidence, decide
from kingcupusher._limits.rollout_verdict import Verdict, VersionCounts, judge
from kingcupusher._observe.metrics_registry import Metrics
from kingcupusher._relay.messages import CatalogUpdate, decode, encode
from kingcupusher._routing.version_choice import (
    CANARY_SHARE,
    OLD_VERSION_DRAW,
    RAMP_MS,
    VersionRule,
    canaries,
    choose_targets,
)
from kingcupusher_platform.records import decode_item, decode_target
from kingcupusher_platform.rollout_records import encode_rollout_state, encode_rollout_status
from kingcupusher_platform.store import StoreClient
from standins.ports import free_address
from testing.features.steps.users_platform_steps import REGISTRATION
from testing.gateway.rollout_entry import versioned_target
from testing.properties import check_property
from testing.rollout_model import Machine

ORDER = b'{"service":"s","targetVersion":"v2","durationS":12}'
NOW_MS = 100_000.0


def _state(phase, **fields):
    return RolloutState(service="s", target_version="v2", order_revision=7, phase=phase, **fields)


def _decode(key, value, problems=None, *, revision=7):
    problems = [] if problems is None else problems

    def on_problem(*args, **fields):
        problems.append((args, fields))

    return decode_item(key, value, lease=0, revision=revision, on_problem=on_problem)


# -- decoding, relaying and writing


@then('the item "op/rollout/s" with {order} gives no change and a log line')
def then_skipped(context, order):
    problems = []
    assert _decode("op/rollout/s", order.encode(), problems) is None
    assert len(problems) == 1, problems


def _ordered_catalog():
    state = _state(RolloutPhase.SHIFT, order_age_ms=9_000.0, rejected=("v0",), revision=9)
    changes = [
        _decode("op/rollout/s", ORDER),
        _decode("kingcupusher/rollouts/s", encode_rollout_state(state), revision=9),
        TargetSeen(decode_target("t1", json.dumps(REGISTRATION).encode())),
    ]
    catalog = Catalog()
    catalog.apply(changes, now_ms=NOW_MS)
    assert catalog.rollout_states.states["s"] == state
    return catalog


@then("an order, its phase and the version of a target reach another entry in a snapshot")
def then_relayed(context):
    update = CatalogUpdate(StorePosition(1, 9), True, _ordered_catalog().snapshot())
    context.catalog = Catalog()
    context.catalog.replace(decode(encode(update)).changes, now_ms=NOW_MS)
    rollouts = context.catalog.rollout_states
    assert rollouts.orders["s"].target_version == "v2"
    assert rollouts.orders["s"].duration_ms == 12_000.0
    assert rollouts.in_force("s").phase is RolloutPhase.SHIFT
    assert rollouts.in_force("s").rejected == ("v0",)
    # The age that the lead wrote is known to an entry that has just started.
    assert rollouts.order_age_ms("s", now_ms=NOW_MS) == 9_000.0
    assert context.catalog.targets["t1"].version == "v1"


@then("a snapshot without them removes them")
def then_removed(context):
    context.catalog.replace([], now_ms=NOW_MS)
    assert context.catalog.rollout_states.in_force("s") is None
    assert not context.catalog.rollout_states.snapshot()


@then("a registration without a version has the empty one")
def then_no_version(context):
    info = {k: v for k, v in REGISTRATION["info"].items() if k != "version"}
    assert decode_target("t", json.dumps(REGISTRATION | {"info": info}).encode()).version == ""


@then("a write expects the revisions of the phase and the order, and a conflict is reported")
def then_written(context):
    bodies = []

    async def handle(request):
        bodies.append(json.loads(request.body))
        return Response(200 if len(bodies) == 1 else 412, [], b"{}")

    async def main():
        address = free_address()
        await curio.spawn(serve, address, handle, daemon=True)
        await curio.sleep(0.05)
        client = StoreClient(address, on_problem=lambda *_args, **_fields: None)
        state = _state(RolloutPhase.SHIFT, revision=9)
        return [await client.write_rollout(state) for _ in range(2)]

    assert curio.run(main) == [True, False]
    expected = {"kingcupusher/rollouts/s": 9, "op/rollout/s": 7}
    assert {row["key"]: row["revision"] for row in bodies[0]["expect"]} == expected
    keys = {put["key"] for put in bodies[0]["puts"]}
    assert keys == {"kingcupusher/rollouts/s", "status/rollout/s"}, keys


@then("the status has exactly a state and a target version for each phase")
def then_status(context):
    states = ["running", "running", "completed", "rolled_back"]
    for phase, expected in zip(RolloutPhase, states, strict=True):
        status = json.loads(encode_rollout_status(_state(phase)))
        assert status == {"state": expected, "targetVersion": "v2"}, status


# -- choices


def _machines(version, count, *, warm_at_ms=0.0):
    return [Machine(f"{version}-{i}", version, warm_at_ms) for i in range(count)]


def _rule(phase, **options):
    return VersionRule(
        service="s", target_version="v2", phase=phase, phase_age_ms=RAMP_MS, **options
    )


@given("{count:d} old targets, and new targets that are {new}")
def given_targets(context, count, new):
    warm_at_ms = NOW_MS + 1.0 if new == "cold" else 0.0
    context.targets = _machines("v1", count)
    context.targets += _machines("v2", 0 if new == "missing" else count, warm_at_ms=warm_at_ms)


@then('in the phase "{phase}" a request with the number {draw:g} may go to {count:d} {version}')
def then_allowed(context, phase, draw, count, version):
    rule = _rule(None if phase == "ordered" else RolloutPhase(phase))
    allowed = choose_targets(context.targets, rule, draw=draw, now_ms=NOW_MS)
    versions = {t.version for t in allowed}
    assert (len(allowed), versions) == (count, {"v1" if version == "old" else "v2"}), versions


@then("without usable old targets, 0.06 of the requests of a trial may go to new ones")
def then_share_kept(context):
    rule, rng = _rule(RolloutPhase.TRIAL), Random(1)
    draws = [rng.random() for _ in range(10_000)]
    served = sum(bool(choose_targets(_machines("v2", 9), rule, draw=d, now_ms=0.0)) for d in draws)
    assert abs(served / 10_000 - CANARY_SHARE) < 0.01, served


@then("without registered old targets, all requests may")
def then_only_new(context):
    rule = _rule(RolloutPhase.TRIAL, had_old_since_order=False)
    assert len(choose_targets(_machines("v2", 9), rule, draw=0.9, now_ms=0.0)) == 9


@then("after a rollback, none may")
def then_none(context):
    rule = _rule(RolloutPhase.ROLLED_BACK, had_old_since_order=False)
    assert not choose_targets(_machines("v2", 9), rule, draw=0.0, now_ms=0.0)


@then("for any targets, all entries choose the same canaries with the load of an old target")
def then_canaries(context):
    def prop(old_count, seed):
        new = _machines("v2", old_count)
        chosen = canaries(new, service="s", old_count=old_count)
        Random(seed).shuffle(new)
        assert chosen == canaries(new, service="s", old_count=old_count)
        canary_load = CANARY_SHARE / len(chosen)
        old_load = (1.0 - CANARY_SHARE) / old_count
        # With fewer than 16 old targets, even one canary gets more than its share of the load.
        assert 0.6 < canary_load / old_load < 1.6 or (len(chosen) == 1 and old_count < 16)

    check_property(context, prop, old_count=st.integers(1, 200), seed=st.integers(0, 99))


@then("a request without an order has the number 1")
def then_old_draw(context):
    traffic = RolloutTraffic(Catalog(), Metrics(), rng=Random(1))
    assert traffic.draw("s") == OLD_VERSION_DRAW == 1.0


@then('the phase "{phase}" of a second order stays if it arrives before its order')
def then_second_final(context, phase):
    catalog = Catalog()
    first = _state(RolloutPhase.COMPLETED)
    second = _state(RolloutPhase(phase), revision=12)
    changes = [
        _decode("op/rollout/s", ORDER),
        RolloutPhaseSeen(first),
        RolloutPhaseSeen(msgspec.structs.replace(second, order_revision=11)),
        _decode("op/rollout/s", ORDER, revision=11),
    ]
    catalog.apply(changes, now_ms=NOW_MS)
    assert not catalog.rollout_states.active_orders()
    # The store returns from a copy that does not have the phase.
    catalog.apply([RolloutPhaseSeen(first)], now_ms=NOW_MS)
    rollout = catalog.rollout_states.in_force("s")
    assert (rollout.order_revision, rollout.phase) == (11, RolloutPhase(phase)), rollout


@then('after "{earlier}" and {order}, with targets of {versions}, requests go to {served}')
def then_served(context, earlier, order, versions, served):
    catalog = Catalog()
    ended = _state(RolloutPhase(earlier), rejected=("v0",), revision=8)
    catalog.apply([_decode("op/rollout/s", ORDER), RolloutPhaseSeen(ended)], now_ms=NOW_MS)
    ordered = RolloutWithdrawn("s")
    if order != "no order":
        version = order.removeprefix("order for ").encode()
        ordered = _decode("op/rollout/s", ORDER.replace(b"v2", version), revision=11)
    catalog.apply([ordered], now_ms=NOW_MS)
    catalog.apply([versioned_target(v, v) for v in versions.split()], now_ms=0.0)
    traffic = RolloutTraffic(catalog, Metrics(), rng=Random(1))
    allowed = traffic.allowed("s", catalog.usable_targets("s"), OLD_VERSION_DRAW)
    assert sorted(t.version for t in allowed) == served.split(), allowed


@then("without targets, no old version counts, whichever versions are rejected")
def then_no_old(context):
    for rejected in ((), ("v0",)):
        catalog = Catalog()
        seen = RolloutPhaseSeen(_state(RolloutPhase.TRIAL, rejected=rejected))
        catalog.apply([_decode("op/rollout/s", ORDER), seen], now_ms=NOW_MS)
        rollout = catalog.rollout_states.in_force("s")
        assert not RolloutTraffic(catalog, Metrics(), rng=None).had_old_since_order(
            rollout
        ), rejected


# -- verdicts


def _counts(text):
    parsed = {}
    for part in text.split(", "):
        route, numbers = part.split()
        parsed[route] = VersionCounts(*map(int, numbers.split("/")))
    return parsed


@then("the verdict on {new} is {verdict} if the old version had {old}")
def then_verdict(context, new, verdict, old):
    assert judge(_counts(old), _counts(new)) is Verdict(verdict)


def _outcomes(good, bad, *, bad_bucket=None):
    latencies = {13: good}
    if bad_bucket is not None:
        latencies[bad_bucket] = bad
    return Outcomes(0 if bad_bucket else bad, latencies)


def _late_verdict(old_later, new_later):
    ledger = RolloutLedger()
    earlier = RouteOutcomes(_outcomes(900, 5), _outcomes(300, 0))
    ledger.add("e1", 1, EntryCounts(1_200, 300, {"a": earlier}))
    ledger.remember(now_ms=0.0)
    later = {"a": RouteOutcomes(old_later, new_later)}
    ledger.add("e1", 1, EntryCounts(1_300, 330, later))
    return ledger.verdict(now_ms=750.0)


@then("{bad:d} bad responses after {good:d} good ones are enough for a verdict")
def then_late_fault(context, bad, good):
    assert _late_verdict(_outcomes(950, 5), _outcomes(good + bad, bad)) is Verdict.BAD


@then("a fleet that is slow for a moment is not")
def then_slow_fleet(context):
    old = Outcomes(5, {13: 920, 19: 40})
    assert _late_verdict(old, Outcomes(0, {13: 315, 19: 15})) is not Verdict.BAD


@then("for any order of reports, the sums are those of the latest report of each run")
def then_sums(context):
    def prop(reports):
        ledger, latest = RolloutLedger(), {}
        for entry, run, count in reports:
            outcomes = {"a": RouteOutcomes(_outcomes(count, 0), _outcomes(0, count))}
            ledger.add(entry, run, EntryCounts(2 * count, count, outcomes))
            latest[entry, run] = max(count, latest.get((entry, run), 0))
        total = sum(latest.values())
        old, new = ledger.counts()
        assert (ledger.requests, ledger.exposed) == (2 * total, total)
        if reports:
            assert (old["a"].responses, new["a"].failures) == (total, total)

    report = st.tuples(st.sampled_from("xyz"), st.integers(1, 2), st.integers(0, 50))
    check_property(context, prop, reports=st.lists(report, max_size=30))


@then('"{verdict}" in the "{phase}" at {age:g} s, {exposed:d} exposed and {few} leads to "{end}"')
def then_decided(context, verdict, phase, age, exposed, few, end):
    evidence = Evidence(
        verdict=Verdict(verdict),
        requests=int(100 * age),
        exposed=exposed,
        order_age_ms=age * 1_000.0,
        phase_age_ms=(age - 8.6) * 1_000.0,
        duration_ms=12_000.0,
        has_majority=few == "all",
    )
    decision = decide(RolloutPhase(phase), evidence)
    assert (decision.phase if decision else RolloutPhase(phase)) is RolloutPhase(end), decision


def _shift_end(began_ms, age_ms, duration_ms, *, phase="shift", **fields):
    evidence = Evidence(
        verdict=Verdict.GOOD,
        requests=1_000,
        exposed=300,
        order_age_ms=age_ms,
        phase_age_ms=age_ms - began_ms,
        duration_ms=duration_ms,
        has_majority=True,
        **fields,
    )
    decision = decide(RolloutPhase(phase), evidence)
    return decision.phase.value if decision else phase


@then("a good version in the shift whose entries have {moved} at {age:g} s is {end}")
def then_moved(context, moved, age, end):
    have_all_moved = moved == "moved"
    assert _shift_end(8_600.0, age * 1e3, 12_000.0, have_all_moved=have_all_moved) == end


@then('a good version with too few targets in the "{phase}" at {age:g} s is {end}')
def then_too_few(context, phase, age, end):
    assert _shift_end(8_600.0, age * 1e3, 12_000.0, phase=phase, has_capacity=False) == end


@then("with {new:d} of 10 new targets that are {state}, beside 10 old ones, there is {result}")
def then_capacity(context, new, state, result):
    fields = {"cold": {"cold_left_ms": 60_000.0}, "draining": {"is_draining": True}}
    seen = [versioned_target(f"old{i}", "v1") for i in range(10)]
    for i in range(new):
        record = versioned_target(f"new{i}", "v2").record
        seen.append(TargetSeen(msgspec.structs.replace(record, **fields.get(state, {}))))
    catalog = _shift_catalog(RolloutPhase.TRIAL, seen_ms=0.0)
    catalog.apply([TargetGone("v1"), TargetGone("v2"), *seen], now_ms=now_ms())
    traffic = RolloutTraffic(catalog, Metrics(), rng=Random(1))
    assert traffic.has_capacity(catalog.rollout_states.in_force("s")) == (result == "room")


@then(
    "after an order is withdrawn in the trial, with targets of {versions}, requests go to {served}"
)
def then_served_withdrawn(context, versions, served):
    catalog = Catalog()
    trial = _state(RolloutPhase.TRIAL, rejected=("v0",))
    changes = [_decode("op/rollout/s", ORDER), RolloutPhaseSeen(trial), RolloutWithdrawn("s")]
    changes += [versioned_target(v, v) for v in versions.split()]
    catalog.apply(changes, now_ms=0.0)
    traffic = RolloutTraffic(catalog, Metrics(), rng=Random(1))
    allowed = traffic.allowed("s", catalog.usable_targets("s"), traffic.draw("s"))
    assert sorted(t.version for t in allowed) == served.split(), allowed


@then('an attempt of 8 s that ends as {outcome} with "{reason}" counts as {counted}')
def then_counted(context, outcome, reason, counted):
    catalog = _shift_catalog(RolloutPhase.TRIAL, seen_ms=0.0)
    traffic = RolloutTraffic(catalog, Metrics(), rng=Random(1))
    probed = SimpleNamespace(target=catalog.targets["v2"])
    attempt = SimpleNamespace(probed=probed, sent_ms=0.0, ended_ms=8_000.0)
    traffic.on_result("a", AttemptResult(attempt, AttemptOutcome(outcome), reason=reason))
    routes = traffic.counts_since(catalog.rollout_states.orders["s"]).routes
    expected = {
        "slow": Outcomes(0, {latency_bucket(8_000.0): 1}),
        "failed": Outcomes(1),
        "nothing": None,
    }[counted]
    assert (routes["a"].new if routes else None) == expected, routes


@then("a final phase is lost if the store has the same phase of an earlier order")
def then_lost_end(context):
    catalog = Catalog()
    earlier = _state(RolloutPhase.COMPLETED)
    last = msgspec.structs.replace(earlier, order_revision=11)
    changes = [_decode("op/rollout/s", ORDER, revision=11), RolloutPhaseSeen(last)]
    catalog.apply(changes, now_ms=NOW_MS)
    assert not catalog.rollout_states.lost_finals()
    catalog.apply([RolloutPhaseSeen(earlier)], now_ms=NOW_MS)
    assert catalog.rollout_states.lost_finals() == [last]


@then("for any order and any time of the shift, a good version is completed before the deadline")
def then_ends_in_time(context):
    def prop(duration_ms, good_from_ms, offset_ms):
        age_ms, phase, began_ms, has_shifted = offset_ms, RolloutPhase.TRIAL, 0.0, False
        while not phase.is_final:
            is_good = age_ms >= duration_ms - good_from_ms
            evidence = Evidence(
                verdict=Verdict.GOOD if is_good else Verdict.UNDECIDED,
                requests=1_000,
                exposed=30,
                order_age_ms=age_ms,
                phase_age_ms=age_ms - began_ms,
                duration_ms=duration_ms,
                has_majority=True,
            )
            decision = decide(phase, evidence)
            if decision is not None:
                phase, began_ms = decision.phase, age_ms
            has_shifted = has_shifted or phase is RolloutPhase.SHIFT
            age_ms += 100.0
        # A version that is good too late is rolled back from the trial, without a shift.
        assert phase is RolloutPhase.COMPLETED or not has_shifted, age_ms
        assert has_shifted or good_from_ms < 3_000.0
        assert age_ms <= duration_ms or not has_shifted, age_ms

    check_property(
        context,
        prop,
        duration_ms=st.floats(4_000.0, 20_000.0),
        good_from_ms=st.floats(2_000.0, 4_000.0),
        offset_ms=st.floats(0.0, 99.0),
    )


def _shift_catalog(*phases, seen_ms):
    catalog = Catalog()
    targets = [versioned_target(v, v) for v in ("v1", "v2")]
    catalog.apply([*targets, _decode("op/rollout/s", ORDER)], now_ms=0.0)
    seen = [RolloutPhaseSeen(_state(phase)) for phase in phases]
    catalog.apply(seen, now_ms=seen_ms)
    return catalog


def _versions_of_late_draw(catalog):
    traffic = RolloutTraffic(catalog, Metrics(), rng=Random(1))
    allowed = traffic.allowed("s", catalog.usable_targets("s"), 0.9)
    return {t.version for t in allowed}, traffic.followed_phase("s")


@then("in the shift, an entry that joined sends all requests to the new version")
def then_joined(context):
    catalog = _shift_catalog(RolloutPhase.SHIFT, seen_ms=now_ms())
    assert _versions_of_late_draw(catalog) == ({"v2"}, RolloutPhase.SHIFT)


@then("one that saw the trial begins with a part of them")
def then_ramp(context):
    catalog = _shift_catalog(RolloutPhase.TRIAL, RolloutPhase.SHIFT, seen_ms=now_ms())
    assert _versions_of_late_draw(catalog) == ({"v1"}, RolloutPhase.TRIAL)


@then("an attempt to an old target that began before the order is in flight until it ends")
def then_in_flight(context):
    catalog = Catalog()
    catalog.apply([versioned_target(v, v) for v in ("v1", "v2")], now_ms=0.0)
    traffic = RolloutTraffic(catalog, Metrics(), rng=Random(1))
    attempts = [
        SimpleNamespace(probed=SimpleNamespace(target=catalog.targets[v]), sent_ms=0.0)
        for v in ("v1", "v1", "v2")
    ]
    for attempt in attempts:
        traffic.on_send(attempt, is_first=True)
    order = _decode("op/rollout/s", ORDER)
    catalog.apply([order], now_ms=0.0)
    counts = [traffic.old_in_flight(order.order)]
    traffic.on_result("a", AttemptResult(attempts[0], AttemptOutcome.NOT_RUN))
    counts.append(traffic.old_in_flight(order.order))
    traffic.on_end(attempts[1])
    counts.append(traffic.old_in_flight(order.order))
    assert counts == [2, 1, 0], counts


def _decide_without_old(phase, verdict, age_s, *, duration_s=12, has_new=True):
    evidence = Evidence(
        verdict=Verdict(verdict),
        requests=int(100 * age_s),
        exposed=int(100 * age_s),
        order_age_ms=age_s * 1_000.0,
        phase_age_ms=age_s * 1_000.0,
        duration_ms=duration_s * 1_000.0,
        has_majority=True,
        had_old_since_order=False,
        has_new=has_new,
    )
    decision = decide(RolloutPhase(phase), evidence)
    return decision.phase.value if decision else phase


@then('a "{verdict}" version, {new}, without another one in the "{phase}" at {age:g} s is {end}')
def then_decided_without_old(context, verdict, new, phase, age, end):
    assert _decide_without_old(phase, verdict, age, has_new=new == "present") == end


@then("an order of 3 s for the only version is in the trial at 2 s, and completed at 3 s")
def then_short_order(context):
    phases = [_decide_without_old("trial", "undecided", s, duration_s=3) for s in (2.0, 3.0)]
    assert phases == ["trial", "completed"], phases
