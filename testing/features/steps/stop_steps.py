"""Steps for the request to end."""

from __future__ import annotations

import os
import signal
import threading

import curio
from behave import given, then, when

from kingcupusher._core.signal_event import SignalEvent

# Ends the scenario when the signal is lost; a request that arrives is noticed at once.
LOST_S = 10.0


def _send():
    os.kill(os.getpid(), signal.SIGUSR1)


async def _send_in_coroutine():
    _send()


async def _send_when_idle():
    threading.Timer(0.1, _send).start()


async def _send_before_wait():
    _send()
    await curio.sleep(0.05)


async def _send_twice():
    _send()
    _send()


MOMENTS = {
    "while a coroutine runs": _send_in_coroutine,
    "while the process is idle": _send_when_idle,
    "before the process waits": _send_before_wait,
    "twice": _send_twice,
}


@given("a process that waits for a request to end")
def given_process(context):
    context.previous = signal.getsignal(signal.SIGUSR1)


@when("the request arrives {moment}")
def when_request(context, moment):
    async def main():
        stop = SignalEvent()
        stop.set_on_signals([signal.SIGUSR1])
        await MOMENTS[moment]()
        async with curio.ignore_after(LOST_S) as timeout:
            await stop.wait()
        return not timeout.expired

    context.noticed = curio.run(main)
    signal.signal(signal.SIGUSR1, context.previous)


@then("the process notices it")
def then_noticed(context):
    assert context.noticed
