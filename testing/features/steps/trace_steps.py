"""Steps for traces and the propagation of trace contexts."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from unittest import mock

from behave import given, then, when

from kingcupusher._core.address import Address
from kingcupusher._entry.errors import TracesUnavailableError
from kingcupusher._entry.tracing import create_tracer
from kingcupusher._observe.traces import SamplingTracer
from kingcupusher._settings import parse_entry_settings

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
PARENT_ID = "b7ad6b7169203331"
SAMPLED = (b"traceparent", f"00-{TRACE_ID}-{PARENT_ID}-01".encode())
UNSAMPLED = (b"traceparent", f"00-{TRACE_ID}-{PARENT_ID}-00".encode())
# The other flag of the trace context marks the trace id as random.
SAMPLED_FLAG = 1
TRACE_STATE = (b"tracestate", b"vendor=1")
OTHER_HEADERS = [(b"host", b"svc"), (b"x-kept", b"1")]
INCOMING = {
    "no context": [],
    "a sampled parent": [SAMPLED],
    "a parent, not sampled": [UNSAMPLED],
    "a malformed parent": [(b"traceparent", b"00-zz-1-01")],
    "two parents": [SAMPLED, UNSAMPLED],
    "a parent and its state": [SAMPLED, TRACE_STATE],
}
# Whether the trace id is that of the parent, and the sampled flag.
OUTGOING = {
    "a new trace that is sampled": (False, True),
    "a new trace, not sampled": (False, False),
    "a child that is sampled": (True, True),
    "a child, not sampled": (True, False),
}


def _settings(percent):
    address = str(Address("127.0.0.1", 1))
    raw = dict.fromkeys(("caller_address", "peer_address", "admin_address", "platform"), address)
    return parse_entry_settings(
        {**raw, "vm_id": "v", "zone": "a", "trace_sample_percent": str(percent)}
    )


def _exported_spans(context):
    return [json.loads(line) for line in context.stream.getvalue().splitlines()]


def _traceparent_fields(headers):
    (value,) = [value for name, value in headers if name == b"traceparent"]
    return value.decode().split("-")


@given("traces of {percent:g} % of the requests")
def given_traces(context, percent):
    context.stream = io.StringIO()
    context.tracer = SamplingTracer(sample_percent=percent, stream=context.stream, vm="v")


@when("a request with {incoming} ends with status {status:d}")
def when_request_ends(context, incoming, status):
    context.headers = [*OTHER_HEADERS, *INCOMING[incoming]]
    span = context.tracer.begin(context.headers, service="svc", request_id=b"r-1")
    span.end(status=status)


@then("the next hop gets the state and the other headers unchanged")
def then_state_forwarded(context):
    rest = [header for header in context.headers if header[0] != b"traceparent"]
    assert rest == [*OTHER_HEADERS, TRACE_STATE], rest


@then("the next hop gets a {outgoing}")
def then_next_hop(context, outgoing):
    _version, trace, span, flags = _traceparent_fields(context.headers)
    found = (trace == TRACE_ID, bool(int(flags, 16) & SAMPLED_FLAG))
    assert found == OUTGOING[f"a {outgoing}"], context.headers
    assert span != PARENT_ID


@then("{count:d} spans are exported")
def then_span_count(context, count):
    assert len(_exported_spans(context)) == count, context.stream.getvalue()


@then("the exported span has the parent, the service, the request id and status {status:d}")
def then_exported_span(context, status):
    (span,) = _exported_spans(context)
    expected = {
        "logger": "trace",
        "trace_id": TRACE_ID,
        "parent_span_id": PARENT_ID,
        "span_id": _traceparent_fields(context.headers)[2],
        "service": "svc",
        "request_id": "r-1",
        "status": status,
        "vm": "v",
    }
    assert expected.items() <= span.items(), span
    assert span["duration_ms"] >= 0.0


@given("the request path is traced")
def given_traced_path(context):
    context.stream = io.StringIO()
    context.world.tracer = SamplingTracer(sample_percent=100.0, stream=context.stream)


@then("one span ended with status {status:d}")
def then_one_span(context, status):
    (context.span,) = _exported_spans(context)
    assert context.span["status"] == status, context.span


@then("each target got the context of that span")
def then_targets_got_context(context):
    seen = [s for target in context.world.targets for s in target.received]
    assert seen
    for request in seen:
        _version, trace, span, flags = _traceparent_fields(list(request.headers.items()))
        assert (trace, span) == (context.span["trace_id"], context.span["span_id"]), request
        assert int(flags, 16) & SAMPLED_FLAG, request


@then("the entry process with sampling off has imported no OpenTelemetry package")
def then_not_imported(context):
    script = (
        "import sys, kingcupusher._cli.main, kingcupusher._entry\n"
        "from types import SimpleNamespace\n"
        "from kingcupusher._entry.tracing import create_tracer\n"
        "create_tracer(SimpleNamespace(trace_sample_percent=0.0))\n"
        "sys.exit(any(name.startswith('opentelemetry') for name in sys.modules))\n"
    )
    assert subprocess.run([sys.executable, "-c", script]).returncode == 0


@then('opening traces without the SDK fails with "{text}"')
def then_refused(context, text):
    with mock.patch.dict(sys.modules, {"opentelemetry.sdk.resources": None}):
        del sys.modules["kingcupusher._observe.traces"]
        try:
            create_tracer(_settings(10))
        except TracesUnavailableError as error:
            assert text in str(error), error
        else:
            raise AssertionError("traces were opened without the SDK")
