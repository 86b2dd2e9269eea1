"""Steps for the memory of an entry whose targets send without end."""

from __future__ import annotations

import re

import curio
from behave import given, then, when
from hypothesis import strategies as st

from kingcupusher._http.response_budget import GROWTH_STEP_BYTES, ResponseBudget, ResponseShare
from standins.processes import ProcessGroup
from testing.entry_memory.endless_target import WHOLE
from testing.entry_memory.load import OBJECTIVE_MS, EntryUnderLoad
from testing.properties import check_property

BYTES_PER_MB = 1_000_000
SPEEDS = {"fast": "fast", "slowly": "slow"}


LIMIT_STEPS = 12
EVENTS = st.tuples(
    st.integers(0, 5), st.sampled_from(["grow", "complete", "release"]), st.integers(1, 6)
)


@given("an entry with {memory_mb:d} MB of memory, and {count:d} targets that send {part} {speed:w}")
def given_entry(context, memory_mb, count, part, speed):
    context.memory_mb, context.count = memory_mb, count
    context.part, context.speed = part, SPEEDS[speed]


@when("{callers:d} callers call these targets for {for_s:d} s, and others a sound service")
def when_load(context, callers, for_s):
    async def main(load):
        await load.start(context.part, context.speed)
        await load.run(callers=callers, for_s=for_s, are_reading=context.part != WHOLE)

    with ProcessGroup() as group:
        context.load = EntryUnderLoad(
            group, memory_mb=context.memory_mb, faulty_targets=context.count
        )
        curio.run(main, context.load)
        context.was_running, context.output = context.load.is_running, context.load.entry_output()


@then("the entry still runs, and never took more than its memory")
def then_memory(context):
    assert context.was_running, context.output
    assert context.load.peak_bytes <= context.memory_mb * BYTES_PER_MB, context.load.peak_bytes


@then("its metrics can be read")
def then_metrics(context):
    # Guards against a gauge without a help text, which made the whole page fail.
    for name in ("response_memory_bytes", "requests_quarantined", "connections_closed_total"):
        assert f"kingcupusher_{name}" in context.load.metrics, name
    named = re.findall(r"^# HELP kingcupusher_(\w+) (.*)$", context.load.metrics, re.MULTILINE)
    assert all(text != name for name, text in named), named


@then("all calls of the sound service succeed, nine of ten within its latency objective")
def then_sound_calls(context):
    statuses = [call.status for call in context.load.sound_calls]
    assert set(statuses) == {200}, statuses
    latency_ms = context.load.sound_latency_ms(0.9)
    assert latency_ms <= OBJECTIVE_MS, latency_ms


class ModelledResponses:
    """Responses that share a budget; checks it after each event."""

    def __init__(self):
        self.budget = ResponseBudget(LIMIT_STEPS * GROWTH_STEP_BYTES)
        self.sizes = {}
        self.shares = {}
        self.evicted = []

    def grow(self, key, steps):
        """Let a response grow by ``steps``; it begins if it does not exist."""
        share = self.shares.get(key)
        if share is None:
            share = self.shares[key] = ResponseShare(self.budget)
            share.begin_reading(lambda: self._on_evict(key))
        size = self.sizes.get(key, 0) + steps * GROWTH_STEP_BYTES
        largest = max((s for k, s in self.sizes.items() if k != key), default=0)
        if share.try_grow(size - GROWTH_STEP_BYTES):
            self.sizes[key] = size
        else:
            # A response is refused only if it would be the largest, or others cannot give way.
            assert size >= largest or self.completed
            self.release(key)

    def _on_evict(self, key):
        assert key not in self.completed
        reading = [s for k, s in self.sizes.items() if k not in self.completed]
        assert self.sizes.pop(key) == max(reading)
        del self.shares[key]

    completed = frozenset()

    def complete(self, key, _steps):
        """Complete a response; it keeps its share."""
        if key in self.shares:
            self.shares[key].complete()
            self.completed = self.completed | {key}

    def release(self, key, _steps=0):
        """Release the share of a response."""
        if key in self.shares:
            self.shares.pop(key).release()
            self.sizes.pop(key, None)
            self.completed = self.completed - {key}

    def check(self):
        """Compare the budget with the model."""
        assert self.budget.used_bytes == sum(self.sizes.values())
        assert self.budget.used_bytes <= LIMIT_STEPS * GROWTH_STEP_BYTES


@then("generated responses never exceed the budget, and only the largest is given up")
def then_budget(context):
    def prop(events):
        model = ModelledResponses()
        for key, event, steps in events:
            if event != "grow" or key not in model.completed:
                getattr(model, event)(key, steps)
            model.check()

    check_property(context, prop, events=st.lists(EVENTS, max_size=60))
