"""Steps with the platform, entries and targets as real processes."""

from __future__ import annotations

import signal
import socket
import time

import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from standins.cluster import Cluster
from standins.load.outcome import Outcome
from standins.load.plan import PlanSettings
from standins.load.process import LoadOptions, LoadProcess
from standins.processes import ProcessGroup
from standins.target.faults import FaultParameters

SERVICE = "fleet"
WARMUP_MS = 300
MAX_DRAIN_NOTICE_MS = 3_000.0
WARM_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 10.0
ACCEPT_TIME_S = 0.1

SERVICE_FILE = f"""\
name = "{SERVICE}"
team = "tests"
hosts = ["{SERVICE}.example"]

[target]
slots = 3
cold_concurrency = 1
warmup_ms = {WARMUP_MS}
probes_per_s = 0.2

[request]
# Holds the requests until the first cold target may be used, about 2 s after the start.
queue_length = 500
"""


def _start(context, entries, targets, *options):
    group = ProcessGroup().__enter__()
    context.add_cleanup(group.__exit__, None, None, None)
    cluster = Cluster(group, zones=("zone-a", "zone-b"))
    cluster.start_targets(SERVICE, targets, "--warmup-ms", str(WARMUP_MS), *options)
    cluster.wait_for_targets()
    path = group.directory / "fleet.toml"
    path.write_text(SERVICE_FILE, encoding="utf-8")
    cluster.publish([path])
    cluster.publish_vms()
    cluster.start_entries(entries)
    cluster.wait_for_entries()
    context.cluster = cluster


def _start_load(context, name, requests, work_ms, rate_per_s):
    cluster = context.cluster
    plan = PlanSettings(
        seed=5,
        label=name,
        rate_per_s=rate_per_s,
        requests=requests,
        service_time_ms=work_ms,
        non_idempotent_share=0.3,
    )
    options = LoadOptions(
        entries=[entry.caller_address for entry in cluster.entries],
        host=f"{SERVICE}.example",
        plan=plan,
        target_controls=[
            target.control.address for target in cluster.targets if target.process.is_running()
        ],
    )
    return LoadProcess(cluster.group, name, options)


def _statuses(context):
    running = [target for target in context.cluster.targets if target.process.is_running()]
    return context.cluster.target_statuses(running)


@given("{entries:d} entries and {targets:d} cold targets that need 300 ms of work to warm up")
def given_cold(context, entries, targets):
    _start(context, entries, targets)


@given("{entries:d} entries and {targets:d} open targets")
def given_open(context, entries, targets):
    _start(context, entries, targets, "--start-warm")
    load = _start_load(context, "warm", 10_000, 5.0, 60.0)
    cluster = context.cluster
    cluster.wait_until(
        "all targets are open",
        lambda: cluster.are_open_at_all_entries(cluster.targets),
        timeout_s=WARM_TIMEOUT_S,
    )
    load.stop()


@when("{requests:d} requests of {work_ms:g} ms arrive at {rate:g}/s")
def when_load(context, requests, work_ms, rate):
    context.result = _start_load(context, "load", requests, work_ms, rate).wait_for_result()


@when(
    "{requests:d} requests of {work_ms:g} ms arrive at {rate:g}/s and a target drains after"
    " {delay_s:g} s"
)
def when_target_drains(context, requests, work_ms, rate, delay_s):
    load = _start_load(context, "load", requests, work_ms, rate)
    time.sleep(delay_s)
    context.target = context.cluster.targets[0]
    curio.run(context.target.control.set_fault, "drain", FaultParameters())
    context.drained_ms = now_ms()
    context.result = load.wait_for_result()


@when(
    "{requests:d} requests of {work_ms:g} ms arrive at {rate:g}/s and an entry gets SIGTERM"
    " after {delay_s:g} s"
)
def when_entry_terminated(context, requests, work_ms, rate, delay_s):
    load = _start_load(context, "load", requests, work_ms, rate)
    time.sleep(delay_s)
    context.entry = context.cluster.entries[0]
    context.entry.process.send_signal(signal.SIGTERM)
    context.result = load.wait_for_result()


@when("an entry with an idle connection gets SIGTERM")
def when_idle_entry_terminated(context):
    context.entry = context.cluster.entries[0]
    address = context.entry.caller_address
    with socket.create_connection((address.host, address.port), timeout=EXIT_TIMEOUT_S) as idle:
        time.sleep(ACCEPT_TIME_S)
        context.entry.process.send_signal(signal.SIGTERM)
        context.received = idle.makefile("rb").read()


@when(
    "{requests:d} requests of {work_ms:g} ms arrive at {rate:g}/s and a target is killed after"
    " {delay_s:g} s"
)
def when_target_killed(context, requests, work_ms, rate, delay_s):
    killed = context.cluster.targets[0]
    # The execution log is lost with the killed target, so the load tool does not query it.
    survivors = [target for target in context.cluster.targets if target is not killed]
    context.cluster.targets = survivors
    load = _start_load(context, "load", requests, work_ms, rate)
    time.sleep(delay_s)
    killed.process.send_signal(signal.SIGKILL)
    context.result = load.wait_for_result()


@when(
    "a target restarts and {requests:d} requests of {work_ms:g} ms arrive at {rate:g}/s after"
    " {delay_s:g} s"
)
def when_target_restarts(context, requests, work_ms, rate, delay_s):
    target = context.cluster.targets[0]
    curio.run(target.control.set_fault, "restart", FaultParameters())
    time.sleep(delay_s)
    context.result = _start_load(context, "load", requests, work_ms, rate).wait_for_result()


@then("every request gets a complete response")
def then_all_complete(context):
    summary = context.result.summary
    assert summary.whole == summary.requests, summary


@then("at least {percent:d} % of the requests get a complete response")
def then_share_complete(context, percent):
    summary = context.result.summary
    assert summary.whole * 100 >= percent * summary.requests, summary


@then("every idempotent request gets a complete response")
def then_idempotent_complete(context):
    lost = [r for r in context.result.records if r.idempotent and r.outcome is not Outcome.WHOLE]
    assert not lost, lost


@then("every request through the other entry gets a complete response")
def then_other_complete(context):
    other = str(context.cluster.entries[1].caller_address)
    lost = [
        record
        for record in context.result.records
        if record.entry == other and record.outcome is not Outcome.WHOLE
    ]
    assert not lost, lost


@then("no outcome is unknown and no response is broken")
def then_outcomes_known(context):
    summary = context.result.summary
    assert not summary.unknown + summary.broken + summary.error, summary


@then("the idle connection receives an error response marked as not run")
def then_idle_refused(context):
    # Guards against an entry that exits as soon as no request is in flight: a request that a
    # caller has just sent would then have an unknown outcome.
    assert context.received.startswith(b"HTTP/1.1 408"), context.received
    assert b"x-outcome: not-run" in context.received, context.received


@then("no other request ran twice or was reported as not run after it ran")
def then_at_most_once(context):
    executions = context.result.summary.executions
    assert not executions.duplicates, executions
    assert not executions.not_run_but_ran, executions


@then("no target has failed under overload")
def then_no_overload(context):
    fall_overs = [status.counters.fall_overs for status in _statuses(context)]
    assert not any(fall_overs), fall_overs


@then("every target received at least {least:d} requests")
def then_all_used(context, least):
    requests = [status.counters.requests for status in _statuses(context)]
    assert min(requests) >= least, requests


@then("the draining target received no request more than 3 s later")
def then_draining_unused(context):
    status = context.cluster.target_statuses([context.target])[0]
    assert status.counters.last_request_ms <= context.drained_ms + MAX_DRAIN_NOTICE_MS, status


@then("the entry has exited")
def then_entry_exited(context):
    assert context.entry.process.wait(timeout_s=EXIT_TIMEOUT_S) == 0
