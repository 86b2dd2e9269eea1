"""Hypothesis properties of the membership: no entry sends a request that it must not send.

``--define seed=N`` generates other histories, and ten times as many.
"""

from __future__ import annotations

from behave import given, then
from hypothesis import HealthCheck, seed, settings
from hypothesis import given as given_examples
from hypothesis import strategies as st

from testing.membership_fleet import World

WARM_UP_MS = 9_000
TAIL_MS = 12_000
LINK_FAULTS = (
    World.cut_peers,
    World.slow_peers,
    World.isolate,
    World.heal_peers,
    World.freeze,
    World.resume,
)
STORE_FAULTS = (
    World.cut_store,
    World.cut_most,
    World.partition,
    World.take_over_during_outage,
    World.heal_store,
    World.stop_store,
    World.start_store,
)
TARGET_FAULTS = (
    World.restart_target,
    World.turn_target_cold,
    World.turn_cold_during_cut,
    World.restart_during_freeze,
)
ORDERS = (World.drain_target, World.drain_detected_by_one, World.toggle_zone)
LOSSES = (World.kill, World.replace, World.toggle_duplicates)
WORLDS = st.fixed_dictionaries(
    {
        "seed": st.integers(0, 1_000),
        "lag_ms": st.sampled_from([0, 300, 900]),
        "toggle_probability": st.sampled_from([0.01, 0.08]),
        "probes_per_s": st.sampled_from([0.1, 2.0]),
    }
)
SHORT_MS = (0, 40, 300, 700)
LONG_MS = (1_600, 2_600, 5_000, 9_000)

FAULTS = {
    "cold starts": LINK_FAULTS + TARGET_FAULTS * 3,
    "handovers": LINK_FAULTS + STORE_FAULTS + LOSSES,
    "orders": LINK_FAULTS + STORE_FAULTS + ORDERS * 3,
    "all faults": LINK_FAULTS + STORE_FAULTS + TARGET_FAULTS * 3 + ORDERS + LOSSES,
}
GAPS_MS = {
    "cold starts": SHORT_MS * 3 + LONG_MS,
    "handovers": SHORT_MS + LONG_MS * 2,
    "orders": SHORT_MS + LONG_MS,
    "all faults": SHORT_MS + LONG_MS,
}


@st.composite
def histories(draw, focus):
    """Generate pauses, each followed by an event at an entry and a target."""
    step = st.tuples(
        st.sampled_from(GAPS_MS[focus]),
        st.sampled_from(FAULTS[focus]),
        st.integers(0, 4),
        st.integers(0, 2),
    )
    return draw(st.lists(step, min_size=1, max_size=16))


def checked(context, examples):
    """Return a decorator for repeatable examples, or for more examples from a given seed."""
    chosen = context.config.userdata.get("seed")
    rules = settings(
        derandomize=chosen is None,
        deadline=None,
        max_examples=examples if chosen is None else examples * 10,
        database=None,
        suppress_health_check=list(HealthCheck),
    )

    def decorate(check):
        return rules(check if chosen is None else seed(int(chosen))(check))

    return decorate


@given("entries and targets with a simulated network, key-value service and VM list")
def given_world(context):
    context.world = World


@then("no requirement is violated in {examples:d} histories of {focus} with {entries:d} entries")
def then_no_requirement_is_violated(context, examples, focus, entries):
    @checked(context, examples)
    @given_examples(histories(focus), WORLDS)
    def check(history, options):
        world = context.world(entries=entries, **options)
        world.run(WARM_UP_MS)
        for gap_ms, event, a, b in history:
            world.run(gap_ms)
            event(world, a, b)
        world.run(TAIL_MS)

    check()


@then("for an hour without the key-value service every entry sends to every open target")
def then_outage_does_not_stop_traffic(context):
    world = context.world(entries=3, seed=1, toggle_probability=0)
    world.run(WARM_UP_MS)
    world.stop_store(0, 0)
    for second in range(3_600):
        before = dict(world.sent)
        world.run(1_000)
        unused = [key for key in before if world.sent[key] == before[key]]
        assert not unused, f"{unused} unused in second {second} of the outage"
