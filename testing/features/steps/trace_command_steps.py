"""Steps for the trace command."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

from behave import given, then, when
from typer.testing import CliRunner

from kingcupusher._cli.main import app

LOGS = {
    "e1.log": [
        {"time": 10.0, "event": "target removed", "entry": "e1", "target": "t1"},
        {"time": 10.1, "event": "target removed", "entry": "e1", "target": "t9"},
        {"time": 10.5, "event": "choice", "entry": "e1", "id": "r1", "target": "t1"},
        {"time": 10.6, "event": "choice", "entry": "e1", "id": "r2", "target": "t2"},
        {"time": 10.8, "event": "request", "entry": "e1", "id": "r1", "status": 502},
    ],
    "e2.log": [
        {"time": 10.7, "event": "send", "entry": "e1", "id": "r1", "target": "t1"},
        {"time": 10.2, "event": "target removed", "entry": "e2", "target": "t1"},
    ],
}


@given("the logs of two entries with two requests and a target that was removed")
def given_logs(context):
    context.log_directory = Path(tempfile.mkdtemp())
    for name, lines in LOGS.items():
        text = "".join(f"  1.0 node {json.dumps(line)}\n" for line in lines)
        (context.log_directory / name).write_text(text + "not a log line\n", encoding="utf-8")


def _trace(context, request_id, *names):
    files = [str(context.log_directory / name) for name in names]
    context.result = CliRunner().invoke(app, ["trace", request_id, *files])


@when("the first request is traced")
def when_traced(context):
    _trace(context, "r1", *LOGS)


@when("an unknown request is traced")
def when_unknown(context):
    _trace(context, "no-such-id", *LOGS)


@when("a missing file is traced")
def when_missing(context):
    _trace(context, "r1", "none.log")


@then(
    "the choice, send and end of the request are printed in order, after the removal of its target"
)
def then_request_lines(context):
    assert context.result.exit_code == 0, context.result.output
    events = [line[2:].split()[2].rstrip(":") for line in context.result.output.splitlines()]
    assert events == ["target", "choice", "send", "request"], context.result.output


@then("no lines of the other request or of the other entry's targets are printed")
def then_no_other_lines(context):
    assert "t2" not in context.result.output and "t9" not in context.result.output
    assert " e2 " not in context.result.output


@then("the command exits with code {code:d} and names {named}")
def then_fails(context, code, named):
    assert context.result.exit_code == code, context.result.output
    assert named in context.result.output, context.result.output
