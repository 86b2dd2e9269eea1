"""Steps for what callers make an entry hold."""

from __future__ import annotations

import curio
from behave import given, then, when
from hypothesis import strategies as st

from kingcupusher._http.memory_budget import MemoryBudget, MemoryShare
from standins.processes import ProcessGroup
from testing.caller_memory.load import DESCRIPTORS, MAX_BODY_BYTES, MEMORY_BYTES, EntryWithCrowd
from testing.properties import check_property

STEP_BYTES = 1_000
LIMIT_BYTES, SMALL_BYTES, RESERVE_BYTES = 20_000, 2_000, 4_000
EVENTS = st.lists(
    st.tuples(
        st.integers(0, 9), st.sampled_from(["grow", "shrink", "end"]), st.integers(0, 12_000)
    ),
    max_size=60,
)


@given("an entry with lowered limits on memory, bodies and descriptors")
def given_entry(context):
    group = ProcessGroup()
    group.__enter__()
    context.add_cleanup(group.__exit__, None, None, None)
    context.entry = EntryWithCrowd(group)
    curio.run(context.entry.start)


@when("a crowd of callers sends {kind} and stays connected, and an ordinary caller sends a request")
def when_crowd(context, kind):
    context.status = curio.run(context.entry.call_beside_crowd, kind)


@then("the entry still runs")
def then_runs(context):
    assert context.entry.is_running, context.entry.output()


@then("it took no more than its memory and its descriptors")
def then_bounds(context):
    entry = context.entry
    assert entry.peak_bytes <= MEMORY_BYTES, f"{entry.peak_bytes} bytes"
    assert entry.peak_descriptors <= DESCRIPTORS, f"{entry.peak_descriptors} descriptors"


@then("the ordinary caller got status 200")
def then_ordinary(context):
    assert context.status == 200, (context.status, context.entry.output())


@then("a request with a body of the largest legal size gets status 200")
def then_largest(context):
    status = curio.run(context.entry.call, [bytes(MAX_BODY_BYTES)])
    assert status == 200, (status, context.entry.output())


@then("a request with a body in chunks of one byte gets status 200")
def then_tiny(context):
    status = curio.run(context.entry.call_with_tiny_chunks)
    assert status == 200, (status, context.entry.output())


class ModelledRequests:
    """Requests that share a budget, and what each has reserved according to the events."""

    def __init__(self):
        self.budget = MemoryBudget(
            LIMIT_BYTES,
            step_bytes=STEP_BYTES,
            small_bytes=SMALL_BYTES,
            small_reserve_bytes=RESERVE_BYTES,
        )
        self.shares = {}
        self.complete = set()

    def grow(self, key, size_bytes):
        """Let an incomplete request grow to ``size_bytes``; refuse it if that does not fit."""
        if key in self.complete:
            return
        if key not in self.shares:
            self.shares[key] = MemoryShare(self.budget)
            self.shares[key].begin_reading(lambda: self._on_evict(key))
        share = self.shares[key]
        size_bytes = max(size_bytes, share.size_bytes - STEP_BYTES)
        if share.try_grow(size_bytes):
            if share.size_bytes > SMALL_BYTES:
                assert self.budget.used_bytes <= LIMIT_BYTES - RESERVE_BYTES
            return
        needed = _rounded(size_bytes)
        reading = [s.size_bytes for k, s in self.shares.items() if k not in self.complete]
        assert all(size <= needed for size in reading), "a larger incomplete request had to go"
        if needed <= SMALL_BYTES:
            assert self.budget.used_bytes + needed - share.size_bytes > LIMIT_BYTES
        self.end(key)

    def _on_evict(self, key):
        assert key not in self.complete, "a complete request was given up"
        del self.shares[key]

    def shrink(self, key, size_bytes):
        """Complete a request, which then takes at most ``size_bytes``."""
        if key in self.shares and key not in self.complete:
            share = self.shares[key]
            before_bytes = share.size_bytes
            share.complete()
            share.shrink(size_bytes)
            assert share.size_bytes == min(before_bytes, _rounded(size_bytes))
            self.complete.add(key)

    def end(self, key, _size_bytes=0):
        """End a request; a second release must not count."""
        self.complete.discard(key)
        share = self.shares.pop(key, None)
        if share is not None:
            share.release()
            share.release()

    def check(self):
        """Compare the budget with the shares."""
        assert self.budget.used_bytes == sum(s.size_bytes for s in self.shares.values())
        assert 0 <= self.budget.used_bytes <= LIMIT_BYTES


def _rounded(size_bytes):
    return (size_bytes // STEP_BYTES + 1) * STEP_BYTES


@then(
    "generated requests never exceed the budget, and large ones never take the room for small ones"
)
def then_account(context):
    def prop(events):
        model = ModelledRequests()
        for key, event, size_bytes in events:
            getattr(model, event)(key, size_bytes)
            model.check()

    check_property(context, prop, events=EVENTS)
