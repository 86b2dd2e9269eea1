"""Steps for servers that are cancelled."""

from __future__ import annotations

import socket
from contextlib import suppress

import curio
from behave import given, then, when

from kingcupusher._discovery import Catalog, StoreFollower
from kingcupusher._http.simple_client import Response
from kingcupusher._http.simple_server import serve
from kingcupusher._peers.transport import PeerTransport
from kingcupusher._relay import LeadServer, RelayServer
from standins.ports import free_address
from testing.gateway.store import FakeStore

SETTLE_S = 0.1
TIMEOUT_S = 3


async def _serve_relay(address):
    catalog = Catalog()
    store = FakeStore().client("e0")
    follower = StoreFollower(
        store, catalog, is_reader=lambda: False, on_event=lambda *_, **__: None
    )
    await RelayServer(address, follower, catalog, entry="e0", lead_server=LeadServer()).run()


async def _serve_control_calls(address):
    async def respond(_request):
        return Response(200, [], b"")

    await serve(address, respond)


async def _serve_peers(address):
    await PeerTransport(address, seat=0, boot_id=0).run()


SERVERS = {
    "the relay": _serve_relay,
    "control calls": _serve_control_calls,
    "links of peers": _serve_peers,
}


@given("a server with an open connection: {server}")
def given_server(context, server):
    context.run = SERVERS[server]


async def _receive_end(client):
    """Return what the client receives first: nothing if the connection ended, None if it stays."""
    sock = curio.io.Socket(client)
    with suppress(ConnectionResetError):
        async with curio.ignore_after(TIMEOUT_S):
            return await sock.recv(1)
        return None
    return b""


@when("a client connects after the server was cancelled and before it runs again")
def when_cancelled(context):
    async def main():
        address = free_address()
        server = await curio.spawn(context.run, address, daemon=True)
        await curio.sleep(SETTLE_S)
        clients = [socket.create_connection(tuple(address))]
        await curio.sleep(SETTLE_S)
        await server.cancel(blocking=False)
        # A blocking call, so that the server does not run in between.
        clients.append(socket.create_connection(tuple(address)))
        async with curio.ignore_after(1.0):
            await server.wait()
        context.is_ended = server.terminated
        context.received = [await _receive_end(client) for client in clients]

    curio.run(main)


@then("the server ends within {bound_s:d} s, and both connections are closed")
def then_ended(context, bound_s):
    assert bound_s == 1
    assert context.is_ended
    assert context.received == [b"", b""], context.received
