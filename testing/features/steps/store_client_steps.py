"""Steps for the client of the platform's store, against scripted responses."""

from __future__ import annotations

import json

import curio
from behave import given, then

from kingcupusher._discovery import ChangeSourceError, HistoryGoneError, StorePosition
from kingcupusher._http.simple_client import Response
from kingcupusher._http.simple_server import serve
from kingcupusher_platform.store import StoreClient
from standins.ports import free_address

TIMEOUT_MS = 2_000.0
START_DELAY_S = 0.05


def _response(text):
    if text.isdigit():
        return Response(int(text), [], b"{}")
    restorations, _, revision = text.rstrip("+").partition("/")
    headers = [] if restorations == "none" else [(b"store-era", restorations.encode())]
    items = [{"key": "status/x", "value": "", "revision": 1}] if text.endswith("+") else []
    body = {"asOf": int(revision), "items": items, "events": [], "hasMore": bool(items)}
    return Response(200, headers, json.dumps(body).encode())


@given("a store whose next responses are: {responses}")
def given_store(context, responses):
    context.responses = [_response(text) for text in responses.split(", ")]


def _position(text):
    restorations, revision = text.split(", ")
    return StorePosition(int(restorations), int(revision))


def _call(context, call):
    async def handle(_request):
        return context.responses.pop(0)

    async def main():
        address = free_address()
        await curio.spawn(serve, address, handle, daemon=True)
        await curio.sleep(START_DELAY_S)
        client = StoreClient(address, on_problem=lambda *_args, **_fields: None)
        if call == "a full read":
            return await client.read_all(timeout_ms=TIMEOUT_MS)
        after = _position(call.removeprefix("a watch after "))
        return await client.wait_for_changes(after=after, wait_ms=100.0, timeout_ms=TIMEOUT_MS)

    return curio.run(main)


@then("{call} gives the position {position}")
def then_position(context, call, position):
    assert _call(context, call).position == _position(position)


@then("{call} gives a lost history")
def then_history_lost(context, call):
    # Guards against a reader that continues at a revision which the store has assigned again.
    try:
        batch = _call(context, call)
    except HistoryGoneError:
        return
    raise AssertionError(batch)


@then("{call} gives an invalid response")
def then_invalid(context, call):
    try:
        batch = _call(context, call)
    except HistoryGoneError as error:
        raise AssertionError(error) from error
    except ChangeSourceError:
        return
    raise AssertionError(batch)
