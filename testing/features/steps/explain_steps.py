"""Steps for the explanation of requests and its command."""

from __future__ import annotations

import os
import socket
import threading

import curio
import msgspec
from behave import given, then, when
from typer.testing import CliRunner

from kingcupusher._cli.explain import KEY_VARIABLE
from kingcupusher._cli.main import app
from kingcupusher._core import now_ms
from kingcupusher._discovery import Customer, TargetSeen
from kingcupusher._discovery.customer_keys import key_digest
from kingcupusher._gateway.explanation import EXPLAIN_PATH, Explanation, respond_to_question
from kingcupusher._gateway.status_pages import StatusPages
from kingcupusher._http.simple_server import Request, serve
from kingcupusher._limits.announcements import Announcement
from kingcupusher._routing.load_reading import LoadReading
from testing.gateway.fixture import GatewayFixture, registration, route_table
from testing.platform_process import free_address

KEY = "acme-key-1"
OTHER_KEY = "nobodys-key-1"
QUESTIONS = {
    "with a key of acme": {"path": "/lookup/x?a=1", "key": KEY},
    "with an unknown key": {"path": "/lookup/x", "key": OTHER_KEY},
    "without a key": {"path": "/lookup/x"},
    "at an unknown path": {"path": "/unknown/", "key": KEY},
}
CASES = {
    "a key of acme": (KEY, ()),
    "an unknown key": (OTHER_KEY, ()),
    "a stopped entry": (KEY, ()),
    "JSON": (KEY, ("--json",)),
}


@given("a gateway with customers that explains requests")
def given_gateway(context):
    customer = Customer(name="acme", key_digests=(key_digest(KEY.encode()),), priority=0)
    table = msgspec.structs.replace(route_table(), customers=(customer,))
    context.options = {"behaviours": ["healthy"] * 4, "table": table}
    context.prepare = lambda _: None


@given("its targets are read, suspended, paused and draining")
def given_states(context):
    def prepare(fixture):
        current_ms = now_ms()
        read, suspended, paused, draining = fixture.targets
        clients = fixture.gateway.target_clients
        clients.get(fixture.catalog.targets[read.target_id]).last_reading = LoadReading(
            running=1,
            waiting=0,
            slots=3,
            slowness_percent=100,
            cold_left_ms=0.0,
            is_healthy=True,
            read_ms=current_ms,
        )
        clients.get(fixture.catalog.targets[suspended.target_id]).on_failure(now_ms=current_ms)
        fixture.catalog.announcements.record(
            registration(paused).instance, Announcement(False, 5_000.0), now_ms=current_ms
        )
        fixture.catalog.apply(
            [TargetSeen(registration(draining, is_draining=True))], now_ms=current_ms
        )

    context.prepare = prepare


def _respond(context, body):
    async def main():
        async with GatewayFixture(**context.options) as fixture:
            context.fixture = fixture
            context.prepare(fixture)
            request = Request("POST", EXPLAIN_PATH, [], body)
            response = respond_to_question(request, fixture.gateway)
            fixture.gateway.log.event("end")
            context.log_text = fixture.log_text()
            return response

    return curio.run(main)


@when("it is asked about a lookup {question}")
def when_asked(context, question):
    body = msgspec.json.encode({"host": "H.example:80", **QUESTIONS[question]})
    context.response = _respond(context, body)
    assert context.response.status == 200, context.response
    context.explanation = msgspec.json.decode(context.response.body, type=Explanation)


@then("it answers with refusal {refusal}, route {route} and customer {customer}")
def then_answer(context, refusal, route, customer):
    found = context.explanation
    shown = [str(v or "none") for v in (found.refusal_status, found.route, found.customer)]
    assert shown == [refusal, route, customer], found
    if customer == "acme":
        assert found.priority == 0 and len(found.services[0].candidates) == 4, found


@then("no target got a request or a probe, and neither the answer nor the log has the key")
def then_nothing_sent(context):
    # Guards against an explanation that changes what it explains, and against a key that leaks.
    assert not any(t.received or t.probe_count for t in context.fixture.targets)
    for text in (context.response.body.decode(), context.log_text):
        assert KEY not in text and OTHER_KEY not in text, text


@then("the target that was read would be chosen for its cost")
def then_chosen(context):
    (service,) = context.explanation.services
    assert service.chosen == "t0" and "cost 1.00" in service.why, service


@then("the answer says that the others are suspended, paused and draining")
def then_states(context):
    (service,) = context.explanation.services
    by_name = {candidate.target: candidate for candidate in service.candidates}
    assert by_name["t0"].reading_age_ms is not None and by_name["t0"].running == 1
    assert by_name["t1"].suspended_ms > 0.0 and by_name["t1"].position is not None, by_name
    assert by_name["t2"].paused_ms > 0.0 and "paused" in by_name["t2"].excluded_because, by_name
    assert "draining" in by_name["t3"].excluded_because, by_name


@then("the body {body} gets status 400 without its content")
def then_bad_body(context, body):
    # Guards against a part of a key in the message of a parse error.
    response = _respond(context, body.encode())
    assert response.status == 400 and b"1234567" not in response.body, response
    assert KEY.encode() not in response.body, response


@when("the command explain is run for {case}")
def when_command(context, case):
    key, options = CASES[case]
    address = free_address()
    stop = curio.UniversalEvent()

    async def serve_entry():
        async with GatewayFixture(**context.options) as fixture:

            pages = StatusPages(fixture.gateway, is_ready=lambda: True)
            server = await curio.spawn(serve, address, pages.handle_metrics)
            await stop.wait()
            await server.cancel()

    thread = threading.Thread(target=curio.run, args=(serve_entry,))
    if case != "a stopped entry":
        thread.start()
        while True:
            with socket.socket() as probe:
                if probe.connect_ex((address.host, address.port)) == 0:
                    break
    arguments = ["--entry", str(address), "--host", "h.example", "--path", "/lookup/x", *options]
    environment = {**os.environ, KEY_VARIABLE: key}
    try:
        context.result = CliRunner().invoke(app, ["explain", *arguments], env=environment)
    finally:
        if thread.is_alive():
            stop.set()
            thread.join()


@then('it ends with status {status:d}, prints "{text}" and no key')
def then_command(context, status, text):
    output = context.result.output
    assert context.result.exit_code == status, (context.result.exit_code, output)
    assert text in output and KEY not in output and OTHER_KEY not in output, output
