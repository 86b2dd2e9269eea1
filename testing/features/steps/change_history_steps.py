"""Steps for the recent changes that an entry keeps for others."""

from __future__ import annotations

import gc
import time
import tracemalloc

import curio
from behave import given, then, when
from hypothesis import strategies as st

from kingcupusher._core.address import Address
from kingcupusher._discovery import (
    Catalog,
    ReaderGone,
    ReaderSeen,
    RoutesPublished,
    StoreFollower,
    StorePosition,
    StoreReturned,
    TargetGone,
    TargetSeen,
    Update,
    ZoneReturned,
    ZoneTakenOut,
)
from kingcupusher._discovery.change_history import ChangeHistory
from testing.gateway.fixture import many_routes, plain_registration, route_table
from testing.properties import check_property

BEGIN = StorePosition(1, 1)
LONG_TEXT_CHARS = 500
TARGET = plain_registration("t0")


def _configuration(number):
    return [RoutesPublished(many_routes(800, version=number + 2))]


def _registrations(number):
    zone = f"{number} ".ljust(LONG_TEXT_CHARS, "x")
    return [TargetSeen(plain_registration(f"t{i}", zone=zone)) for i in range(100)]


CHANGES_BY_KIND = {
    "a configuration of 800 routes": _configuration,
    "100 registrations with long texts": _registrations,
    "a configuration and 100 registrations": lambda n: _configuration(n) + _registrations(n),
}


def _follower(catalog=None):
    return StoreFollower(
        None,
        catalog or Catalog(),
        is_reader=lambda: False,
        on_event=lambda *_args, **_fields: None,
    )


def _apply(follower, update):
    curio.run(follower.on_update, update)


@given("an entry that gets {count:d} changes of {kind}")
def given_changes(context, count, kind):
    context.follower = _follower()
    context.count = count
    _apply(context.follower, Update([RoutesPublished(route_table())], BEGIN, is_full=True))
    changes_of = CHANGES_BY_KIND[kind]

    def apply(number):
        position = StorePosition(1, number + 2)
        _apply(context.follower, Update(changes_of(number), position, is_full=False))

    apply(0)
    gc.collect()
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        for number in range(1, count):
            apply(number)
        gc.collect()
        after_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    context.grown_bytes = after_bytes - before_bytes


@then("they take at most {limit_mb:d} MB of memory")
def then_limited(context, limit_mb):
    assert context.grown_bytes <= limit_mb * 1_000_000, context.grown_bytes


@then(
    "an entry that has all but the last {lacking:d} changes gets one configuration, the newest, and"
    " is up to date"
)
def then_newest_configuration(context, lacking):
    follower = context.follower
    position = StorePosition(1, follower.position.revision - lacking)
    update = follower.update_after(position)
    assert not update.is_full and update.position == follower.position, update.position
    (published,) = update.changes
    assert published.table.version == context.count + 1, published.table.version


@then("an entry without any state gets a full snapshot and is up to date")
def then_snapshot(context):
    update = context.follower.update_after(None)
    assert update.is_full and update.position == context.follower.position
    (published,) = update.changes
    assert published.table.version == context.count + 1, published.table.version


@given(
    "an entry that learned from a reader of the end of an outage, and of a removal {left_ms:g} ms"
    " before its time ended"
)
def given_end_of_outage(context, left_ms):
    context.lagging_catalog = Catalog()
    context.follower, context.lagging = _follower(), _follower(context.lagging_catalog)
    first = Update([RoutesPublished(route_table()), TargetSeen(TARGET)], BEGIN, is_full=True)
    for follower in (context.follower, context.lagging):
        _apply(follower, first)
    context.left_ms = left_ms
    changes = [StoreReturned(left_ms), TargetGone(TARGET.target_id)]
    _apply(context.follower, Update(changes, StorePosition(1, 2), is_full=False))


@when("the time for renewals has ended")
def when_time_ended(context):
    time.sleep(context.left_ms / 1_000.0)


@then("an entry that lacks the removal drops the target at once")
def then_dropped(context):
    # Guards against entries that keep a target which left since they hear of an old outage.
    _apply(context.lagging, context.follower.update_after(BEGIN))
    assert not context.lagging_catalog.targets


TARGET_IDS = st.sampled_from(["t0", "t1", "t2"])
CHANGES = st.one_of(
    st.builds(
        lambda target_id, born_unix_ms: TargetSeen(
            plain_registration(target_id, born_unix_ms=born_unix_ms)
        ),
        TARGET_IDS,
        st.integers(1, 3),
    ),
    st.builds(TargetGone, TARGET_IDS),
    st.builds(ZoneTakenOut, st.sampled_from("ab")),
    st.builds(ZoneReturned, st.sampled_from("ab")),
    st.builds(lambda s: ReaderSeen(s, f"e{s}", "a", Address("127.0.0.1", 1)), st.integers(0, 2)),
    st.builds(ReaderGone, st.integers(0, 2)),
    st.builds(lambda version: RoutesPublished(route_table(version=version)), st.integers(1, 6)),
)
BATCHES = st.lists(st.lists(CHANGES, max_size=4), max_size=10)


def _state(catalog):
    targets = {target_id: target.record for target_id, target in catalog.targets.items()}
    return catalog.route_table, targets, catalog.zones_out, catalog.readers


@then(
    "for every series of changes, limit and position an entry that lags behind reaches the same"
    " state"
)
def then_same_state(context):
    # Guards against a lagging entry that misses a change which the history has dropped.
    def prop(batches, max_bytes, lag):
        history = ChangeHistory(BEGIN, max_bytes=max_bytes)
        current, lagging = Catalog(), Catalog()
        has = max(0, len(batches) - lag)
        for number, changes in enumerate(batches):
            position = StorePosition(1, number + 2)
            history.append(changes, position)
            current.apply(changes, now_ms=0.0)
            if number < has:
                lagging.apply(changes, now_ms=0.0)
        assert history.size_bytes <= max_bytes
        missing = history.after(StorePosition(1, has + 1))
        if missing is None:
            lagging.replace(current.snapshot(), now_ms=0.0)
        else:
            lagging.apply(missing, now_ms=0.0)
        assert _state(lagging) == _state(current)

    check_property(
        context, prop, batches=BATCHES, max_bytes=st.integers(0, 4_000), lag=st.integers(0, 10)
    )
