"""One raw connection of a caller to a gateway whose targets work for a given time."""

from __future__ import annotations

import curio

from kingcupusher._core import now_ms
from testing.gateway.fixture import GatewayFixture, read_responses, request_bytes, route_table

TARGET_COUNT = 6
TIMEOUT_S = 10


def run_with_connection(context, action):
    """Run ``action`` with the gateway of the steps and a connection to it; return its result."""

    async def main():
        table = route_table(timeout_ms=8_000.0)
        async with GatewayFixture(["working"] * TARGET_COUNT, table=table) as fixture:
            context.fixture = fixture
            for target in fixture.targets:
                target.work_s = context.work_s
            fixture.limits.idle_timeout_ms = context.idle_ms
            fixture.limits.head_timeout_ms = context.head_ms
            sock = await fixture.connect()
            if context.is_stopping:
                fixture.listener.start_drain()
            async with curio.timeout_after(TIMEOUT_S):
                return await action(sock)

    return curio.run(main)


def request(number, name="lookup"):
    """Return the bytes of the request ``r{number}``."""
    return request_bytes(name, f"r{number}", timeout_ms=8_000)


async def wait_for_end(sock):
    """Discard what is received; return when the connection ended, in ms."""
    while await sock.recv(65_536):
        continue
    return now_ms()


async def send_one(sock, name="lookup"):
    """Send the request ``r0`` and return a list with its response."""
    await sock.sendall(request(0, name))
    return await read_responses(sock, 1)


def echo_request(size):
    """Return a transfer whose response repeats its body of ``size`` bytes."""
    head = "POST /transfer/x HTTP/1.1\r\nhost: h.example\r\nx-id: r0\r\n"
    return f"{head}content-length: {size}\r\n\r\n".encode() + b"a" * size


def check_ends_within(until_end_ms, low_s, high_s):
    """Check a time until the end of a connection; timers may fire a millisecond early."""
    assert low_s * 1_000.0 <= until_end_ms + 1.0, until_end_ms
    assert until_end_ms <= high_s * 1_000.0, until_end_ms
