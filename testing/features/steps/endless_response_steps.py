"""Steps for targets that send bytes without end."""

from __future__ import annotations

import tracemalloc

import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._entry.prober import PROBE_TIMEOUT_MS, Prober
from kingcupusher._http.errors import ExchangeError
from kingcupusher._http.simple_client import fetch
from kingcupusher._membership import DueProbe
from testing.gateway.endless_target import EndlessTarget
from testing.gateway.fixture import GatewayFixture

HEARTBEAT_S = 0.005
CLOSE_TIMEOUT_S = 1.0


def _set_up(context, kind, *, memory_mb=64, probes_too=False):
    context.kind, context.memory_mb, context.probes_too = kind, memory_mb, probes_too


@given("a gateway whose only target sends without end: {kind}")
def given_endless(context, kind):
    _set_up(context, kind)


@given("a gateway whose only target responds to load probes without end: {kind}")
def given_endless_probes(context, kind):
    _set_up(context, kind, probes_too=True)


@given("a gateway with {memory_mb:d} MB for responses, whose only target sends without end: {kind}")
def given_little_memory(context, memory_mb, kind):
    _set_up(context, kind, memory_mb=memory_mb)


async def _measure_lateness(context):
    context.worst_late_ms = 0.0
    while True:
        due_ms = now_ms() + HEARTBEAT_S * 1000.0
        await curio.sleep(HEARTBEAT_S)
        context.worst_late_ms = max(context.worst_late_ms, now_ms() - due_ms)


async def _send(fixture, name, request_id):
    started_ms = now_ms()
    status, _, _ = await fixture.call(name, request_id)
    return status, now_ms() - started_ms


def _run(context, name, count):
    async def main():
        target = EndlessTarget(context.kind, probes_too=context.probes_too)
        fixture = GatewayFixture(
            [], targets=[target], response_memory_bytes=context.memory_mb * 1_000_000
        )
        async with fixture, curio.timeout_after(20):
            # The entry is the only one, so that it may use all connections of the target.
            fixture.catalog.live_entries.mark_seen(["e1"], now_ms=now_ms())
            heartbeat = await curio.spawn(_measure_lateness, context, daemon=True)
            tasks = [await curio.spawn(_send, fixture, name, f"r{i}") for i in range(count)]
            results = [await task.join() for task in tasks]
            await heartbeat.cancel()
            async with curio.ignore_after(CLOSE_TIMEOUT_S):
                while target.open_count:
                    await curio.sleep(HEARTBEAT_S)
            context.target = target
            return results

    context.results = curio.run(main)


@when("a caller sends a transfer to it")
def when_transfer(context):
    _run(context, "transfer", 1)


@when("{count:d} callers send a lookup to it")
def when_lookups(context, count):
    tracemalloc.start()
    try:
        _run(context, "lookup", count)
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def _check_result(context, statuses, bound_ms, runs):
    ((status, elapsed_ms),) = context.results
    assert str(status) in statuses.split(" or "), context.results
    assert elapsed_ms < bound_ms, context.results
    assert context.target.request_count == runs, context.target.request_count


@then("the caller gets {statuses} within {bound_ms:d} ms, and the target ran it once")
def then_result(context, statuses, bound_ms):
    # Guards against a caller that waits for a response that cannot become complete.
    _check_result(context, statuses, bound_ms, 1)


@then("the caller gets {statuses} within {bound_ms:d} ms, and the target did not run it")
def then_refused(context, statuses, bound_ms):
    _check_result(context, statuses, bound_ms, 0)


@then("the connection to the target is closed after at most {bound_mb:d} MB")
def then_closed(context, bound_mb):
    # Guards against an entry that reads until it runs out of memory.
    assert context.target.open_count == 0, context.target.open_count
    then_sent(context, bound_mb)


@then("the process allocates at most {bound_mb:d} MB more")
def then_memory_bounded(context, bound_mb):
    # Guards against responses without end that together take the memory of the VM.
    assert context.peak_bytes <= bound_mb * 1_000_000, context.peak_bytes


@then("the target sent at most {bound_mb:d} MB in total")
def then_sent(context, bound_mb):
    assert context.target.sent_bytes <= bound_mb * 1_000_000, context.target.sent_bytes


@then("other tasks of the entry waited less than {bound_ms:d} ms")
def then_responsive(context, bound_ms):
    # Guards against one response that keeps all other requests of the entry waiting.
    assert context.worst_late_ms < bound_ms, context.worst_late_ms


@then("no caller gets a success")
def then_no_success(context):
    assert all(status >= 500 for status, _ in context.results), context.results


@given("a server that sends a body without end")
def given_endless_server(context):
    context.target = EndlessTarget("large chunks")


@then("a call to it fails within {bound_ms:d} ms after at most {bound_mb:d} MB")
def then_call_fails(context, bound_ms, bound_mb):
    # Guards against an entry that reads a probe or a list of the platform into all its memory.
    async def main():
        await context.target.start()
        started_ms = now_ms()
        try:
            await fetch(context.target.address, "GET", "/", deadline_ms=started_ms + 5_000.0)
        except ExchangeError:
            return now_ms() - started_ms
        raise AssertionError("the call succeeded")

    assert curio.run(main) < bound_ms
    then_sent(context, bound_mb)


@given("a server that sends without end: {kind}")
def given_endless_probed(context, kind):
    context.target = EndlessTarget(kind, probes_too=True)


class _OneProbe:
    """Membership with one due probe, and the address of its target."""

    def __init__(self, address):
        self.target_table = self
        self._address = address

    def address_of(self, _target_id):
        """Return the address of the target."""
        return self._address


@when("the entry sends it a health probe")
def when_health_probe(context):
    async def main():
        await context.target.start()
        heartbeat = await curio.spawn(_measure_lateness, context, daemon=True)
        stand_in = _OneProbe(context.target.address)
        probe = DueProbe("t0", until_ms=now_ms() + PROBE_TIMEOUT_MS)
        started_ms = now_ms()
        await Prober(stand_in, stand_in)._probe(probe)
        context.elapsed_ms = now_ms() - started_ms
        await heartbeat.cancel()

    curio.run(main)


@then("the probe ends within {bound_ms:d} ms after at most {bound_mb:d} MB")
def then_probe_ends(context, bound_ms, bound_mb):
    # Guards against an entry that keeps what faulty targets send to its health probes.
    assert context.elapsed_ms < bound_ms, context.elapsed_ms
    then_sent(context, bound_mb)
