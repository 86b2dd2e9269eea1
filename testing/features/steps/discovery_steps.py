"""Steps for the catalog."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when
from hypothesis import strategies as st

from kingcupusher._core.address import Address
from kingcupusher._discovery import (
    Catalog,
    Route,
    RoutesPublished,
    RouteTable,
    StoreReturned,
    TargetGone,
    TargetRegistration,
    TargetSeen,
    WeightedService,
    ZoneReturned,
    ZoneTakenOut,
)
from kingcupusher._discovery.weighted_round_robin import WeightedRoundRobin
from testing.gateway.fixture import route_table
from testing.properties import check_property

PREFIXES = st.lists(st.sampled_from("ab"), max_size=4).map(
    lambda parts: "/" + "".join(f"{part}/" for part in parts)
)


def target_record(*, target_id="t0", zone="a", is_draining=False, born_unix_ms=5):
    """Return a registration."""
    return TargetRegistration(
        target_id=target_id,
        service="s",
        address=Address("127.0.0.1", 1),
        zone=zone,
        slots=3,
        is_draining=is_draining,
        cold_left_ms=0.0,
        born_unix_ms=born_unix_ms,
    )


@then("for every order of publications the highest version is in force")
def versions_grow(context):
    def prop(versions):
        catalog = Catalog()
        for seen, version in enumerate(versions, start=1):
            catalog.apply([RoutesPublished(route_table(version=version))], now_ms=0.0)
            assert catalog.route_table.version == max(versions[:seen])

    check_property(context, prop, versions=st.lists(st.integers(1, 9), min_size=1, max_size=8))


@then("what the catalog tells of an order and of a target hides no field of the entry")
def fields_apart(context):
    # Guards against a log line in which the zone of an order stands where that of the entry should.
    told = {}
    catalog = Catalog()
    catalog.listeners.append(told.__setitem__)
    changes = [TargetSeen(target_record()), ZoneTakenOut("b"), ZoneReturned("b"), TargetGone("t0")]
    catalog.apply(changes, now_ms=0.0)
    assert told["zone taken out"] == told["zone returned"] == {"ordered_zone": "b"}, told
    assert not {"time", "event", "entry", "zone"} & {name for f in told.values() for name in f}


@then("for every set of prefixes the route with the longest one that fits is chosen")
def longest_prefix(context):
    def prop(prefixes, path):
        table = route_table()
        model = table.routes[0]
        changed = tuple(_route(model, prefix) for prefix in sorted(prefixes))
        catalog = Catalog()
        catalog.apply([RoutesPublished(_with_routes(table, changed))], now_ms=0.0)
        found = catalog.route_for(b"h.example", path.encode())
        fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
        expected = max(fitting, key=len, default=None)
        assert (found.prefix.decode() if found else None) == expected

    check_property(context, prop, prefixes=st.sets(PREFIXES, max_size=6), path=PREFIXES)


def _route(model, prefix):
    fields = {name: getattr(model, name) for name in model.__struct_fields__}
    return Route(**fields | {"name": prefix, "prefix": prefix.encode()})


def _with_routes(table, changed):
    fields = {name: getattr(table, name) for name in table.__struct_fields__}
    return RouteTable(**fields | {"routes": changed})


@then("for every set of weights each service gets its share within one request")
def weights(context):
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
    context.catalog.apply([RoutesPublished(route_table()), TargetSeen(target_record())], now_ms=0.0)
    context.target = context.catalog.targets["t0"]


NEWS = {
    "that it drains": [TargetSeen(target_record(is_draining=True))],
    "that it is gone": [TargetGone("t0")],
    "that its zone was taken out": [ZoneTakenOut("a")],
    "that its zone was taken out and back": [ZoneTakenOut("a"), ZoneReturned("a")],
    "an older start under its id": [TargetSeen(target_record(born_unix_ms=4))],
    "a restart under its id": [TargetSeen(target_record(born_unix_ms=6))],
    "the same again": [TargetSeen(target_record())],
}


@when("news comes: {news}")
def when_news(context, news):
    context.catalog.apply(NEWS[news], now_ms=1.0)


@when("a whole picture comes without the target and the zones")
def when_whole(context):
    context.catalog.replace([RoutesPublished(route_table())], now_ms=1.0)


@then("its state is {state}")
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


@when("the store returns, and says that the target is gone")
def when_lapsed(context):
    context.catalog.apply([StoreReturned(), TargetGone("t0")], now_ms=100.0)


@then("it is usable for 2.2 s and dropped after that")
def then_lapsed(context):
    context.catalog.remove_lapsed_targets(now_ms=2_299.0)
    assert context.catalog.usable_targets("s") == [context.target]
    context.catalog.remove_lapsed_targets(now_ms=2_301.0)
    assert context.catalog.usable_targets("s") == []


@when("the store returns, says that the target is gone, and then that it is there")
def when_back(context):
    when_lapsed(context)
    context.catalog.apply([TargetSeen(target_record())], now_ms=1_500.0)


@then("it is still the same one after 10 s")
def then_kept(context):
    context.catalog.remove_lapsed_targets(now_ms=10_000.0)
    assert context.catalog.usable_targets("s") == [context.target]


TARGETS = st.builds(
    target_record,
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


@then("for every set of news a catalog that gets the snapshot of another believes the same")
def snapshot_is_whole(context):
    def prop(news, older):
        catalog, other = Catalog(), Catalog()
        catalog.apply(news, now_ms=0.0)
        other.apply(older, now_ms=0.0)
        before = other.route_table.version if other.route_table else 0
        other.replace(catalog.snapshot(), now_ms=0.0)
        own = catalog.route_table.version if catalog.route_table else 0
        assert (other.route_table.version if other.route_table else 0) == max(own, before)
        assert other.zones_out == catalog.zones_out
        assert sorted(other.targets) == sorted(catalog.targets)

    news = st.lists(CHANGES, max_size=12)
    check_property(context, prop, news=news, older=news)
