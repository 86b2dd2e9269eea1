"""Steps for requests that end the targets that run them."""

from __future__ import annotations

import curio
from behave import then, when

from testing.gateway.fixture import GatewayFixture


@when("a caller sends it the same {name:w} {count:d} times")
def when_same_request(context, name, count):
    async def main():
        async with GatewayFixture(context.behaviours, **context.options) as fixture:
            context.fixture = fixture
            context.responses = [await fixture.call(name, f"r{i}") for i in range(count)]

    curio.run(main)


@then(
    "targets have run it {runs:d} times, and the last caller got status {status:d} with a"
    " Retry-After header"
)
def then_refused(context, runs, status):
    executed = [len(target.executed) for target in context.fixture.targets]
    assert sum(executed) == runs, executed
    last_status, headers, _ = context.responses[-1]
    assert last_status == status and b"retry-after" in headers, context.responses[-1]
