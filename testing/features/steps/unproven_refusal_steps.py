"""Steps for refusals without the target's statement that it has not run the request."""

from __future__ import annotations

import json
from types import SimpleNamespace

from behave import then, when

from kingcupusher._gateway.attempt import AttemptOutcome, AttemptResult
from kingcupusher._gateway.error_responses import NO_TARGET
from kingcupusher._gateway.request_outcome import RequestOutcome
from kingcupusher._http.buffered import BufferedResponse
from kingcupusher_platform.headers import PlatformHeaderCodec

SIGNATURE = (b"x-kingcupusher-server-signature", b"3e1b")
NOT_RUN = (b"x-kingcupusher-not-executed", b"1")


@then("the log has the outcome {outcome} of the attempt")
def then_logged(context, outcome):
    lines = [json.loads(line) for line in context.fixture.log_text().splitlines()]
    (line,) = [line for line in lines if line["event"] == "send"]
    assert line["outcome"] == outcome and "status 503" in line["reason"], line


@when("the attempts of a request end as {outcomes}")
def when_attempts_end(context, outcomes):
    context.outcome = RequestOutcome()
    for number, name in enumerate(outcomes.split(",")):
        target = SimpleNamespace(target_id=f"t{number}")
        attempt = SimpleNamespace(probed=SimpleNamespace(target=target))
        outcome = AttemptOutcome(name)
        is_failure = outcome is AttemptOutcome.FAILURE
        response = BufferedResponse(500, b"", [SIGNATURE], b"") if is_failure else None
        context.outcome.on_send(target.target_id)
        context.outcome.on_result(AttemptResult(attempt, outcome, response))


@then("its caller gets {status}, and {at_deadline:d} if the time ends then")
def then_caller_gets(context, status, at_deadline):
    response = context.outcome.response_without_success(NO_TARGET)
    if status == "the refusal":
        assert response is NO_TARGET, response
    else:
        assert response.status == int(status), response
    assert context.outcome.response_at_deadline().status == at_deadline


@then("the header that states it is dropped from a response of the target")
def then_header_dropped(context):
    # Guards against a request that is repeated because of a header that contradicts the status.
    del context
    for status in (200, 404, 500):
        response = BufferedResponse(status, b"", [SIGNATURE, NOT_RUN], b"")
        assert PlatformHeaderCodec().response_headers(response) == [SIGNATURE]
