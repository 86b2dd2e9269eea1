"""Steps for the catalog of routes and targets."""

from __future__ import annotations

from collections import Counter
from random import Random

from behave import given, then, when
from hypothesis import strategies as st

from kingcupusher._discovery import (
    Catalog,
    Route,
    RoutesPublished,
    RouteTable,
    StoreReturned,
    TargetGone,
    TargetSeen,
    WeightedService,
    ZoneReturned,
    ZoneTakenOut,
)
from kingcupusher._discovery.weighted_round_robin import WeightedRoundRobin
from testing.gateway.fixture import plain_registration, route_table
from testing.properties import check_property

PREFIXES = st.lists(st.sampled_from("ab"), max_size=4).map(
    lambda parts: "/" + "".join(f"{part}/" for part in parts)
)


@then("for every order of publications the highest version is in force")
def versions_never_decrease(context):
    def prop(versions):
        catalog = Catalog()
        for seen, version in enumerate(versions, start=1):
            catalog.apply([RoutesPublished(route_table(version=version))], now_ms=0.0)
            assert catalog.route_table.version == max(versions[:seen])

    check_property(context, prop, versions=st.lists(st.integers(1, 9), min_size=1, max_size=8))


@then("events on a zone order and on a target use no field name of the entry")
def events_use_own_fields(context):
    # Guards against log lines that contain the zone of an order instead of the zone of the entry.
    events = {}
    catalog = Catalog()
    catalog.listeners.append(events.__setitem__)
    changes = [
        TargetSeen(plain_registration()),
        ZoneTakenOut("b"),
        ZoneReturned("b"),
        TargetGone("t0"),
    ]
    catalog.apply(changes, now_ms=0.0)
    assert events["zone taken out"] == events["zone returned"] == {"ordered_zone": "b"}, events
    assert not {"time", "event", "entry", "zone"} & {name for f in events.values() for name in f}


@then("for every set of prefixes the route with the longest matching one is chosen")
def longest_prefix(context):
    def prop(prefixes, path):
        table = route_table()
        template = table.routes[0]
        changed = tuple(_route(template, prefix) for prefix in sorted(prefixes))
        catalog = Catalog()
        catalog.apply([RoutesPublished(_with_routes(table, changed))], now_ms=0.0)
        found = catalog.route_for(b"h.example", path.encode())
        matching = [prefix for prefix in prefixes if path.startswith(prefix)]
        expected = max(matching, key=len, default=None)
        assert (found.prefix.decode() if found else None) == expected

    check_property(context, prop, prefixes=st.sets(PREFIXES, max_size=6), path=PREFIXES)


def _route(template, prefix):
    fields = {name: getattr(template, name) for name in template.__struct_fields__}
    return Route(**fields | {"name": prefix, "prefix": prefix.encode()})


def _with_routes(table, changed):
    fields = {name: getattr(table, name) for name in table.__struct_fields__}
    return RouteTable(**fields | {"routes": changed})


@then("for every set of weights each service is off its share by at most the number of services")
def requests_follow_weights(context):
    def prop(parts, rounds):
        turn = WeightedRoundRobin(
            [WeightedService(f"s{i}", weight) for i, weight in enumerate(parts)]
        )
        total = sum(parts)
        counts = Counter(turn.next_service() for _ in range(rounds))
        for index, weight in enumerate(parts):
            share = rounds * weight / total
            assert abs(counts[f"s{index}"] - share) <= len(parts)

    weight = st.integers(1, 100)
    check_property(
        context, prop, parts=st.lists(weight, min_size=1, max_size=4), rounds=st.integers(0, 300)
    )


@given("a catalog with one target")
def given_catalog(context):
    context.catalog = Catalog()
    context.catalog.apply(
        [RoutesPublished(route_table()), TargetSeen(plain_registration())], now_ms=0.0
    )
    context.target = context.catalog.targets["t0"]


CHANGES_BY_TEXT = {
    "the target drains": [TargetSeen(plain_registration(is_draining=True))],
    "its registration is removed": [TargetGone("t0")],
    "its zone is taken out": [ZoneTakenOut("a")],
    "its zone is taken out and brought back": [ZoneTakenOut("a"), ZoneReturned("a")],
    "an older process registers under its id": [TargetSeen(plain_registration(born_unix_ms=4))],
    "a newer process registers under its id": [TargetSeen(plain_registration(born_unix_ms=6))],
    "the same registration again": [TargetSeen(plain_registration())],
}


@when("a change is applied: {change}")
def when_change(context, change):
    context.catalog.apply(CHANGES_BY_TEXT[change], now_ms=1.0)


@when("a full snapshot without the target and the zones is applied")
def when_snapshot(context):
    context.catalog.replace([RoutesPublished(route_table())], now_ms=1.0)


@then("the catalog lists the target as {state}")
def then_state(context, state):
    usable = context.catalog.usable_targets("s")
    if state == "not usable":
        assert usable == [] and not context.catalog.may_send(context.target)
    elif state == "replaced":
        assert len(usable) == 1 and usable[0] is not context.target
        assert not context.catalog.may_send(context.target)
    elif state == "usable":
        assert usable == [context.target] and context.catalog.may_send(context.target)
    else:
        raise AssertionError(state)


@when("the store returns and reports that the registration is gone")
def when_lapsed(context):
    context.catalog.apply([StoreReturned(), TargetGone("t0")], now_ms=100.0)


@then("the target is usable for 2.2 s and removed after that")
def then_lapsed(context):
    context.catalog.remove_lapsed_targets(now_ms=2_299.0)
    assert context.catalog.usable_targets("s") == [context.target]
    context.catalog.remove_lapsed_targets(now_ms=2_301.0)
    assert context.catalog.usable_targets("s") == []


@when("the store returns, reports that the registration is gone, and then a renewed one")
def when_renewed(context):
    when_lapsed(context)
    context.catalog.apply([TargetSeen(plain_registration())], now_ms=1_500.0)


@then("the target is still the same one after 10 s")
def then_kept(context):
    context.catalog.remove_lapsed_targets(now_ms=10_000.0)
    assert context.catalog.usable_targets("s") == [context.target]


TARGETS = st.builds(
    plain_registration,
    target_id=st.sampled_from(["t0", "t1", "t2"]),
    zone=st.sampled_from("ab"),
    is_draining=st.booleans(),
    born_unix_ms=st.integers(1, 3),
)
CHANGES = st.one_of(
    st.builds(TargetSeen, TARGETS),
    st.builds(TargetGone, st.sampled_from(["t0", "t1", "t2"])),
    st.builds(ZoneTakenOut, st.sampled_from("ab")),
    st.builds(ZoneReturned, st.sampled_from("ab")),
    st.builds(lambda version: RoutesPublished(route_table(version=version)), st.integers(1, 5)),
)


@then("for every set of changes a catalog that gets the snapshot of another has the same state")
def snapshot_restores_state(context):
    def prop(changes, older):
        catalog, other = Catalog(), Catalog()
        catalog.apply(changes, now_ms=0.0)
        other.apply(older, now_ms=0.0)
        before = other.route_table.version if other.route_table else 0
        other.replace(catalog.snapshot(), now_ms=0.0)
        own = catalog.route_table.version if catalog.route_table else 0
        assert (other.route_table.version if other.route_table else 0) == max(own, before)
        assert other.zones_out == catalog.zones_out
        assert sorted(other.targets) == sorted(catalog.targets)

    changes = st.lists(CHANGES, max_size=12)
    check_property(context, prop, changes=changes, older=changes)


@when(
    "{entries:d} entries that have just learned a split with the weights {weights} get"
    " {requests:d} requests each"
)
def when_split_learned(context, entries, weights, requests):
    parts = [WeightedService(f"s{i}", float(w)) for i, w in enumerate(weights.split(", "))]
    context.parts, context.counts = parts, Counter()
    rng = Random(1)
    for _ in range(entries):
        round_robin = WeightedRoundRobin(parts, rng=rng)
        context.counts.update(round_robin.next_service() for _ in range(requests))


@then("each service gets its weight of all requests, within {bound:g}")
def then_fleet_follows_weights(context, bound):
    # Guards against entries that all begin a split with the same service.
    total = context.counts.total()
    for part in context.parts:
        share = context.counts[part.service] / total
        assert abs(share - part.weight) <= bound, (part, share)
