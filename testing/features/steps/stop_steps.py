"""Steps for the stop signal."""

from __future__ import annotations

import os
import signal
import threading

import curio
from behave import given, then, when

from kingcupusher._core.signal_event import SignalEvent

# Ends the scenario when the signal is lost; a signal that arrives is received at once.
SIGNAL_TIMEOUT_S = 10.0


def _send_signal():
    os.kill(os.getpid(), signal.SIGUSR1)


async def _send_in_coroutine():
    _send_signal()


async def _send_when_idle():
    threading.Timer(0.1, _send_signal).start()


async def _send_before_wait():
    _send_signal()
    await curio.sleep(0.05)


async def _send_twice():
    _send_signal()
    _send_signal()


MOMENTS = {
    "while a coroutine runs": _send_in_coroutine,
    "while the process is idle": _send_when_idle,
    "before the process waits": _send_before_wait,
    "twice": _send_twice,
}


@given("a process that handles a stop signal")
def given_process(context):
    context.previous = signal.getsignal(signal.SIGUSR1)


@when("the signal arrives {moment}")
def when_signal(context, moment):
    async def main():
        stop = SignalEvent()
        stop.set_on_signals([signal.SIGUSR1])
        await MOMENTS[moment]()
        async with curio.ignore_after(SIGNAL_TIMEOUT_S) as timeout:
            await stop.wait()
        return not timeout.expired

    context.is_received = curio.run(main)
    signal.signal(signal.SIGUSR1, context.previous)


@then("the process receives it")
def then_received(context):
    assert context.is_received
