"""Steps for the log of events."""

from __future__ import annotations

import json
import logging
import os
import time

import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._observe import events
from kingcupusher._observe.events import EventLog
from kingcupusher._observe.runtime_log import log_runtime_messages


def _open_log(context):
    context.reader, writer = os.pipe()
    context.log = EventLog(descriptor=writer, entry="e1")


@given("a log")
def given_log(context):
    _open_log(context)


@given("a log whose reader does not read")
def given_stalled(context):
    _open_log(context)


@given("a log whose reader has gone")
def given_gone(context):
    _open_log(context)
    os.close(context.reader)


@when("{count} lines of {size} bytes are written")
def when_written(context, count, size):
    text = "x" * int(size.replace(",", ""))
    context.started_ms = now_ms()
    for number in range(int(count.replace(",", ""))):
        # Kinds differ, so that the bound per kind leaves all of them.
        context.log.event(f"kind {number}", text=text)
    context.elapsed_ms = now_ms() - context.started_ms


@when("{count} lines of one kind are written at once")
def when_one_kind(context, count):
    for _ in range(int(count.replace(",", ""))):
        context.log.request_event("request", id="r1")


def _lines(context):
    os.set_blocking(context.reader, False)
    data = b""
    while True:
        context.log.flush()
        try:
            data += os.read(context.reader, 1_000_000)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]


@then("that took less than 2 s, and the next line that fits tells how many were dropped")
def then_dropped(context):
    assert context.elapsed_ms < 2_000, context.elapsed_ms
    kept = len(_lines(context))
    context.log.event("after")
    lines = _lines(context)
    assert [line["event"] for line in lines] == ["lines dropped", "after"], lines
    assert kept + lines[0]["count"] == 5_000, (kept, lines[0])


@then("at most the burst is written, and the next line tells how many were left out")
def then_bounded(context):
    burst = events.REQUEST_LINES_PER_S * events.BURST_S
    lines = _lines(context)
    kept = len(lines)
    assert burst <= kept <= burst + events.REQUEST_LINES_PER_S, kept
    time.sleep(2.0 / events.REQUEST_LINES_PER_S)
    context.log.request_event("request", id="r2")
    lines += _lines(context)
    assert lines[-1]["id"] == "r2" and "dropped_lines" in lines[-1], lines[-1]
    assert sum(line.get("dropped_lines", 0) for line in lines) == 10_000 - kept


@then("nothing was raised")
def then_alive(context):
    assert context.log.dropped_lines > 0


@given("a log that takes over the messages of the event loop")
def given_runtime_log(context):
    _open_log(context)
    logger = logging.getLogger("curio")
    before = (logger.handlers, logger.propagate)
    context.add_cleanup(_restore, logger, *before)
    log_runtime_messages(context.log)


def _restore(logger, handlers, propagate):
    logger.handlers, logger.propagate = handlers, propagate
    logging.getLogger("curio.time").setLevel(logging.NOTSET)


@when('a task ends with the error "{text}" and a timer is late')
def when_task_fails(context, text):
    async def fail():
        raise ValueError(text)

    async def main():
        await curio.spawn(fail, daemon=True)
        await curio.sleep(0.01)
        logging.getLogger("curio.time").warning("Operation completed successfully, but late")

    curio.run(main)


@then("one line names the error and its place, and nothing else was written")
def then_one_line(context):
    # Guards against faults that are told on standard error only, without bound or structure.
    lines = _lines(context)
    assert len(lines) == 1, lines
    assert "broken invariant" in lines[0]["error"], lines
    assert "event_log_steps.py:" in lines[0]["place"], lines
