"""Steps for the adapter to the deployment platform."""

from __future__ import annotations

import copy
import json

from behave import given, then, when

from kingcupusher._discovery import ReaderSeen, TargetSeen
from kingcupusher._gateway.header_codec import ResponseKind
from kingcupusher._http.buffered import BufferedResponse
from kingcupusher._http.heads import RequestHead
from kingcupusher_platform.headers import PlatformHeaderCodec
from kingcupusher_platform.records import (
    decode_item,
    decode_removal,
    decode_routes,
    decode_target,
)
from kingcupusher_platform.settings import SettingsFileError, parse_settings

SETTINGS = {
    "nodeName": "frontend-a-1",
    "zone": "a",
    "heartbeatS": 0.8,
    "ipAddress": "10.1.0.34",
    "internalPortRange": [7540, 7555],
    "contractParams": [
        "gracePeriodS=6",
        "retryBudgetRatio=0.2",
        "budgetWindowS=10",
        "retryBudgetSlack=58",
        "probesPerS=60",
        "coldStartOvershoot=1.5",
    ],
    "listenAddresses": {
        "frontend": "10.1.0.34:8548",
        "readiness": "10.1.0.34:8542",
        "controlPlane": "10.1.0.34:8544",
    },
    "seedNodes": ["10.1.0.34:8544", "10.2.0.34:8544"],
    "limits": {"fileDescriptors": 4100},
    "platform": {"address": "10.200.1.7:8541"},
}
VALUES = {"missing": None, "a number": 5, "not an address": "somewhere"}
CONFIG = {
    "version": "r12",
    "routes": {
        "one": {
            "host": "H.example",
            "prefix": "/a/",
            "kind": "idempotent",
            "timeoutS": 1,
            "targetLatencyS": 0.4,
            "priority": 2,
            "maxAttempts": 2,
            "trafficSplit": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
        },
        "two": {
            "host": "h.example",
            "prefix": "/b/",
            "kind": "non_idempotent",
            "timeoutS": 1.2,
            "service": "s",
        },
    },
    "services": {
        "s": {"healthPath": "/health", "maxConnections": 220, "coldStartS": 3, "coldPerS": 4.2},
        "t": {"healthPath": "/health", "maxConnections": 220, "coldStartS": 3, "coldPerS": 4.2},
    },
    "limits": {"maxHeaderBytes": 16384, "idleTimeoutS": 15},
}
REGISTRATION = {
    "address": "10.128.0.9:8080",
    "born": 1_700_000_000_000,
    "info": {"service": "s", "version": "v1", "zone": "a", "slots": 3},
    "status": {"state": "draining", "sequence": 4, "coldLeftS": 1.5},
}


def _ignore(*_args, **_fields):
    """Ignore a problem that the step does not check."""


@given("valid platform settings")
def given_settings(context):
    context.settings = copy.deepcopy(SETTINGS)


@when("an unknown field is added")
def when_unknown(context):
    context.settings["futureField"] = {"x": 1}


@when("its setting {field} is {value}")
def when_field(context, field, value):
    table, _, name = field.rpartition(".")
    fields = context.settings[table] if table else context.settings
    chosen = json.loads(value) if value.startswith("[") else VALUES[value]
    if chosen is None:
        del fields[name]
    else:
        fields[name] = chosen


@then("reading the settings fails and names {named}")
def then_fails(context, named):
    try:
        parse_settings(context.settings)
    except SettingsFileError as error:
        assert named in str(error), error
    else:
        raise AssertionError("the settings were accepted")


@then("the settings contain the fleet limits in milliseconds")
def then_settings(context):
    settings = parse_settings(context.settings)
    limits = settings.gateway.fleet_limits
    assert (limits.grace_period_ms, limits.retry_window_ms) == (6_000.0, 10_000.0)
    assert (limits.retry_slack, limits.probes_per_s, limits.cold_overshoot) == (58.0, 60.0, 1.5)
    assert settings.gateway.heartbeat_ms == 800.0
    assert str(settings.store_address) == "10.200.1.7:8541"
    assert settings.gateway.relay_address != settings.gateway.metrics_address
    assert [str(seed) for seed in settings.gateway.seeds] == ["10.2.0.34:8544"]


@then("the example configuration has its version, routes, weights and times")
def then_config(context):
    del context
    table = decode_routes(json.dumps(CONFIG).encode(), on_problem=_ignore)
    one, two = table.routes
    assert table.version == 12
    assert (one.host, one.prefix, one.timeout_ms, one.objective_ms) == (
        b"h.example",
        b"/a/",
        1_000.0,
        400.0,
    )
    assert one.is_idempotent and not two.is_idempotent
    assert [(part.service, part.weight) for part in one.parts] == [("s", 90.0), ("t", 10.0)]
    assert two.objective_ms == two.timeout_ms == 1_200.0 and two.max_targets == 1
    assert table.services["s"].cold_requests_per_s == 4.2
    assert table.limits.idle_timeout_ms == 15_000.0


def _registration(**changes):
    return json.dumps(REGISTRATION | changes).encode()


INVALID_ITEMS = {
    "a target without an address": ("servers/i-1", _registration(address=None)),
    "a target in an unknown state": ("servers/i-1", _registration(status={"state": "resting"})),
    "a target whose info is a string": ("servers/i-1", _registration(info="none")),
    "a target of invalid JSON": ("servers/i-1", b'{"address": "10.'),
    "a configuration without version": ("op/config", json.dumps({"routes": {}}).encode()),
    "a reader without an address": ("kingcupusher/readers/0", b'{"entry": "e1"}'),
}


@when("{item} is decoded as an item")
def when_decoded(context, item):
    context.problems = []
    context.key, value = INVALID_ITEMS[item]

    def note(event, **fields):
        context.problems.append((event, fields))

    context.change = decode_item(context.key, value, lease=0, on_problem=note)


@then("it is skipped and logged with its key")
def then_skipped(context):
    assert context.change is None
    assert [fields["key"] for _, fields in context.problems] == [context.key]


@then("a configuration with one invalid route and one invalid service keeps the others")
def then_others_kept(context):
    del context
    problems = []
    config = copy.deepcopy(CONFIG)
    config["routes"]["one"]["prefix"] = "no-slash"
    config["services"]["t"] = {"healthPath": 5}

    def note(event, **fields):
        problems.append(fields["name"])

    table = decode_routes(json.dumps(config).encode(), on_problem=note)
    assert [route.name for route in table.routes] == ["two"] and list(table.services) == ["s"]
    assert sorted(problems) == ["one", "t"]


@then("the example registration has its service, zone, address, state and start time")
def then_registration(context):
    del context
    record = decode_target("i-1", _registration())
    assert (record.service, record.zone, str(record.address)) == ("s", "a", "10.128.0.9:8080")
    assert record.is_draining and record.cold_left_ms == 1_500.0
    assert record.born_unix_ms == 1_700_000_000_000
    written = decode_item("servers/i-1", _registration(), lease=0, on_problem=_ignore)
    assert isinstance(written, TargetSeen)
    reader = b'{"entry": "e1", "zone": "a", "address": "10.1.0.1:7541"}'
    reader_slot = decode_item("kingcupusher/readers/2", reader, lease=9, on_problem=_ignore)
    assert isinstance(reader_slot, ReaderSeen) and (reader_slot.slot, reader_slot.lease) == (2, 9)
    assert decode_removal("status/anything") is None


HEADERS = {
    "nothing": None,
    "signature": (b"x-kingcupusher-server-signature", b"3e1b"),
    "encoding": (b"content-encoding", b"gzip"),
    "not run": (b"x-kingcupusher-not-executed", b"1"),
}


@then("a response with {status:d} and {headers} is classified as {kind}")
def then_classified(context, status, headers, kind):
    del context
    rows = [HEADERS[name] for name in headers.split(",") if HEADERS[name]]
    response = BufferedResponse(status, b"", rows, b"")
    assert PlatformHeaderCodec().classify(response) is ResponseKind[kind]


@then('a load probe response with the rate "{field}" states {rate} requests a second')
@then('a load probe response with the rate "" states {rate} requests a second')
def then_rate_decoded(context, rate, field=""):
    # Guards against a limit that is missed, or that invalid bytes set.
    del context
    headers = [(b"x-kingcupusher-instance-id", b"i-1")]
    if field:
        headers.append((b"server-limit", field.encode()))
    probe = PlatformHeaderCodec().parse_probe_response(
        BufferedResponse(200, b"", headers, b""), now_ms=0.0
    )
    assert probe.reading.max_requests_per_s == (None if rate == "no" else float(rate))


@then("a forged target and deadline are replaced, and headers named by Connection are dropped")
def then_headers(context):
    del context
    head = RequestHead(
        b"GET",
        b"/a/",
        b"1.1",
        [
            (b"host", b"h"),
            (b"connection", b"close, x-private"),
            (b"x-private", b"1"),
            (b"x-other", b"2"),
            (b"x-kingcupusher-expected-instance", b"i-forged"),
            (b"x-kingcupusher-request-deadline", b"999999"),
            (b"x-kingcupusher-attempt-id", b"abc"),
        ],
    )
    headers = PlatformHeaderCodec().request_headers(
        head, target_id="i-1", remaining_ms=120, identity=None
    )
    assert headers == [
        (b"host", b"h"),
        (b"x-other", b"2"),
        (b"x-kingcupusher-attempt-id", b"abc"),
        (b"x-kingcupusher-request-deadline", b"120"),
        (b"x-kingcupusher-expected-instance", b"i-1"),
    ]
