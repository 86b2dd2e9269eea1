"""Steps for the handling of child processes."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from pathlib import Path

import curio
from behave import given, then, when

from kingcupusher._core import Registry
from standins.load.outcome import Outcome
from standins.load.plan import PlannedRequest
from standins.load.runner import Runner, RunSettings
from standins.ports import first_connection_port, free_address
from standins.processes import ProcessError, ProcessGroup

TARGET_STATES: Registry = Registry("target state")
POLL_INTERVAL_S = 0.02


def _open_group(context):
    context.group = ProcessGroup().__enter__()
    context.add_cleanup(context.group.__exit__, None, None, None)


def _start_target(context, *options):
    group = context.group
    context.address, context.control = group.addresses.allocate(), group.addresses.allocate()
    address_options = ("--address", str(context.address), "--control", str(context.control))
    context.process = group.start_module("target", "standins.target", *address_options, *options)


def _planned(work_ms):
    return PlannedRequest("a-1", 0.0, work_ms, True, 100, b"")


def _run_settings(context):
    return RunSettings(entries=[context.address], host="a.example", timeout_ms=60_000.0)


@TARGET_STATES.register("serves")
def _serves(_context):
    return


@TARGET_STATES.register("is stopped by SIGSTOP")
def _is_stopped(context):
    context.process.send_signal(signal.SIGSTOP)


@TARGET_STATES.register("has a request of 60 s in flight")
def _has_request_in_flight(context):
    async def send():
        runner = Runner(_run_settings(context))
        context.pending = await curio.spawn(runner.run, [_planned(60_000.0)], daemon=True)
        await curio.sleep(0.3)

    context.kernel = curio.Kernel()
    context.add_cleanup(context.kernel.run, shutdown=True)
    context.kernel.run(send)


@TARGET_STATES.register("has exited already")
def _has_exited(context):
    context.process.send_signal(signal.SIGTERM)
    context.process.wait(timeout_s=5.0)


@given("a process group")
def given_group(context):
    _open_group(context)


@given("a process group with a target that {state}")
def given_group_with_target(context, state):
    _open_group(context)
    _start_target(context, "--start-warm")
    context.process.wait_until_listening(context.control)
    TARGET_STATES.get(state)(context)


@when("the process group is left")
def when_left(context):
    context.started_s = time.monotonic()
    context.group.__exit__(None, None, None)


@then("the process has exited within {limit_s:g} s")
def then_exited(context, limit_s):
    deadline_s = time.monotonic() + limit_s
    while context.process.is_running() and time.monotonic() < deadline_s:
        time.sleep(POLL_INTERVAL_S)
    assert not context.process.is_running()


@when("a request of {work_ms:g} ms is in flight and the target gets SIGTERM")
def when_target_terminated(context, work_ms):
    async def send():
        task = await curio.spawn(Runner(_run_settings(context)).run, [_planned(work_ms)])
        await curio.sleep(0.2)
        context.process.send_signal(signal.SIGTERM)
        return await task.join()

    context.records = curio.run(send)


@then("the request gets a whole response")
def then_whole_response(context):
    assert [record.outcome for record in context.records] == [Outcome.WHOLE], context.records


@when("a target is started with an invalid option")
def when_invalid_option(context):
    _start_target(context, "--slots", "none")


@then("waiting for it raises an error that names the option")
def then_wait_raises(context):
    try:
        context.process.wait_until_listening(context.control)
    except ProcessError as error:
        assert "--slots" in str(error), error
    else:
        raise AssertionError("waiting raised no error")


PARENT_PROGRAM = """
import time
from pathlib import Path
from standins.processes import ProcessGroup
with ProcessGroup() as group:
    address, control = group.addresses.allocate(), group.addresses.allocate()
    address_options = ("--address", str(address), "--control", str(control))
    process = group.start_module("target", "standins.target", *address_options)
    process.wait_until_listening(control)
    print(process.pid, flush=True)
    time.sleep(60)
"""


@given("a parent process that has started a target")
def given_parent(context):
    parent = subprocess.Popen([sys.executable, "-c", PARENT_PROGRAM], stdout=subprocess.PIPE)
    context.parent = parent
    context.add_cleanup(parent.kill)
    context.target_pid = int(parent.stdout.readline())


@when("the parent process gets SIGTERM")
def when_parent_terminated(context):
    context.parent.terminate()
    context.parent.wait(timeout=10.0)


@then("the target of the parent process has exited within {limit_s:g} s")
def then_target_exited(context, limit_s):
    deadline_s = time.monotonic() + limit_s
    while _exists(context.target_pid) and time.monotonic() < deadline_s:
        time.sleep(POLL_INTERVAL_S)
    assert not _exists(context.target_pid)


def _exists(pid):
    return Path(f"/proc/{pid}").exists()


@then("{count:d} free addresses have ports below those that the system assigns to connections")
def then_ports_are_safe(context, count):
    # Guards against a process that cannot listen because a connection got its port meanwhile.
    del context
    ports = {free_address().port for _ in range(count)}
    assert max(ports) < first_connection_port(), max(ports)
