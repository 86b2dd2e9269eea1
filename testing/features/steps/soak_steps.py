"""Steps for the randomized soak."""

from __future__ import annotations

from behave import given, then, when

from testing.soak.callers import Record
from testing.soak.promises import PROMISES, Run, Seen
from testing.soak.run import run

WHAT = b"digest"
ANSWERS = {
    "a success": {"status": 200, "is_own": True},
    "a foreign success": {"status": 200, "is_own": False},
    "a refusal": {"status": 503},
    "nothing in time": {"end": "timeout"},
    "a closed connection": {"end": "closed: reset"},
}
RUNS = {
    "ran it": [WHAT],
    "did not run it": [],
    "ran it changed": [b"other"],
    "ran it twice": [WHAT, WHAT],
    "ran it three times": [WHAT, WHAT, WHAT],
}


@given("a request that {kind} and got {answer}")
def given_request(context, kind, answer):
    is_idempotent = kind == "may repeat"
    fields = {"request_id": b"r1", "entry": "e0", "what": WHAT, "sent_ms": 0.0}
    context.record = Record(is_idempotent=is_idempotent, **fields, **ANSWERS[answer])


@given("targets that {ran}")
def given_runs(context, ran):
    context.runs = [Run(0.0, b"r1", what) for what in RUNS[ran]]


@then('the promise "{promise}" is broken')
def then_broken(context, promise):
    seen = Seen(records=[context.record], runs=context.runs, ended=[], disturbed=[])
    assert PROMISES.get(promise)(seen), seen


@when("the soak runs seed {seed:d} for {seconds:g} s")
def when_run(context, seed, seconds):
    context.report = run(seed, traffic_s=seconds)


@then("all promises are kept and at least half of the requests were served")
def then_kept(context):
    assert not context.report.broken, context.report
    assert context.report.served * 2 >= context.report.requests, context.report
