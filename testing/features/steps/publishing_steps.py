"""Steps for racing publishers, with the invariants that hold at the end of each race."""

from __future__ import annotations

from behave import given, then, when

from kingcupusher._config import PublishOutcome
from kingcupusher._config.document import item_content
from kingcupusher._core import Registry
from testing.properties import check_property
from testing.publishing_model import (
    MAX_ATTEMPTS,
    Deliver,
    Fault,
    PublishingSimulation,
    PublishServices,
    Step,
    changes,
    publication_ids,
    run,
    scripts,
)

INVARIANTS = Registry("invariant")
NOTHING_CHANGED = {PublishOutcome.RACED, PublishOutcome.BUSY, PublishOutcome.UNAVAILABLE}


@given("publishers that race over a store with {kinds}")
def given_race(context, kinds):
    context.strategies = {"drawn_changes": changes(), "script": scripts(kinds.split(", "))}


@then("these invariants hold in every race")
def then_invariants_hold(context):
    invariants = [INVARIANTS.get(row["invariant"]) for row in context.table]

    def prop(drawn_changes, script):
        simulation = run(drawn_changes, script)
        for invariant in invariants:
            invariant(simulation)

    check_property(context, prop, **context.strategies)


def outcome_of(publisher):
    return PublishOutcome.RACED if publisher.error else publisher.result.outcome


@INVARIANTS.register("all entries end with the stored document")
def entries_agree(simulation):
    stored = simulation.stored()
    assert all(document == stored for document in simulation.in_force), "an entry differs"
    assert simulation.ids_seen_in_force <= publication_ids(
        stored
    ), "the store lacks a change that was in force"


@INVARIANTS.register("no publisher gets a wrong outcome")
def outcomes_are_correct(simulation):
    recorded = publication_ids(simulation.stored())
    for publisher in simulation.publishers:
        reported = outcome_of(publisher)
        may_be_lost = simulation.rewound and publisher.name not in simulation.ids_seen_in_force
        if reported in NOTHING_CHANGED:
            assert publisher.name not in recorded, f"{reported} is wrong"
        if reported is PublishOutcome.IN_FORCE:
            assert publisher.name in recorded or may_be_lost, "not in force"
        if reported is PublishOutcome.UNKNOWN:
            assert publisher.has_unknown_write, "the outcome was certain"


@INVARIANTS.register("an accepted change is replaced only by a later one")
def contents_are_latest(simulation):
    stored = simulation.stored()
    recorded = publication_ids(stored)
    accepted = [
        (publisher, change.contents())
        for publisher, change in zip(simulation.publishers, simulation.changes, strict=True)
        if publisher.name in recorded
    ]
    for item in {item for _, contents in accepted for item in contents}:
        competing = [
            (publisher, contents[item]) for publisher, contents in accepted if item in contents
        ]
        publishers_stored = [
            publisher for publisher, content in competing if content == item_content(stored, item)
        ]
        assert any(
            not replaced_later(publisher, competing) for publisher in publishers_stored
        ), f"a change of {item} was lost"


def replaced_later(publisher, competing):
    return any(competitor.started_at > publisher.accepted_at for competitor, _ in competing)


@INVARIANTS.register("a publisher whose change is recorded gets the outcome in-force")
def recorded_is_in_force(simulation):
    recorded = publication_ids(simulation.stored())
    for publisher in simulation.publishers:
        if publisher.name in recorded and publisher.read_count < MAX_ATTEMPTS:
            assert outcome_of(publisher) is PublishOutcome.IN_FORCE


@INVARIANTS.register("no publisher replaces a service that changed after its first read")
def no_blind_replacement(simulation):
    order = [publication.publication_id for publication in simulation.stored().history]
    setters = {}
    for publisher, change in zip(simulation.publishers, simulation.changes, strict=True):
        for item in change.contents():
            if publisher.name in order and item.startswith("service/"):
                setters.setdefault(item, []).append(publisher)
    for competing in setters.values():
        competing.sort(key=lambda publisher: order.index(publisher.name))
        for earlier, later in zip(competing, competing[1:], strict=False):
            assert (
                earlier.name in later.ids_at_first_read
            ), "a change was replaced that the publisher had not read"


@given("one publisher whose calls end as {calls}")
def given_calls(context, calls):
    context.simulation = PublishingSimulation([PublishServices({"lookups": 100})])
    context.simulation.apply(Step(0))
    for call in calls.split(", "):
        steps = [Step(0), Step(0)] if call == "read" else [Step(0, Fault(call))]
        for step in steps:
            context.simulation.apply(step)


@when("a delayed write arrives afterwards")
def when_delayed_arrives(context):
    context.simulation.apply(Deliver())
    context.simulation.finish()


@then("the publisher gets the outcome {expected} and its change is {state}")
def then_outcome(context, expected, state):
    publisher = context.simulation.publishers[0]
    assert outcome_of(publisher) is PublishOutcome(expected), outcome_of(publisher)
    assert (publisher.name in publication_ids(context.simulation.stored())) is (state == "recorded")
