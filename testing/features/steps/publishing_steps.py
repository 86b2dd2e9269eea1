"""Steps for racing publishers: guarantees that hold at the end of every generated race."""

from __future__ import annotations

from behave import given, then, when

from kingcupusher._config import PublishOutcome
from kingcupusher._config.document import item_content
from kingcupusher._core import Registry
from testing.config_model import (
    ATTEMPTS,
    Deliver,
    Fault,
    PublishServices,
    Step,
    World,
    changes,
    ids_of,
    run,
    scripts,
)
from testing.properties import check_property

GUARANTEES = Registry("guarantee")
NOTHING_CHANGED = {PublishOutcome.RACED, PublishOutcome.BUSY, PublishOutcome.UNAVAILABLE}


@given("publishers that race over a store with {kinds}")
def given_race(context, kinds):
    context.strategies = {"wishes": changes(), "script": scripts(kinds.split(", "))}


@then("in every race")
def then_in_every_race(context):
    guarantees = [GUARANTEES.get(row["guarantee"]) for row in context.table]

    def prop(wishes, script):
        world = run(wishes, script)
        for guarantee in guarantees:
            guarantee(world)

    check_property(context, prop, **context.strategies)


def outcome(publisher):
    return PublishOutcome.RACED if publisher.error else publisher.result.outcome


@GUARANTEES.register("entries agree with the store in the end")
def entries_agree(world):
    stored = world.stored()
    assert all(document == stored for document in world.in_force), "an entry differs"
    assert world.witnessed <= ids_of(stored), "the store lacks a change that was in force"


@GUARANTEES.register("no publisher is told anything untrue")
def results_are_true(world):
    recorded = ids_of(world.stored())
    for publisher in world.publishers:
        told = outcome(publisher)
        lost_unseen = world.rewound and publisher.name not in world.witnessed
        if told in NOTHING_CHANGED:
            assert publisher.name not in recorded, f"{told} is untrue"
        if told is PublishOutcome.IN_FORCE:
            assert publisher.name in recorded or lost_unseen, "not in force"
        if told is PublishOutcome.UNKNOWN:
            assert publisher.unresolved, "the outcome was known"


@GUARANTEES.register("no accepted change is replaced except by a later one")
def contents_are_latest(world):
    stored = world.stored()
    recorded = ids_of(stored)
    accepted = [
        (publisher, change.contents())
        for publisher, change in zip(world.publishers, world.changes, strict=True)
        if publisher.name in recorded
    ]
    for item in {item for _, contents in accepted for item in contents}:
        rivals = [(who, contents[item]) for who, contents in accepted if item in contents]
        kept = [who for who, content in rivals if content == item_content(stored, item)]
        assert any(not replaced_later(who, rivals) for who in kept), f"{item} was undone"


def replaced_later(publisher, rivals):
    return any(rival.started_at > publisher.accepted_at for rival, _ in rivals)


@GUARANTEES.register("a publisher whose change is recorded is told so")
def recorded_is_told(world):
    recorded = ids_of(world.stored())
    for publisher in world.publishers:
        if publisher.name in recorded and publisher.reads < ATTEMPTS:
            assert outcome(publisher) is PublishOutcome.IN_FORCE


@GUARANTEES.register("no publisher replaces a service that changed after it looked")
def no_blind_replacement(world):
    order = [entry.publication_id for entry in world.stored().history]
    setters = {}
    for publisher, change in zip(world.publishers, world.changes, strict=True):
        for item in change.contents():
            if publisher.name in order and item.startswith("service/"):
                setters.setdefault(item, []).append(publisher)
    for rivals in setters.values():
        rivals.sort(key=lambda publisher: order.index(publisher.name))
        for earlier, later in zip(rivals, rivals[1:], strict=False):
            assert earlier.name in later.first_seen, "a change was replaced unseen"


@given("one publisher whose calls end as {calls}")
def given_calls(context, calls):
    context.world = World([PublishServices({"lookups": 100})])
    context.world.apply(Step(0))
    for call in calls.split(", "):
        steps = [Step(0), Step(0)] if call == "read" else [Step(0, Fault(call))]
        for step in steps:
            context.world.apply(step)


@when("a delayed write arrives afterwards")
def when_delayed_arrives(context):
    context.world.apply(Deliver())
    context.world.finish()


@then("it is told {told} and its change is {state}")
def then_told(context, told, state):
    publisher = context.world.publishers[0]
    assert outcome(publisher) is PublishOutcome(told), outcome(publisher)
    assert (publisher.name in ids_of(context.world.stored())) is (state == "recorded")
