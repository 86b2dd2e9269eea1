"""Steps for the protocol and links between entries."""

# ruff: noqa: D102

from __future__ import annotations

import contextlib
import json

import cbor2
import curio
from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as given_examples
from hypothesis import strategies as st

from kingcupusher._core.address import Address
from kingcupusher._core.target_state import TargetState
from kingcupusher._peers import (
    ConfigReply,
    ConfigRequest,
    Heartbeat,
    MessageError,
    PeerConnected,
    PeerDisconnected,
    PeerMessage,
    PeerTransport,
    TargetClosedAck,
    TargetClosedNotice,
    TargetStateUpdate,
    decode,
    encode,
)
from kingcupusher._peers.connection import ByteCounters, PeerIdentity, dial

PROPERTY_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    database=None,
    suppress_health_check=list(HealthCheck),
)
UNSIGNED = st.integers(0, 2**53)
OPTIONAL_UNSIGNED = st.none() | UNSIGNED
TEXT = st.text(max_size=20)
STATES = st.sampled_from(TargetState)
STATE_UPDATES = st.builds(TargetStateUpdate, TEXT, UNSIGNED, STATES, st.none() | TEXT)
HEARTBEATS = st.builds(
    Heartbeat,
    **dict.fromkeys(("seat", "boot_id", "sequence", "echo_boot_id", "echo_sequence"), UNSIGNED),
    **dict.fromkeys(
        ("config_version", "list_version", "base_list_version", "acked_list_version"), UNSIGNED
    ),
    **dict.fromkeys(
        ("platform_confirmation_age_ms", "platform_response_age_ms"), OPTIONAL_UNSIGNED
    ),
    **dict.fromkeys(("platform_reachable", "draining"), st.booleans()),
    targets=st.lists(STATE_UPDATES, max_size=4),
)
MESSAGES = st.one_of(
    HEARTBEATS,
    st.builds(TargetClosedNotice, TEXT, st.none() | TEXT, STATES, UNSIGNED),
    st.builds(TargetClosedAck, TEXT, UNSIGNED),
    st.builds(ConfigRequest, UNSIGNED),
    st.builds(ConfigReply, UNSIGNED, st.binary(max_size=50)),
)
LARGE_REPLY = ConfigReply(1, bytes(500_000))


def heartbeat(seat):
    return Heartbeat(
        seat=seat,
        boot_id=seat,
        sequence=1,
        echo_boot_id=0,
        echo_sequence=0,
        config_version=1,
        platform_confirmation_age_ms=None,
        platform_response_age_ms=None,
        platform_reachable=False,
        draining=False,
        list_version=1,
        base_list_version=0,
        acked_list_version=0,
        targets=[TargetStateUpdate("t1", 1, 3, "b")],
    )


@then("generated messages decode to equal messages")
def then_messages_round_trip(context):
    @PROPERTY_SETTINGS
    @given_examples(MESSAGES)
    def check(message):
        assert decode(encode(message)) == message

    check()


@then("generated data decodes to a message or raises a message error")
def then_data_raises_message_error(context):
    damaged = st.builds(
        lambda message, at, byte: encode(message)[:at] + byte + encode(message)[at + 1 :],
        MESSAGES,
        st.integers(0, 40),
        st.binary(max_size=2),
    )

    @PROPERTY_SETTINGS
    @given_examples(st.one_of(st.binary(max_size=60), damaged))
    def check(data):
        try:
            decode(data)
        except MessageError:
            return

    check()


@when("{wire} is decoded")
def when_decoded(context, wire):
    try:
        context.result = decode(cbor2.dumps(json.loads(wire)))
    except MessageError as error:
        context.result = error


@then("the result is {result}")
def then_result_is(context, result):
    expected = {"an acknowledgement": TargetClosedAck("t1", 7)}.get(result)
    if expected is None:
        assert isinstance(context.result, MessageError), context.result
    else:
        assert context.result == expected, context.result


class TransportNetwork:
    """Runs transports in one curio kernel that lasts for the whole scenario."""

    def __init__(self, context, count):
        self.kernel = curio.Kernel()
        self.tasks = {}
        self.transports = {}
        context.add_cleanup(self.close)
        for seat in range(count):
            self.kernel.run(self.start, seat, seat)
        self.kernel.run(self.exchange_addresses)
        for seat in range(count):
            self.kernel.run(self.wait_for, seat, PeerConnected, count - 1)

    async def start(self, seat, boot_id):
        transport = PeerTransport(Address("127.0.0.1", 0), seat=seat, boot_id=boot_id)
        self.transports[seat] = transport
        self.tasks[seat] = await curio.spawn(transport.run)

    async def exchange_addresses(self):
        addresses = {seat: transport.address for seat, transport in self.transports.items()}
        for transport in self.transports.values():
            await transport.set_peers(addresses)

    async def wait_for(self, seat, kind, count=1):
        """Return the next ``count`` events of type ``kind``; discard other events."""
        found = []
        while len(found) < count:
            event = await self.transports[seat].inbound.get()
            if isinstance(event, kind):
                found.append(event)
        return found

    async def replace(self, seat, boot_id):
        await self.tasks[seat].cancel()
        await self.start(seat, boot_id)
        await self.exchange_addresses()

    async def stop(self):
        for task in self.tasks.values():
            await task.cancel()

    def close(self):
        self.kernel.run(self.stop)
        self.kernel.run(shutdown=True)


@given("{count:d} connected transports")
def given_transports(context, count):
    context.network = TransportNetwork(context, count)


@when("each transport broadcasts a heartbeat")
def when_broadcast(context):
    for seat, transport in context.network.transports.items():
        context.network.kernel.run(transport.broadcast, heartbeat(seat))


@then("each transport receives the heartbeats of the others")
def then_heartbeats_arrive(context):
    seats = set(context.network.transports)
    for seat in seats:
        events = context.network.kernel.run(
            context.network.wait_for, seat, PeerMessage, len(seats) - 1
        )
        assert {event.message.seat for event in events} == seats - {seat}
        assert all(event.message == heartbeat(event.peer.seat) for event in events)


@then("the transports together sent as many bytes as they received")
def then_bytes_match(context):
    counters = [transport.counters for transport in context.network.transports.values()]
    sent = sum(counter.sent_bytes for counter in counters)
    received = sum(counter.received_bytes for counter in counters)
    assert sent == received > 0, (sent, received)


@then("each transport reports a heartbeat timeout and a new connection")
def then_reopened(context):
    for seat in context.network.transports:
        run = context.network.kernel.run
        (ended,) = run(context.network.wait_for, seat, PeerDisconnected)
        assert ended.peer.seat != seat
        run(context.network.wait_for, seat, PeerConnected)


@when("the transport of the higher seat is replaced by another process")
def when_replaced(context):
    context.network.kernel.run(context.network.replace, 1, 77)


@then("the other transport reports the new process")
def then_new_process(context):
    (connected,) = context.network.kernel.run(context.network.wait_for, 0, PeerConnected)
    assert connected.peer == PeerIdentity(1, 77), connected


REQUEST = (
    "GET {path} HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n{seat}\r\n"
)
CLIENT_DATA = {
    "nothing": b"",
    "noise": bytes(range(256)) * 300,
    "a request for another path": REQUEST.format(path="/", seat="").encode(),
    "a request without a seat": REQUEST.format(path="/peer", seat="").encode(),
    "a handshake and an invalid message": REQUEST.format(
        path="/peer", seat="X-Seat: 9\r\nX-Boot-Id: 9\r\n"
    ).encode()
    + b"\x82\x81\x00\x00\x00\x00\xff",
}


@when("a client sends {name} to the transport of the lower seat")
def when_client_sends(context, name):
    async def exchange():
        sock = await curio.open_connection(*context.network.transports[0].address)
        await sock.sendall(CLIENT_DATA[name])
        await sock.shutdown(1)
        with contextlib.suppress(ConnectionResetError):
            while await sock.recv(10_000):
                pass
        await sock.close()

    context.network.kernel.run(exchange)


@given("a transport with a client on seat 0 that does not read")
def given_stalled_client(context):
    context.network = TransportNetwork(context, 0)

    async def connect():
        await context.network.start(1, 1)
        own = PeerIdentity(0, 5)
        address = context.network.transports[1].address
        context.client = await dial(address, own=own, seat=1, counters=ByteCounters())
        await context.network.wait_for(1, PeerConnected)

    context.network.kernel.run(connect)


@when("the transport sends until a message is rejected")
def when_sent_until_rejected(context):
    async def send():
        transport = context.network.transports[1]
        while await transport.send(0, LARGE_REPLY):
            await curio.sleep(0)

    context.network.kernel.run(send)


@then("the transport reports that the client is disconnected")
def then_client_is_disconnected(context):
    (ended,) = context.network.kernel.run(context.network.wait_for, 1, PeerDisconnected)
    assert ended.peer == PeerIdentity(0, 5)
