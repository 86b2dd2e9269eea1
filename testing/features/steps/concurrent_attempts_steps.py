"""Steps for concurrent attempts of one request."""

from __future__ import annotations

from math import inf

import curio
from behave import given, then, when

from kingcupusher._gateway.attempt import AttemptOutcome, AttemptResult
from kingcupusher._gateway.concurrent_attempts import ConcurrentAttempts
from kingcupusher._gateway.load_probe import ProbedTarget, _ProbeRound


class TimedAttempt:
    """An attempt of known duration."""

    def __init__(self, duration_ms):
        self.duration_ms = duration_ms
        self.error = None
        self.was_cancelled = False

    async def run(self, *, deadline_ms):
        """Return a success after the duration, or raise ``error`` if it is set."""
        del deadline_ms
        try:
            await curio.sleep(self.duration_ms / 1000.0)
        except curio.CancelledError:
            self.was_cancelled = True
            raise
        if self.error is not None:
            raise self.error
        return AttemptResult(self, AttemptOutcome.SUCCESS)


@given("attempts that end after {first:d} and {second:d} ms")
def given_attempts(context, first, second):
    context.attempts = [TimedAttempt(first), TimedAttempt(second)]
    context.pause_s = 0.0


@given("attempt 0 raises an error")
def given_error(context):
    context.attempts[0].error = RuntimeError("the attempt failed")


@when("no task waits for a result for {pause_ms:d} ms")
def when_paused(context, pause_ms):
    context.pause_s = pause_ms / 1000.0


def _with_attempts(context, action):
    async def main():
        attempts = ConcurrentAttempts()
        for attempt in context.attempts:
            await attempts.start(attempt, deadline_ms=inf)
        await curio.sleep(context.pause_s)
        return await action(attempts)

    return curio.run(main)


@then("the results come in the order {order}")
def then_order(context, order):
    async def read(attempts):
        return [await attempts.next_result(until_ms=inf) for _ in context.attempts]

    results = _with_attempts(context, read)
    names = [str(context.attempts.index(result.attempt)) for result in results]
    assert ",".join(names) == order, names


@then("the completed success is that of attempt 0")
def then_ready(context):
    result = _with_attempts(context, lambda attempts: attempts.take_completed_success())
    assert result.attempt is context.attempts[0]


@then("cancelling the running attempts cancels attempt 1")
def then_cancelled(context):
    _with_attempts(context, lambda attempts: attempts.cancel_running())
    assert [attempt.was_cancelled for attempt in context.attempts] == [False, True]


@then("waiting for a result raises that error")
def then_raises(context):
    async def read(attempts):
        try:
            await attempts.next_result(until_ms=inf)
        except RuntimeError as error:
            return error
        return None

    assert _with_attempts(context, read) is context.attempts[0].error


class StubbornAttempt(TimedAttempt):
    """An attempt that needs a moment to end after its cancellation."""

    async def run(self, *, deadline_ms):
        """Wait until cancelled, then for a moment."""
        try:
            return await super().run(deadline_ms=deadline_ms)
        finally:
            async with curio.disable_cancellation():
                await curio.sleep(0.05)


@then(
    "two attempts that end slowly are both cancelled when their request is cancelled during the"
    " first"
)
def then_both_cancelled(context):
    stubborn = [StubbornAttempt(60_000), StubbornAttempt(60_000)]

    async def main():
        attempts = ConcurrentAttempts()
        for attempt in stubborn:
            await attempts.start(attempt, deadline_ms=inf)
        await curio.sleep(0.01)
        request = await curio.spawn(attempts.cancel_running)
        await curio.sleep(0.01)
        await request.cancel()
        await curio.sleep(0.2)
        assert all(attempt.was_cancelled for attempt in stubborn)

    curio.run(main)


class InterruptedRound(_ProbeRound):
    """A probe round that is cancelled in the turn in which a response is queued."""

    async def _collect(self, results, count, deadline_ms):
        await self._results.put(self.probed)
        raise curio.CancelledError


class FakeClient:
    """A client of a target that is also its connection pool."""

    def __init__(self):
        self.pool = self
        self.released = []

    async def release(self, connection, *, reusable):
        """Record that ``connection`` is returned."""
        self.released.append((connection, reusable))


@then("a probe that responds while its round is cancelled returns its connection to the pool")
def then_connection_returned(context):
    client = FakeClient()

    async def main():
        round_ = InterruptedRound(None, None, b"/health", None)
        round_.probed = ProbedTarget(client, "connection", None)
        try:
            await round_.run([], deadline_ms=inf)
        except curio.CancelledError:
            return
        raise AssertionError("the cancellation was lost")

    curio.run(main)
    assert client.released == [("connection", True)], client.released
