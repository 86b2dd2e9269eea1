"""Steps for documents whose histories diverged when the store was rewound."""

from __future__ import annotations

from behave import given, then
from hypothesis import strategies as st

from kingcupusher._config import (
    ConfigDocument,
    merge_services,
    newer_document,
    reconcile,
    with_zone_state,
)
from kingcupusher._config.document import item_content
from kingcupusher._core import Registry
from testing.properties import check_property
from testing.publishing_model import publication_ids, service

INVARIANTS = Registry("invariant")
ITEMS = ["service/lookups", "service/postings", "service/exports", "zone/north"]
PUBLICATIONS = st.lists(
    st.tuples(st.sampled_from(ITEMS), st.integers(0, 5), st.integers(0, 50)), max_size=4
)


def publish_all(document, history, publications):
    """Publish each (item, value, clock) in order and return the last document."""
    for number, (item, value, at_ms) in enumerate(publications):
        publication = {"publication_id": f"{history}{number}", "at_ms": at_ms}
        kind, _, name = item.partition("/")
        if kind == "service":
            document = merge_services(document, [service(name, value)], **publication)
        else:
            document = with_zone_state(document, name, out=value % 2 == 1, **publication)
    return document


def last_publication_time(document, item):
    times = [(p.at_ms, p.publication_id) for p in document.history if item in p.items]
    return max(times, default=(0, ""))


def changed_items(document, base):
    base_ids = publication_ids(base)
    return {i for p in document.history if p.publication_id not in base_ids for i in p.items}


@given("two histories of publications from a common base, with publisher clocks that differ")
def given_histories(context):
    context.strategies = dict.fromkeys(["first", "left", "right"], PUBLICATIONS)


@then("these invariants hold for all histories")
def then_invariants_hold(context):
    invariants = [INVARIANTS.get(row["invariant"]) for row in context.table]

    def prop(first, left, right):
        base = publish_all(ConfigDocument(), "base", first)
        histories = publish_all(base, "left", left), publish_all(base, "right", right)
        for invariant in invariants:
            invariant(base, *histories)

    check_property(context, prop, **context.strategies)


@INVARIANTS.register("the merged document contains every publication and has the highest version")
def contains_all(_base, left, right):
    merged = reconcile(left, right).document
    highest = max(left.version, right.version)
    assert publication_ids(merged) >= publication_ids(left) | publication_ids(right)
    assert merged.version >= highest
    assert merged in (left, right) or merged.version > highest


@INVARIANTS.register("the merged document is the same whichever document is in force")
def is_symmetric(_base, left, right):
    assert reconcile(left, right).document == reconcile(right, left).document


@INVARIANTS.register("an item that one history changed has the content of that history")
def keeps_one_sided_changes(base, left, right):
    merged = reconcile(left, right).document
    for item in changed_items(left, base) - changed_items(right, base):
        assert item_content(merged, item) == item_content(left, item)


@INVARIANTS.register("an item that both histories changed has the content published later")
def keeps_later_changes(base, left, right):
    merged = reconcile(left, right).document
    for item in changed_items(left, base) & changed_items(right, base):
        later = max(left, right, key=lambda document: last_publication_time(document, item))
        assert item_content(merged, item) == item_content(later, item)


@INVARIANTS.register("a peer's document is accepted only if it is higher and contains all changes")
def accepts_only_newer(_base, left, right):
    is_newer = right.version > left.version and publication_ids(right) >= publication_ids(left)
    assert newer_document(left, right) is (right if is_newer else left)


@given('a service "{name}" that one history gave the host "{host}" at {at_ms:d}')
@given('a service "{name}" that the other history gave the host "{host}" at {at_ms:d}')
def given_host(context, name, host, at_ms):
    new_service = service(name, hosts=[host])
    document = merge_services(ConfigDocument(), [new_service], publication_id=name, at_ms=at_ms)
    context.histories = [*getattr(context, "histories", []), document]


@then('only "{name}" has the host after merging')
def then_only_one_has_host(context, name):
    for ours, theirs in (context.histories, context.histories[::-1]):
        services = reconcile(ours, theirs).document.services
        assert [s.name for s in services.values() if "shared.example" in s.hosts] == [name]
        assert len(services) == len(context.histories)
