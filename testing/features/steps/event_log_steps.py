"""Steps for the event log."""

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
def given_stalled_reader(context):
    _open_log(context)


@given("a log whose reader has closed the pipe")
def given_closed_reader(context):
    _open_log(context)
    os.close(context.reader)


@when("{count} lines of {size} bytes are written")
def when_written(context, count, size):
    text = "x" * int(size.replace(",", ""))
    context.started_ms = now_ms()
    for number in range(int(count.replace(",", ""))):
        # Each line has a kind of its own, so that no rate limit applies.
        context.log.event(f"kind {number}", text=text)
    context.elapsed_ms = now_ms() - context.started_ms


@when("{count} lines of one kind are written at once")
def when_one_kind(context, count):
    for _ in range(int(count.replace(",", ""))):
        context.log.request_event("request", id="r1")


def _read_lines(context):
    os.set_blocking(context.reader, False)
    data = b""
    while True:
        context.log.flush()
        try:
            data += os.read(context.reader, 1_000_000)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]


@then(
    "the writes took less than 2 s, and the next line that fits reports the number of dropped lines"
)
def then_drops_reported(context):
    assert context.elapsed_ms < 2_000, context.elapsed_ms
    written_count = len(_read_lines(context))
    context.log.event("after")
    lines = _read_lines(context)
    assert [line["event"] for line in lines] == ["lines dropped", "after"], lines
    assert written_count + lines[0]["count"] == 5_000, (written_count, lines[0])


@then("at most the burst is written, and the next line reports the number of dropped lines")
def then_rate_limited(context):
    burst = events.REQUEST_LINES_PER_S * events.BURST_S
    lines = _read_lines(context)
    written_count = len(lines)
    assert burst <= written_count <= burst + events.REQUEST_LINES_PER_S, written_count
    time.sleep(2.0 / events.REQUEST_LINES_PER_S)
    context.log.request_event("request", id="r2")
    lines += _read_lines(context)
    assert lines[-1]["id"] == "r2" and "dropped_lines" in lines[-1], lines[-1]
    assert sum(line.get("dropped_lines", 0) for line in lines) == 10_000 - written_count


@then("the lines were dropped without an exception")
def then_dropped_without_exception(context):
    assert context.log.dropped_lines > 0


@given("a log that receives the messages of the event loop")
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


@then("one line gives the error and its location, and no other line was written")
def then_one_line(context):
    # Guards against errors that are written to standard error only, unstructured and without limit.
    lines = _read_lines(context)
    assert len(lines) == 1, lines
    assert "broken invariant" in lines[0]["error"], lines
    assert "event_log_steps.py:" in lines[0]["place"], lines
