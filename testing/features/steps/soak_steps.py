"""Steps for the soak test."""

from __future__ import annotations

from behave import given, then, when

from testing.soak.callers import RequestRecord
from testing.soak.invariants import INVARIANTS, Execution, Observations
from testing.soak.run import run_soak

REQUEST_DIGEST = b"digest"
RESPONSES = {
    "a success": {"status": 200, "is_valid_response": True},
    "a success of another request": {"status": 200, "is_valid_response": False},
    "a rejection": {"status": 503},
    "no response in time": {"failure": "timeout"},
    "a closed connection": {"failure": "closed: reset"},
}
EXECUTED_DIGESTS = {
    "executed it": [REQUEST_DIGEST],
    "did not execute it": [],
    "executed it changed": [b"other"],
    "executed it twice": [REQUEST_DIGEST, REQUEST_DIGEST],
    "executed it three times": [REQUEST_DIGEST, REQUEST_DIGEST, REQUEST_DIGEST],
}


@given("a request that {kind} and got {response}")
def given_request(context, kind, response):
    is_idempotent = kind == "is idempotent"
    fields = {"request_id": b"r1", "entry": "e0", "request_digest": REQUEST_DIGEST, "sent_ms": 0.0}
    context.record = RequestRecord(is_idempotent=is_idempotent, **fields, **RESPONSES[response])


@given("targets that {executed}")
def given_executions(context, executed):
    context.executions = [Execution(0.0, b"r1", digest) for digest in EXECUTED_DIGESTS[executed]]


@then('the invariant "{invariant}" is violated')
def then_violated(context, invariant):
    observations = Observations(
        records=[context.record], executions=context.executions, unexpected_exits=[], disturbed=[]
    )
    assert INVARIANTS.get(invariant)(observations), observations


@when("the soak runs seed {seed:d} for {seconds:g} s")
def when_run(context, seed, seconds):
    context.report = run_soak(seed, traffic_s=seconds)


@then("all invariants hold and at least half of the requests were served")
def then_invariants_hold(context):
    assert not context.report.violations, context.report
    assert context.report.served * 2 >= context.report.requests, context.report
