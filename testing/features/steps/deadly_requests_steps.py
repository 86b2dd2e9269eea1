"""Steps for requests that end the targets that run them."""

from __future__ import annotations

import curio
from behave import given, then, when
from hypothesis import strategies as st

from kingcupusher._core import now_ms
from kingcupusher._discovery import ChangeSourceError, CrashSeen, CrashWithdrawn
from kingcupusher._gateway.crash_reports import CrashReports
from kingcupusher._limits.crash_quarantine import CrashQuarantine
from kingcupusher_platform.records import crash_key, decode_item, decode_removal
from testing.gateway.fixture import GatewayFixture
from testing.properties import check_property

FINGERPRINT = "f" * 32
WAITS_MS = {"wait": 11_000.0, "long": 601_000.0}


@when("a caller repeats one {name:w} {count:d} times")
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


@then("no caller was told that equal requests ended targets")
def then_not_quarantined(context):
    # Guards against a refusal of healthy requests because of a target with malformed responses.
    bodies = [body for _, _, body in context.responses]
    assert not any(b"ended" in body for body in bodies), bodies


@when("equal requests have these ends, a second apart: {ends}")
def when_ends(context, ends):
    context.quarantine, context.now_ms = CrashQuarantine(), 0.0
    for end in ends.split(", "):
        context.now_ms += WAITS_MS.get(end, 1_000.0)
        if end == "ok":
            context.quarantine.on_success(FINGERPRINT, now_ms=context.now_ms)
        elif end not in WAITS_MS:
            context.quarantine.record(FINGERPRINT, end, now_ms=context.now_ms)


@then("an equal request is {decision}")
def then_decision(context, decision):
    is_refused = context.quarantine.is_refused(FINGERPRINT, now_ms=context.now_ms)
    assert is_refused == (decision == "refused")


@then("for every sequence of ends the decision follows from those since the last success")
def then_every_sequence(context):
    def prop(ends):
        quarantine, ended = CrashQuarantine(), set()
        for step, end in enumerate(ends):
            at_ms = step * 11_000.0
            if end is None:
                assert quarantine.on_success(FINGERPRINT, now_ms=at_ms) == sorted(ended)
                ended = set()
            else:
                assert quarantine.record(FINGERPRINT, end, now_ms=at_ms) == (end not in ended)
                ended.add(end)
            assert quarantine.is_refused(FINGERPRINT, now_ms=at_ms) == (len(ended) >= 3)
            assert quarantine.may_retry(FINGERPRINT, now_ms=at_ms) == (len(ended) < 2)

    check_property(context, prop, ends=st.lists(st.sampled_from([None, *"abcd"]), max_size=30))


@then("after {count:d} different requests that ended a target at most {bound:d} are remembered")
def then_limited(context, count, bound):
    # Guards against a process that grows with each failed request.
    del context
    quarantine = CrashQuarantine()
    for number in range(count):
        quarantine.record(f"f{number}", "a", now_ms=0.0)
        quarantine.on_success(f"s{number}", now_ms=0.0)
    assert len(quarantine.snapshot()) <= bound
    assert len(quarantine._succeeded_until_ms) <= bound


def _decisions(cluster):
    return {
        name: cluster.members[name].catalog.crashes.is_refused(FINGERPRINT, now_ms=now_ms())
        for name in cluster.running
    }


async def _wait_for_decision(cluster, is_refused, within_ms):
    def is_unanimous():
        return set(_decisions(cluster).values()) == {is_refused}

    assert await cluster.wait_for(is_unanimous, within_ms=within_ms), _decisions(cluster)


async def _report(cluster, entry, report):
    reports = CrashReports(cluster.store.client(entry), on_event=lambda *_args, **_fields: None)
    task = await curio.spawn(reports.run, daemon=True)
    await reports.add(report)
    await curio.sleep(0.05)
    await task.cancel()


@when("three entries report a target that ended under equal requests")
def when_reported(context):
    async def step(cluster):
        for entry, target_id in (("e0", "a"), ("e3", "b"), ("e4", "c")):
            assert not any(_decisions(cluster).values())
            await _report(cluster, entry, CrashSeen(FINGERPRINT, target_id))

    context.steps.append(step)


@then("every entry refuses an equal request within {bound_s:g} s")
def then_all_refuse(context, bound_s):
    # Guards against a request that ends further targets because it arrives at other entries.
    async def check(cluster):
        await _wait_for_decision(cluster, True, bound_s * 1_000.0)

    context.steps.append(check)


@then("an entry that is restarted refuses it within {bound_s:g} s")
def then_restarted_refuses(context, bound_s):
    async def check(cluster):
        await cluster.stop("e5")
        await cluster.start("e5")
        await _wait_for_decision(cluster, True, bound_s * 1_000.0)

    context.steps.append(check)


@then("after a success at one entry every entry sends it within {bound_s:g} s")
def then_all_send(context, bound_s):
    async def check(cluster):
        catalog = cluster.members["e2"].catalog
        for target_id in catalog.crashes.on_success(FINGERPRINT, now_ms=now_ms()):
            await _report(cluster, "e2", CrashWithdrawn(FINGERPRINT, target_id))
        await _wait_for_decision(cluster, False, bound_s * 1_000.0)

    context.steps.append(check)


class _FailingStore:
    """Fails some calls, and its first lease ends before it is used."""

    def __init__(self, failures):
        self.failures = failures
        self.lease_count = 0
        self.written = []

    async def create_lease(self, *, ttl_ms):
        del ttl_ms
        if self.failures:
            self.failures -= 1
            raise ChangeSourceError("the store is unavailable")
        self.lease_count += 1
        return self.lease_count

    async def write_crash(self, crash, *, lease):
        if lease == 1:
            return False
        self.written.append(crash)
        return True


@given("a store whose lease of evidence ends, and that fails the next two calls")
def given_failing_store(context):
    context.store = _FailingStore(2)


@when("evidence is reported")
def when_evidence(context):
    context.report = CrashSeen(FINGERPRINT, "a")


@then("it is in the store within {bound_s:g} s")
def then_written(context, bound_s):
    async def main():
        reports = CrashReports(context.store, on_event=lambda *_args, **_fields: None)
        await curio.spawn(reports.run, daemon=True)
        await reports.add(context.report)
        end_ms = now_ms() + bound_s * 1_000.0
        while not context.store.written and now_ms() < end_ms:
            await curio.sleep(0.01)

    curio.run(main)
    assert context.store.written == [context.report]


@then("evidence in the platform's store is read back from its key, and its removal withdraws it")
def then_keys(context):
    del context
    crash = CrashSeen(FINGERPRINT, "i-0123abcd")
    key = crash_key(crash)
    assert len(key) <= 200
    assert decode_item(key, b"1", lease=7, on_problem=None) == crash
    assert decode_removal(key) == CrashWithdrawn(FINGERPRINT, "i-0123abcd")
