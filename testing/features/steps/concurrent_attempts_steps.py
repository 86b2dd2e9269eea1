"""Steps for sends of one request that run at the same time."""

from __future__ import annotations

from math import inf

import curio
from behave import given, then, when

from kingcupusher._gateway.attempt import AttemptOutcome, AttemptResult
from kingcupusher._gateway.concurrent_attempts import ConcurrentAttempts


class TimedSend:
    """A send whose end is known."""

    def __init__(self, duration_ms):
        self.duration_ms = duration_ms
        self.error = None
        self.was_interrupted = False

    async def run(self, *, deadline_ms):
        """Return a success after the time of the send."""
        del deadline_ms
        try:
            await curio.sleep(self.duration_ms / 1000.0)
        except curio.CancelledError:
            self.was_interrupted = True
            raise
        if self.error is not None:
            raise self.error
        return AttemptResult(self, AttemptOutcome.SUCCESS)


@given("sends that end after {first:d} and {second:d} ms")
def given_sends(context, first, second):
    context.sends = [TimedSend(first), TimedSend(second)]
    context.pause_s = 0.0


@given("send 0 fails with an error")
def given_error(context):
    context.sends[0].error = RuntimeError("the send failed")


@when("nobody waits for {pause_ms:d} ms")
def when_paused(context, pause_ms):
    context.pause_s = pause_ms / 1000.0


def _with_attempts(context, action):
    async def main():
        attempts = ConcurrentAttempts()
        for send in context.sends:
            await attempts.start(send, deadline_ms=inf)
        await curio.sleep(context.pause_s)
        return await action(attempts)

    return curio.run(main)


@then("the results come in the order {order}")
def then_order(context, order):
    async def read(attempts):
        return [await attempts.next_result(until_ms=inf) for _ in context.sends]

    results = _with_attempts(context, read)
    names = [str(context.sends.index(result.attempt)) for result in results]
    assert ",".join(names) == order, names


@then("the ready success is that of send 0")
def then_ready(context):
    result = _with_attempts(context, lambda attempts: attempts.take_completed_success())
    assert result.attempt is context.sends[0]


@then("ending the race interrupts send 1")
def then_interrupted(context):
    _with_attempts(context, lambda attempts: attempts.cancel_running())
    assert [send.was_interrupted for send in context.sends] == [False, True]


@then("waiting for a result raises that error")
def then_raises(context):
    async def read(attempts):
        try:
            await attempts.next_result(until_ms=inf)
        except RuntimeError as error:
            return error
        return None

    assert _with_attempts(context, read) is context.sends[0].error
