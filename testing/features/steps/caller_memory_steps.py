"""Steps for what callers make an entry hold."""

from __future__ import annotations

import curio
from behave import given, then, when

from standins.processes import ProcessGroup
from testing.caller_memory.load import DESCRIPTORS, MAX_BODY_BYTES, MEMORY_BYTES, EntryWithCrowd


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
