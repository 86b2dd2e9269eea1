"""Hypothesis properties of the request path."""

from __future__ import annotations

import curio
from behave import then
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from testing.proxy_world import ResponsePlan, Target, World, request

CHECKED = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    database=None,
    suppress_health_check=list(HealthCheck),
)
REFUSED = ResponsePlan(status=503, headers=((b"x-outcome", b"not-run"),))
REPEATED_ID = ((b"x-request-id", b"an earlier request"),)
SURPLUS_RESPONSE = ResponsePlan(body=b"stale", headers=REPEATED_ID).encode()


@st.composite
def response_plans(draw, body):
    plan = ResponsePlan(body=body, chunked=draw(st.booleans()))
    plan.segment_bytes = draw(st.sampled_from([1 << 20, 1, 7, 50]))
    fault = draw(
        st.sampled_from(["none", "none", "cut", "reset", "surplus", "repeated", "unframed"])
    )
    if fault in ("cut", "reset"):
        plan.truncate_at = draw(st.integers(0, len(plan.encode()) - 1))
        plan.reset = fault == "reset"
    if fault in ("surplus", "repeated"):
        plan.surplus = SURPLUS_RESPONSE
        plan.is_surplus_late = fault == "surplus" and draw(st.booleans())
        plan.is_surplus_before_next = fault == "repeated"
        plan.segment_bytes = 1 << 20
    if fault == "unframed":
        plan.raw = b"HTTP/1.1 200 x\r\n\r\n" + body
        plan.truncate_at = draw(st.integers(18, len(plan.raw)))
    return plan


@st.composite
def conversations(draw):
    bodies = [bytes([65 + i]) * draw(st.integers(0, 90)) for i in range(draw(st.integers(1, 5)))]
    return [draw(response_plans(b"<%d>" % i + body)) for i, body in enumerate(bodies)]


@then("every response is complete and belongs to its request, or is visibly a failure")
def then_responses_match(context):
    # Guards against forwarding bytes of another response, or only a part of the right one.
    @CHECKED
    @given(plans=conversations(), pipelined=st.booleans())
    def check(plans, pipelined):
        target = Target({b"/%d" % i: plan for i, plan in enumerate(plans)})
        # Surplus bytes that arrive after the next request was written look like its response;
        # only an echoed identifier tells them apart.
        target.echoes_request_ids = any(plan.is_surplus_before_next for plan in plans)
        for plan in plans:
            plan.is_surplus_late = plan.is_surplus_late and not pipelined
        World([target]).run(lambda world: _converse(world, plans, pipelined))

    check()


async def _converse(world, plans, pipelined):
    requests = [request(f"/{i}", headers="x-idempotent: false\r\n") for i in range(len(plans))]
    caller = await world.connect()
    if pipelined:
        await caller.send(b"".join(requests))
    async with caller.sock:
        for sent, plan in zip(requests, plans, strict=True):
            if not pipelined:
                await caller.send(sent)
            reply = await caller.reply()
            if not reply.is_complete:
                assert plan.truncate_at is not None, "incomplete reply to a complete response"
                return
            if reply.status == 200:
                assert reply.body == plan.body, (reply, plan)
                assert plan.truncate_at is None
            else:
                assert reply.outcome == b"unknown", reply
            if plan.is_surplus_late:
                await world.targets[0].send_late_surplus()


@st.composite
def encoded_requests(draw):
    body = draw(st.binary(max_size=80))
    chunk_bytes = draw(st.sampled_from([0, 1, 9, 200]))
    if not chunk_bytes or not body:
        return request("/x", method="PUT", body=body), body
    pieces = [body[i : i + chunk_bytes] for i in range(0, len(body), chunk_bytes)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    head = request("/x", method="PUT", headers="transfer-encoding: chunked\r\n")
    return head + chunks + b"0\r\n\r\n", body


@then("generated pipelined requests reach the target unchanged and in order")
def then_requests_unchanged(context):
    # Guards against finding other message boundaries than the caller sent.
    @CHECKED
    @given(
        sent=st.lists(encoded_requests(), min_size=1, max_size=6),
        segment_bytes=st.sampled_from([1, 3, 40, 1 << 20]),
    )
    def check(sent, segment_bytes):
        target = Target()

        async def scenario(world):
            caller = await world.connect()
            async with caller.sock:
                data = b"".join(data for data, _ in sent)
                await caller.send(data, segment_bytes=segment_bytes)
                return [(await caller.reply()).status for _ in sent]

        assert World([target]).run(scenario) == [200] * len(sent)
        assert [r.body for r in target.received] == [body for _, body in sent]

    check()


RESPONSE_PLANS = [
    ResponsePlan(),
    ResponsePlan(truncate_at=0),
    ResponsePlan(truncate_at=0, reset=True),
    ResponsePlan(truncate_at=9),
    ResponsePlan(raw=b"nonsense\r\n\r\n"),
    REFUSED,
]


@st.composite
def failure_cases(draw):
    plans = draw(st.lists(st.sampled_from(RESPONSE_PLANS), min_size=3, max_size=3))
    down = draw(st.sets(st.integers(0, 2), max_size=2))
    by_rule = draw(st.booleans())
    idempotent = draw(st.booleans())
    body = draw(st.sampled_from([b"", b"x" * 10, b"y" * 100_000]))
    path = "/once/7" if by_rule and not idempotent else "/often"
    headers = "" if by_rule or idempotent else "x-idempotent: false\r\n"
    data = request(path, method="POST", headers=headers, body=body)
    return plans, frozenset(down), idempotent, path.encode(), data


def _run_case(case):
    plans, down, _, path, data = case
    targets = [Target({path: plan}) for plan in plans]
    reply = World(targets, down=down).run(lambda world: world.call(data))
    return targets, reply


@then("no non-idempotent request is sent to a target after another one may have run it")
def then_not_sent_again(context):
    # Guards against running a transfer twice, which would issue unpaid shares. A refused one was
    # not run, so refusals may precede the one target that accepts it.
    @CHECKED
    @given(case=failure_cases().filter(lambda case: not case[2]))
    def check(case):
        targets, _ = _run_case(case)
        plans = case[0]
        accepted = [t for t, plan in zip(targets, plans, strict=True) if plan != REFUSED]
        assert sum(len(target.received) for target in accepted) <= 1
        assert all(len(target.received) <= 1 for target in targets)

    check()


@then("no request that a target accepted is reported as not-run")
def then_not_run_is_correct(context):
    # Guards against a second run: a caller may repeat a request that is reported as not-run.
    @CHECKED
    @given(case=failure_cases())
    def check(case):
        targets, reply = _run_case(case)
        plans = case[0]
        accepted = [
            t for t, plan in zip(targets, plans, strict=True) if t.received and plan != REFUSED
        ]
        assert reply.is_complete or accepted
        if reply.outcome == b"not-run":
            assert not accepted
        elif reply.is_complete:
            assert accepted

    check()


VALID_LENGTHS = ["content-length: 3", "content-length: 5", "transfer-encoding: chunked"]
INVALID_LENGTHS = [
    "content-length: 3, 5",
    "content-length: +3",
    "content-length: 3 3",
    "transfer-encoding: gzip, chunked",
    "transfer-encoding: xchunked",
    "transfer-encoding : chunked",
    "content-length : 3",
]


@then("no request with generated conflicting lengths reaches a target")
def then_conflicts_rejected(context):
    # Guards against request smuggling: a second request hidden in the body of the first.
    conflicts = st.one_of(
        st.permutations(VALID_LENGTHS).map(lambda lines: lines[:2]),
        st.sampled_from(INVALID_LENGTHS).map(lambda line: [line]),
        st.tuples(st.sampled_from(INVALID_LENGTHS), st.sampled_from(VALID_LENGTHS)).map(list),
    )

    @CHECKED
    @given(lines=conflicts, idempotent=st.booleans())
    def check(lines, idempotent):
        headers = "".join(f"{line}\r\n" for line in lines)
        hidden = request("/hidden")
        target = Target()

        async def scenario(world):
            data = request("/x", method="POST", headers=headers) + b"0\r\n\r\n" + hidden
            return await curio.timeout_after(30, world.call, data)

        reply = World([target]).run(scenario)
        assert reply.status in (400, 501)
        assert reply.outcome == b"not-run"
        assert target.received == []

    check()
