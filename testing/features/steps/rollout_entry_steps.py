"""Steps for rollouts in a model of a fleet, on gateways, and when the lead or the store fails."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import curio
import msgspec
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._discovery import (
    Catalog,
    RolloutOrder,
    RolloutOrdered,
    RolloutPhase,
    RolloutPhaseGone,
    RolloutPhaseSeen,
    RolloutState,
    RolloutWithdrawn,
    TargetSeen,
)
from kingcupusher._gateway.rollout_traffic import RolloutTraffic
from kingcupusher._gateway.rollouts import MAX_CHECK_GAP_MS, NEW_LEAD_WAIT_MS, RolloutControl
from kingcupusher._limits.rollout_ledger import EntryCounts, Outcomes, RouteOutcomes
from kingcupusher._observe.metrics_registry import Metrics
from kingcupusher._relay import LeadServer
from kingcupusher._relay.messages import RolloutReport
from testing.gateway.cluster import Cluster
from testing.gateway.fixture import GatewayFixture, registration
from testing.gateway.rollout_entry import RolloutEntry, versioned_target
from testing.rollout_model import RolloutModel, Version

DURATION_MS = 8_000.0
END_WITHIN_MS = 10_000.0
SETTLE_S = 1.5
USUAL = {"failing": 0.01, "slow": 0.1}
FAULTS = {
    "no fault": {},
    "failures at once": {"faulty": 0.4},
    "slow responses at once": {"faulty": 0.5, "slowdown": 8.0},
    "failures after 6 s": {"faulty": 0.4, "from_ms": 6_000.0},
    "failures in the shift": {"faulty": 0.4, "from_ms": 8_500.0},
    "failures on one route": {"faulty": 0.5, "fault_route": "a"},
}


def _changes(phase, *, duration_ms=DURATION_MS):
    order = RolloutOrder(service="s", target_version="v2", duration_ms=duration_ms, revision=7)
    state = RolloutState(
        service="s", target_version="v2", order_revision=7, phase=phase, revision=8
    )
    return [RolloutOrdered(order), RolloutPhaseSeen(state)]


@given("a gateway with two old targets, and two new ones that fail")
def given_gateway(context):
    context.behaviours = ["healthy", "healthy", "failing", "failing"]


@then('in the phase "{phase}" requests with the number {draw:g} get {status:d} and are sent to {s}')
def then_sent(context, phase, draw, status, s):
    async def main():
        async with GatewayFixture(context.behaviours) as fixture, curio.timeout_after(20):
            for i, target in enumerate(fixture.targets):
                record = msgspec.structs.replace(
                    registration(target, born_unix_ms=2), version="v1" if i < 2 else "v2"
                )
                fixture.catalog.apply([TargetSeen(record)], now_ms=now_ms())
            fixture.catalog.apply(_changes(RolloutPhase(phase)), now_ms=now_ms())
            fixture.gateway.rollout_traffic._rng = SimpleNamespace(random=lambda: draw)
            assert (await fixture.call("lookup"))[0] == status
            sent = [len(target.received) for target in fixture.targets]
            return {"old": sent[0] + sent[1], "new": sent[2] + sent[3]}

    expected = {"old": 0, "new": 0}
    for part in s.split(", "):
        version, count = part.split()
        expected[version] = {"once": 1, "twice": 2}[count]
    sent = curio.run(main)
    assert sent == expected, sent


class _RecordingStore:
    """Takes no write, and keeps what was to be written."""

    def __init__(self):
        self.phases = []

    async def write_rollout(self, state):
        """Report a conflict."""
        self.phases.append(state.phase)
        return False


@then("a lead that made no check for a while writes nothing until its reports are new")
def then_frozen(context):
    catalog, server, store = Catalog(), LeadServer(), _RecordingStore()
    traffic = RolloutTraffic(catalog, Metrics(), rng=None)
    link = SimpleNamespace(is_lead=True, lead="e1")
    rng = SimpleNamespace(randrange=lambda _limit: 1)
    rollouts = RolloutControl(
        catalog, traffic, link, server, store, on_event=lambda *_a, **_f: None, rng=rng
    )
    catalog.apply([versioned_target("t1", "v1")], now_ms=0.0)
    catalog.apply(_changes(RolloutPhase.TRIAL), now_ms=now_ms())
    bad = EntryCounts(100, 20, {"a": RouteOutcomes(Outcomes(0, {13: 80}), Outcomes(20))})

    async def main():
        await rollouts.check()
        server.handle("e2", RolloutReport("s", 7, 1_000, 1, bad))
        await rollouts.check()
        assert not store.phases, store.phases
        rollouts._wait_until_ms = 0.0
        # The gap of a frozen process: its last check is long ago.
        rollouts._checked_ms = now_ms() - MAX_CHECK_GAP_MS - 1.0
        await rollouts.check()
        assert not store.phases, "it decided on old reports"
        await curio.sleep(NEW_LEAD_WAIT_MS / 2_000.0)
        await rollouts.check()
        assert not store.phases, "it decided on old reports"
        await curio.sleep(NEW_LEAD_WAIT_MS / 2_000.0)
        await rollouts.check()
        assert store.phases == [RolloutPhase.ROLLED_BACK], store.phases

    curio.run(main)


class _ChangingStore:
    """Applies ``change`` to the order of the other service during the first write."""

    def __init__(self, catalog, change):
        self._catalog = catalog
        self._change = change
        self.written = []

    async def write_rollout(self, state):
        """Take the write."""
        self.written.append((state.service, state.order_revision))
        if len(self.written) == 1:
            other = {"s": "t", "t": "s"}[state.service]
            changed = RolloutWithdrawn(other)
            if self._change == "replaced":
                changed = RolloutOrdered(_order(other, 99))
            self._catalog.apply([changed], now_ms=now_ms())
        return True


def _order(service, revision):
    return RolloutOrder(
        service=service, target_version="v2", duration_ms=DURATION_MS, revision=revision
    )


def _rollouts(catalog, store, server=None):
    traffic = RolloutTraffic(catalog, Metrics(), rng=None)
    link = SimpleNamespace(is_lead=True, lead="e1")
    rng = SimpleNamespace(randrange=lambda _limit: 1)
    return RolloutControl(
        catalog,
        traffic,
        link,
        server or LeadServer(),
        store,
        on_event=lambda *_a, **_f: None,
        rng=rng,
    )


@then("a lead that writes a {kind} phase skips an order that is {change} during the write")
def then_skipped_order(context, kind, change):
    catalog = Catalog()
    catalog.apply([RolloutOrdered(_order(s, 7)) for s in "st"], now_ms=now_ms())
    for service in "st" if kind == "lost" else "":
        state = RolloutState(
            service=service,
            target_version="v2",
            order_revision=7,
            phase=RolloutPhase.ROLLED_BACK,
            revision=8,
        )
        seen = [RolloutPhaseSeen(state), RolloutPhaseGone(service)]
        catalog.apply(seen, now_ms=now_ms())
    store = _ChangingStore(catalog, change)
    curio.run(_rollouts(catalog, store).check)
    assert len(store.written) == 1, store.written


def _begun(versions, *, target_version, seen):
    """Return the catalog, and what its lead writes for an order after the states ``seen``."""
    catalog, store = Catalog(), _StateStore()
    changes = [versioned_target(v, v) for v in versions]
    order = msgspec.structs.replace(_order("s", 11), target_version=target_version)
    changes += [RolloutOrdered(_order("s", 7)), *map(RolloutPhaseSeen, seen), RolloutOrdered(order)]
    catalog.apply(changes, now_ms=now_ms())
    curio.run(_rollouts(catalog, store).check)
    (state,) = store.states
    return catalog, state


class _StateStore:
    """Takes all writes."""

    def __init__(self):
        self.states = []

    async def write_rollout(self, state):
        """Keep what was written."""
        self.states.append(state)
        return True


def _ended(phase, **fields):
    return RolloutState(service="s", target_version="v2", order_revision=7, phase=phase, **fields)


@then("of the rejected versions v0 and v2, a lead keeps v2 if only v1 and v2 are registered")
def then_pruned(context):
    earlier = _ended(RolloutPhase.ROLLED_BACK, rejected=("v0",))
    _, state = _begun(("v1", "v2"), target_version="v3", seen=[earlier])
    assert (state.phase, state.rejected) == (RolloutPhase.TRIAL, ("v2",)), state


@then("after a restored store, lead and entries reject the version that was rolled back")
def then_restored_view(context):
    seen = [_ended(RolloutPhase.ROLLED_BACK), _ended(RolloutPhase.TRIAL)]
    catalog, state = _begun(("v1", "v2"), target_version="v3", seen=seen)
    assert state.rejected == ("v2",), state
    assert catalog.rollout_states.in_force("s").rejected == ("v2",)


@then('a lead writes "{phase}" for the completed version with targets of {versions}')
def then_begun(context, phase, versions):
    earlier = _ended(RolloutPhase.COMPLETED)
    _, state = _begun(versions.split(), target_version="v2", seen=[earlier])
    assert state.phase is RolloutPhase(phase), state


@then("a lead that sees a shift 3 s late, linked to an entry that {report}, writes {written}")
def then_moved_entries(context, report, written):
    catalog, server, store = Catalog(), LeadServer(), _StateStore()
    rollouts = _rollouts(catalog, store, server)
    changes = _changes(RolloutPhase.SHIFT, duration_ms=12_000.0)
    state = msgspec.structs.replace(changes[1].state, order_age_ms=8_000.0)
    targets = [versioned_target(v, v) for v in ("v1", "v2")]
    catalog.apply([*targets, changes[0], RolloutPhaseSeen(state)], now_ms=now_ms())
    for entry in ("e1", "e2"):
        server.link(entry)
    good = Outcomes(0, {13: 100})
    counts = EntryCounts(200, 100, {"a": RouteOutcomes(good, good)})
    shift = (RolloutPhase.SHIFT, 0)
    server.handle("e1", RolloutReport("s", 7, 11_000, 1, counts, *shift))
    reported = {
        "follows the shift": shift,
        "is in the ramp": (RolloutPhase.TRIAL, 0),
        "waits for a response of the old version": (RolloutPhase.SHIFT, 1),
    }.get(report)
    if reported:
        server.handle("e2", RolloutReport("s", 7, 11_000, 1, EntryCounts(), *reported))

    async def main():
        await rollouts.check()
        rollouts._wait_until_ms = 0.0
        await rollouts.check()

    curio.run(main)
    phases = [state.phase.value for state in store.states]
    assert phases == ([] if written == "nothing" else [written]), phases


@then("a lead that checks 20 times in 2 s writes a lost final phase 2 times")
def then_restored_slowly(context):
    catalog, store = Catalog(), _RecordingStore()
    rollouts = _rollouts(catalog, store)
    ended = _ended(RolloutPhase.ROLLED_BACK)
    seen = [RolloutOrdered(_order("s", 7)), RolloutPhaseSeen(ended), RolloutPhaseGone("s")]
    catalog.apply(seen, now_ms=now_ms())

    async def main():
        for _ in range(20):
            await rollouts.check()
            await curio.sleep(0.098)

    curio.run(main)
    assert len(store.phases) == 2, store.phases


# -- the model of a fleet


@then("of {runs:d} rollouts, at least {expected:d} end as {end} within the bounds")
def then_model(context, runs, expected, end):
    row = context.active_outline
    fault, per_s = FAULTS[row["fault"]], int(row["per_s"])
    seed = int(context.config.userdata.get("seed", 0))
    ends = []
    for run in range(runs):
        model = RolloutModel(
            Random(1_000 * seed + run),
            old=Version(**USUAL),
            new=Version(**USUAL, **fault),
            per_s=per_s,
            targets=57 if per_s > 100 else 26,
        ).run()
        ends.append(model.final_phase.value)
        if fault:
            assert model.excess_exposure() <= 0.0, (run, model.phases, len(model.new_ms))
            assert model.late_requests() == 0, (run, model.phases)
        else:
            assert model.phases[-1][1] <= model.duration_ms, model.phases
    assert ends.count(end) >= expected, ends


# -- entries with a store


class RolloutCluster(Cluster):
    """Entries that send requests, and an order."""

    entry_class = RolloutEntry
    settled_ms = None
    """From when on requests must go to the version that the rollout ended with."""

    def phase(self):
        """Return the phase in the store, None without one."""
        seen = self.store.contents.get("rollout s")
        return seen.state.phase if seen else None

    def lead(self):
        """Return the entry that leads."""
        return next((n for n in sorted(self.running) if self.members[n].link.is_lead), None)

    async def reach(self, *phases):
        """Wait for one of ``phases`` in the store."""
        assert await self.wait_for(lambda: self.phase() in phases, within_ms=END_WITHIN_MS), (
            self.phase(),
            [e for m in self.members.values() for e in m.events if "rollout" in e[0]],
        )


async def _kill_lead_in_trial(cluster):
    await cluster.reach(RolloutPhase.TRIAL)
    await cluster.wait_for(lambda: cluster.lead() is not None)
    await cluster.stop(cluster.lead())


async def _kill_lead_in_shift(cluster):
    await cluster.reach(RolloutPhase.SHIFT)
    await cluster.stop(cluster.lead())


async def _lose_responses(cluster):
    cluster.store.loses_responses = True


async def _restore(cluster):
    await cluster.reach(RolloutPhase.TRIAL)
    copy = cluster.store.copy()
    await cluster.reach(RolloutPhase.ROLLED_BACK)
    await curio.sleep(SETTLE_S)
    cluster.settled_ms = now_ms()
    cluster.store.restore(copy)
    await curio.sleep(SETTLE_S)


async def _withdraw(cluster):
    await cluster.reach(RolloutPhase.TRIAL)
    cluster.store.remove("order s", RolloutWithdrawn("s"))


async def _do_nothing(cluster):
    """Let the rollout go on."""


EVENTS = {
    "nothing happens": _do_nothing,
    "the lead is killed in the trial": _kill_lead_in_trial,
    "the lead is killed in the shift": _kill_lead_in_shift,
    "the response to each write is lost": _lose_responses,
    "the store returns from a copy of the trial": _restore,
    "the order is withdrawn in the trial": _withdraw,
}


@given("four entries and a store")
def given_entries(context):
    context.cluster = RolloutCluster(4, 2)
    for i in range(9):
        context.cluster.store.write(f"t{i}", versioned_target(f"old{i}", "v1"))


def _run(cluster, action):
    async def main():
        await cluster.start_all()
        try:
            async with curio.timeout_after(30):
                await action()
        finally:
            await cluster.stop_all()

    curio.run(main)


@when("a version that is {quality} is ordered, and {event}")
def when_ordered(context, quality, event):
    context.quality, context.event = quality, EVENTS[event]


@then("the rollout ends as {end}, and entries send requests only to the {version} version")
def then_ends(context, end, version):
    cluster = context.cluster

    async def action():
        store = cluster.store
        store.order_rollout("v2", duration_ms=DURATION_MS)
        for i in range(9):
            store.write(f"n{i}", versioned_target(f"new{i}", "v2"))
        for entry in cluster.members.values():
            entry.bad_versions = {"v2"} if context.quality == "bad" else frozenset()
        await context.event(cluster)
        if end == "withdrawn":
            await curio.sleep(SETTLE_S + DURATION_MS / 1_000.0)
            assert cluster.phase() is RolloutPhase.TRIAL
        else:
            await cluster.reach(RolloutPhase(end))
        await curio.sleep(SETTLE_S)
        settled_ms = cluster.settled_ms or now_ms()
        await curio.sleep(0.5)
        running = [cluster.members[name] for name in cluster.running]
        versions = {v for entry in running for ms, v in entry.sent if ms > settled_ms}
        expected = {"old": {"v1"}, "new": {"v2"}, "any": {"v1", "v2"}}[version]
        assert versions == expected, versions
        assert all(entry.link.lead is None for entry in running), "the link stays open"

    _run(cluster, action)


@then("without an order no entry is linked to a lead")
def then_no_link(context):
    cluster = context.cluster

    async def action():
        await curio.sleep(1.5)
        events = [e for m in cluster.members.values() for e, _ in m.events]
        assert "lead changed" not in events
        assert all(not m.lead_server.linked_entries for m in cluster.members.values())

    _run(cluster, action)
