"""Steps for documents that a rewind of the store made independent."""

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
from testing.config_model import ids_of, service
from testing.properties import check_property

GUARANTEES = Registry("guarantee")
ITEMS = ["service/lookups", "service/postings", "service/exports", "zone/north"]
PUBLICATIONS = st.lists(
    st.tuples(st.sampled_from(ITEMS), st.integers(0, 5), st.integers(0, 50)), max_size=4
)


def extend(document, line, publications):
    """Publish each (item, value, clock) on top of a document."""
    for number, (item, value, at_ms) in enumerate(publications):
        stamp = {"publication_id": f"{line}{number}", "at_ms": at_ms}
        kind, _, name = item.partition("/")
        if kind == "service":
            document = merge_services(document, [service(name, value)], **stamp)
        else:
            document = with_zone_state(document, name, out=value % 2 == 1, **stamp)
    return document


def last_time(document, item):
    times = [(p.at_ms, p.publication_id) for p in document.history if item in p.items]
    return max(times, default=(0, ""))


def changed(document, base):
    known = ids_of(base)
    return {i for p in document.history if p.publication_id not in known for i in p.items}


@given("two lines of publications from a common base, with publisher clocks that differ")
def given_lines(context):
    context.strategies = dict.fromkeys(["first", "left", "right"], PUBLICATIONS)


@then("for all lines")
def then_for_all_lines(context):
    guarantees = [GUARANTEES.get(row["guarantee"]) for row in context.table]

    def prop(first, left, right):
        base = extend(ConfigDocument(), "base", first)
        lines = extend(base, "left", left), extend(base, "right", right)
        for guarantee in guarantees:
            guarantee(base, *lines)

    check_property(context, prop, **context.strategies)


@GUARANTEES.register("the combination contains every publication and has the highest version")
def contains_all(_base, left, right):
    combined = reconcile(left, right).document
    highest = max(left.version, right.version)
    assert ids_of(combined) >= ids_of(left) | ids_of(right)
    assert combined.version >= highest
    assert combined in (left, right) or combined.version > highest


@GUARANTEES.register("it is the same whichever line is in force")
def is_symmetric(_base, left, right):
    assert reconcile(left, right).document == reconcile(right, left).document


@GUARANTEES.register("an item that one line changed has the content of that line")
def keeps_one_sided_changes(base, left, right):
    combined = reconcile(left, right).document
    for item in changed(left, base) - changed(right, base):
        assert item_content(combined, item) == item_content(left, item)


@GUARANTEES.register("an item that both lines changed has the content published later")
def keeps_later_changes(base, left, right):
    combined = reconcile(left, right).document
    for item in changed(left, base) & changed(right, base):
        later = max(left, right, key=lambda document: last_time(document, item))
        assert item_content(combined, item) == item_content(later, item)


@GUARANTEES.register("a peer's document is taken only if it is higher and lacks nothing")
def takes_only_newer(_base, left, right):
    is_newer = right.version > left.version and ids_of(right) >= ids_of(left)
    assert newer_document(left, right) is (right if is_newer else left)


@given('a service "{name}" that one line gave the host "{host}" at {at_ms:d}')
@given('a service "{name}" that the other line gave the host "{host}" at {at_ms:d}')
def given_host(context, name, host, at_ms):
    wanted = service(name, hosts=[host])
    document = merge_services(ConfigDocument(), [wanted], publication_id=name, at_ms=at_ms)
    context.lines = [*getattr(context, "lines", []), document]


@then('only "{name}" has the host after combining')
def then_only_one_has_host(context, name):
    for ours, theirs in (context.lines, context.lines[::-1]):
        services = reconcile(ours, theirs).document.services
        assert [s.name for s in services.values() if "shared.example" in s.hosts] == [name]
        assert len(services) == len(context.lines)
