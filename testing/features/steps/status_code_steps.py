"""Steps for responses whose status code is outside 100 to 599."""

from __future__ import annotations

import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._core.connection_server import serve_connections
from kingcupusher._core.startup import listen
from kingcupusher._entry.prober import Prober
from testing.gateway.fixture import GatewayFixture
from testing.gateway.targets import FakeTarget

LOAD = "0,0,100,0"
LOAD_REPORT = "inflight=0, queued=0, slots=3, state=warm, boot=1"


class OddStatusTarget(FakeTarget):
    """Responds properly but for the status code, to requests or to load probes."""

    def __init__(self, kind, status):
        super().__init__("t0", "healthy", load=LOAD)
        self._is_odd_to_probes = kind == "load probes"
        self._status_line = f"HTTP/1.1 {status} X\r\n".encode()

    async def _respond(self, sock, head, body):
        is_probe = head.target.startswith(b"/health")
        if is_probe is not self._is_odd_to_probes:
            return await super()._respond(sock, head, body)
        return await super()._respond(_StatusReplacer(sock, self._status_line), head, body)


class _StatusReplacer:
    """Replaces the status line of what is sent."""

    def __init__(self, sock, status_line):
        self._sock = sock
        self._status_line = status_line

    async def sendall(self, data):
        await self._sock.sendall(self._status_line + data.partition(b"\r\n")[2])


@given("a gateway whose only target responds to {kind} with status {status}")
def given_gateway(context, kind, status):
    context.target = OddStatusTarget(kind, status)


@when("the gateway gets a transfer and a lookup")
def when_calls(context):
    async def main():
        async with GatewayFixture([], targets=[context.target]) as fixture:
            return [(await fixture.call(name, name))[0] for name in ("transfer", "lookup")]

    context.statuses = curio.run(main)


@then("both get status {status:d}, and the target ran the transfer once")
def then_once(context, status):
    assert context.statuses == [status] * 2, context.statuses
    assert context.target.executed.count("transfer") == 1, context.target.executed


@then("both get status {status:d}, and the target ran the transfer 0 times")
def then_never(context, status):
    assert context.statuses == [status] * 2, context.statuses
    assert not context.target.executed, context.target.executed


class _RecordingTable:
    def __init__(self):
        self.reports = []

    def on_probe_response(self, target_id, _report, **_times):
        self.reports.append(target_id)


class _Membership:
    def __init__(self):
        self.target_table = _RecordingTable()


class _Addresses:
    def __init__(self, address):
        self._address = address

    def address_of(self, _target_id):
        return self._address


class _Probe:
    target_id = "t0"

    def __init__(self):
        self.until_ms = now_ms() + 2_000.0


async def _probe(status):
    async def respond(sock):
        await sock.recv(65_536)
        head = f"HTTP/1.1 {status} X\r\nx-target-load: {LOAD_REPORT}\r\n"
        head += "content-length: 0\r\n\r\n"
        await sock.sendall(head.encode())

    listening = listen(Address("127.0.0.1", 0), backlog=4)
    address = Address(*listening.getsockname())
    await curio.spawn(serve_connections, listening, respond, daemon=True)
    membership = _Membership()
    await Prober(membership, _Addresses(address))._probe(_Probe())
    return membership.target_table.reports


@then("a health probe of the path of VM lists that gets status {status} reports no load")
def then_no_load(context, status):  # noqa: ARG001
    # Status 200 shows that the probe reports a load otherwise.
    assert curio.run(_probe, "200") == ["t0"]
    assert curio.run(_probe, status) == []
